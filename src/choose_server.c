/**
 * Shared parts of the policies that select a backend server.
 */
#include "choose_server_pick.h"

#include <math.h>
#include <string.h>

/** Time constant by which a report's weight decays. Requests take seconds, so most of what other
 *  gates had there a few seconds ago has ended; with reports that arrive 5 s late, full weight
 *  sends everything to the servers that were idle then (docs/design/servers.md). */
#define REPORT_DECAY_MS 1500.0

const ServerPolicy server_policy_default
    = { .name = "power-of-two", .pick = server_pick_power_of_two };

static const ServerPolicy policies[] = {
  { .name = "power-of-two", .pick = server_pick_power_of_two },
  { .name = "round-robin", .pick = server_pick_round_robin },
  { .name = "least-reported", .pick = server_pick_least_reported },
  { .name = "random", .pick = server_pick_random },
};

const ServerPolicy *
server_policy_find (const char *name)
{
  size_t i;

  for (i = 0; i < sizeof policies / sizeof policies[0]; i++)
    {
      if (strcmp (policies[i].name, name) == 0)
        return &policies[i];
    }
  return NULL;
}

static bool
server_serves (const ServerQuery *query, const ConfigServer *server)
{
  size_t i;

  if (query->service != NULL)
    return server->kind == SERVER_SERVICE && server->service != NULL
           && strcmp (server->service, query->service) == 0;
  if (server->kind != SERVER_ENGINE)
    return false;
  for (i = 0; i < server->version_count; i++)
    {
      if (server->versions[i] == query->version)
        return true;
    }
  return false;
}

bool
server_usable (const ServerQuery *query, unsigned server)
{
  const ConfigServer *config = &query->config->servers[server];
  const ServerView *view = &query->views[server];

  if (config->leaving || view->draining)
    return false;
  if (view->open_until_ms > query->now_ms)
    return false;
  if (query->excluded != NULL && query->excluded[server])
    return false;
  return server_serves (query, config);
}

double
server_load (const ServerQuery *query, unsigned server)
{
  const ServerView *view = &query->views[server];
  double others = 0;

  /* The own requests at the time of the report may exceed what it counted. */
  if (view->report_ms != 0 && view->reported_load > view->in_flight_at_report)
    {
      double age_ms = (double)(query->now_ms - view->taken_ms);

      others = (double)(view->reported_load - view->in_flight_at_report);
      others *= exp (-fmax (age_ms, 0) / REPORT_DECAY_MS);
    }
  return (double)view->in_flight + others;
}
