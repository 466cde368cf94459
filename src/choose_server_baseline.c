/**
 * Baseline policies, with which the default policy is compared.
 */
#include "choose_server_pick.h"

#include <stdatomic.h>

static atomic_uint round_robin_next;

static unsigned
count_usable (const ServerQuery *query)
{
  unsigned i, n = 0;

  for (i = 0; i < query->config->server_count; i++)
    n += server_usable (query, i);
  return n;
}

/** Index of the nth usable server. */
static int
nth_usable (const ServerQuery *query, unsigned nth)
{
  unsigned i;

  for (i = 0; i < query->config->server_count; i++)
    {
      if (!server_usable (query, i))
        continue;
      if (nth == 0)
        return (int)i;
      nth--;
    }
  return -1;
}

/** Baseline: a random usable server. */
int
server_pick_random (const ServerQuery *query)
{
  unsigned n = count_usable (query);

  if (n == 0)
    return -1;
  return nth_usable (query, (unsigned)(query->random % n));
}

/** Baseline: the usable servers in turn, whatever their load. */
int
server_pick_round_robin (const ServerQuery *query)
{
  unsigned n = count_usable (query);

  if (n == 0)
    return -1;
  return nth_usable (query, atomic_fetch_add (&round_robin_next, 1) % n);
}

/** Baseline: lowest reported load per slot, without correction by the gate's own requests. It sends
 *  every request to one server until the next report. */
int
server_pick_least_reported (const ServerQuery *query)
{
  unsigned i;
  int best = -1;
  double best_load = 0;

  for (i = 0; i < query->config->server_count; i++)
    {
      int64_t slots = query->config->servers[i].slots;
      double load;

      if (!server_usable (query, i))
        continue;
      load = (double)query->views[i].reported_load / (double)(slots > 0 ? slots : 1);
      if (best >= 0 && load >= best_load)
        continue;
      best = (int)i;
      best_load = load;
    }
  return best;
}
