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
share_service (const FrontRoute *route, const FrontRoute *other)
{
  for (unsigned i = 0; i < other->target_count; i++)
    {
      if (other->targets[i].weight > 0 && may_go_to (route, other->targets[i].service))
        return true;
    }
  return false;
}

/* Sets what follows for a route from those with which it shares a service. */
static void
complete_route (const FrontConfig *config, FrontRoute *route)
{
  UrgencyRoute *kinds = memory_array (config->route_count, sizeof *kinds);
  unsigned *levels = memory_array (config->route_count, sizeof *levels);
  unsigned count = 0, own = 0;

  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *other = &config->routes[i];

      if (other != route && !share_service (route, other))
        continue;
      if (other == route)
        own = count;
      kinds[count++] = (UrgencyRoute){
        .priority = other->priority,
        .timeout_ms = other->timeout_ms,
        .objective_ms = other->objective_ms,
      };
    }
  front_urgency_levels (kinds, count, levels);
  route->level = levels[own];
  route->may_yield = front_urgency_may_yield (kinds, levels, count, own);
  free (kinds);
  free (levels);
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
front_config_rank (const FrontConfig *config, const FrontRoute *route, const FrontTeam *team)
{
  return front_urgency_rank (team ? team->place : config->no_team_place, route->level);
}

void
front_config_complete (FrontConfig *config)
{
  for (unsigned i = 0; i < config->route_count; i++)
    complete_route (config, &config->routes[i]);
  complete_teams (config);
  for (unsigned i = 0; i < config->service_count; i++)
    {
      FrontService *service = &config->services[i];

      service->objective_ratio = service->kv_tokens > 0 ? objective_ratio (config, service) : 0;
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
