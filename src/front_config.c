#include "front_config.h"
#include "front_urgency.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

FrontConfig *
front_config_new (void)
{
  FrontConfig *config = memory_alloc (sizeof *config);

  config->references = 1;
  return config;
}

FrontConfig *
front_config_ref (FrontConfig *config)
{
  config->references++;
  return config;
}

static void
strings_free (char **strings, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    free (strings[i]);
  free (strings);
}

static void
route_clear (FrontRoute *route)
{
  free (route->name);
  free (route->host);
  free (route->prefix);
  strings_free (route->models, route->model_count);
  for (unsigned i = 0; i < route->target_count; i++)
    free (route->targets[i].service);
  free (route->targets);
}

void
front_config_unref (FrontConfig *config)
{
  if (!config || --config->references > 0)
    return;
  for (unsigned i = 0; i < config->route_count; i++)
    route_clear (&config->routes[i]);
  for (unsigned i = 0; i < config->team_count; i++)
    {
      free (config->teams[i].name);
      strings_free (config->teams[i].keys, config->teams[i].key_count);
    }
  for (unsigned i = 0; i < config->service_count; i++)
    free (config->services[i].name);
  free (config->routes);
  free (config->teams);
  free (config->services);
  free (config);
}

const FrontRoute *
front_config_route (const FrontConfig *config, Span host, Span path)
{
  const FrontRoute *best = NULL;
  size_t best_len = 0;

  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      size_t len = strlen (route->prefix);

      if (len <= best_len || len > path.len || memcmp (route->prefix, path.text, len) != 0)
        continue;
      if (!span_is_nocase (host, route->host))
        continue;
      best = route;
      best_len = len;
    }
  return best;
}

const FrontTeam *
front_config_team (const FrontConfig *config, Span key)
{
  for (unsigned i = 0; i < config->team_count; i++)
    {
      const FrontTeam *team = &config->teams[i];

      for (unsigned k = 0; k < team->key_count; k++)
        {
          if (span_is (key, team->keys[k]))
            return team;
        }
    }
  return NULL;
}

const FrontService *
front_config_service (const FrontConfig *config, const char *name)
{
  for (unsigned i = 0; i < config->service_count; i++)
    {
      if (strcmp (config->services[i].name, name) == 0)
        return &config->services[i];
    }
  return NULL;
}

int64_t
front_config_priority (const FrontRoute *route, const FrontTeam *team)
{
  return team && team->priority >= 0 ? team->priority : route->priority;
}

static bool
may_go_to (const FrontRoute *route, const char *service)
{
  for (unsigned i = 0; i < route->target_count; i++)
    {
      if (route->targets[i].weight > 0 && strcmp (route->targets[i].service, service) == 0)
        return true;
    }
  return false;
}

static double
objective_ratio (const FrontConfig *config, const FrontService *service)
{
  int64_t shortest = 0, longest = 0;

  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];

      if (route->model_count == 0 || route->objective_ms <= 0 || !may_go_to (route, service->name))
        continue;
      if (shortest == 0 || route->objective_ms < shortest)
        shortest = route->objective_ms;
      if (route->objective_ms > longest)
        longest = route->objective_ms;
    }
  return shortest > 0 ? (double)longest / (double)shortest : 0;
}

static bool
is_of_kind (const FrontRoute *route, const UrgencyRoute *kind)
{
  return route->priority == kind->priority && route->timeout_ms == kind->timeout_ms
         && route->objective_ms == kind->objective_ms;
}

/* Place of the route's kind among count ones; count if it is not among them. */
static unsigned
kind_of (const FrontRoute *route, const UrgencyRoute *kinds, unsigned count)
{
  unsigned i = 0;

  while (i < count && !is_of_kind (route, &kinds[i]))
    i++;
  return i;
}

static bool
is_ordered (const FrontRoute *route, const FrontService *service)
{
  return route->model_count > 0 && may_go_to (route, service->name);
}

/* The kinds of the routes that may go to the service; their number. */
static unsigned
kinds_of (const FrontConfig *config, const FrontService *service, UrgencyRoute *kinds)
{
  unsigned count = 0;

  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];

      if (!is_ordered (route, service) || kind_of (route, kinds, count) < count
          || count == URGENCY_KINDS_MAX)
        continue;
      kinds[count++] = (UrgencyRoute){
        .priority = route->priority,
        .timeout_ms = route->timeout_ms,
        .objective_ms = route->objective_ms,
      };
    }
  return count;
}

/* Sets the levels of the routes that may go to the service, and whether they may yield. A route
 * with several services has the highest of its levels, and may yield if it may at each of them. */
static void
complete_routes (FrontConfig *config, const FrontService *service)
{
  UrgencyRoute kinds[URGENCY_KINDS_MAX];
  unsigned levels[URGENCY_KINDS_MAX];
  unsigned count = kinds_of (config, service, kinds);

  front_urgency_levels (kinds, count, levels);
  for (unsigned i = 0; i < config->route_count; i++)
    {
      FrontRoute *route = &config->routes[i];
      unsigned kind;

      if (!is_ordered (route, service))
        continue;
      kind = kind_of (route, kinds, count);
      if (kind < count && levels[kind] > route->level)
        route->level = levels[kind];
      route->may_yield &= kind < count && front_urgency_may_yield (kinds, levels, count, kind);
    }
}

static void
complete_teams (FrontConfig *config)
{
  UrgencyTeams teams = { 0 };

  for (unsigned i = 0; i < config->team_count; i++)
    config->odd_priorities += !front_urgency_add_team (&teams, config->teams[i].priority);
  for (unsigned i = 0; i < config->team_count; i++)
    {
      FrontTeam *team = &config->teams[i];

      team->place = front_urgency_team_place (&teams, team->priority);
      team->hash = span_hash (span_of (team->name)) | 1;
    }
  config->no_team_place = front_urgency_team_place (&teams, URGENCY_PRIORITY_NONE);
}

unsigned
front_config_first_rank (const FrontConfig *config, const FrontTeam *team)
{
  return front_urgency_rank (team ? team->place : config->no_team_place, 0);
}

unsigned
front_config_rank (const FrontConfig *config, const FrontRoute *route, const FrontTeam *team)
{
  return front_urgency_rank (team ? team->place : config->no_team_place, route->level);
}

void
front_config_complete (FrontConfig *config)
{
  complete_teams (config);
  for (unsigned i = 0; i < config->route_count; i++)
    config->routes[i].may_yield = config->routes[i].model_count > 0;
  for (unsigned i = 0; i < config->service_count; i++)
    {
      FrontService *service = &config->services[i];

      service->objective_ratio = service->kv_tokens > 0 ? objective_ratio (config, service) : 0;
      complete_routes (config, service);
    }
}

bool
front_config_is_contended (const FrontConfig *config, double ratio)
{
  for (unsigned i = 0; i < config->service_count; i++)
    {
      if (ratio > 0 && config->services[i].objective_ratio >= ratio)
        return true;
    }
  return false;
}

bool
front_route_is_idempotent (const FrontRoute *route)
{
  return route->kind == ROUTE_IDEMPOTENT || (route->kind == ROUTE_STREAM && route->resumable);
}
