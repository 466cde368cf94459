/**
 * The default policy: the less loaded of two servers drawn at random, or of the two servers that
 * most likely have the prompt prefix cached, unless those are much busier.
 */
#include "choose_server_pick.h"

#include "util_assert.h"
#include <string.h>

#define CANDIDATES_MAX   64   /**< servers considered for one attempt */
#define TOKEN_MS_DEFAULT 15.0 /**< assumed time per token of a server that has not answered yet */

/** How much busier, as a share of its slots, a server may be that probably has the prompt prefix
 *  cached. Bounded, so that one popular prefix can't overload its server. */
#define AFFINITY_LOAD_MAX 0.5

typedef struct
{
  unsigned servers[CANDIDATES_MAX];
  unsigned count;
} Candidates;

/** Mixes the bits of a number (the finalizer of splitmix64). */
static uint64_t
mix_bits (uint64_t x)
{
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9U;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebU;
  return x ^ x >> 31;
}

static const IndexList *
watched_list (const ServerQuery *query)
{
  int service;

  if (query->index == NULL)
    return NULL;
  if (query->service == NULL)
    return query->version < query->index->version_count ? &query->index->versions[query->version]
                                                        : NULL;
  service = config_find_service (query->config, query->service);
  return service >= 0 ? &query->index->services[service] : NULL;
}

/** Collects the usable servers of the watched subset. If there are none, or no subset, collects
 *  from all servers; if more than CANDIDATES_MAX are usable, each is included with the same
 *  probability. */
static void
gather (const ServerQuery *query, Candidates *out)
{
  const IndexList *list = watched_list (query);
  uint64_t random = query->random;
  unsigned i, seen = 0;

  out->count = 0;
  for (i = 0; list != NULL && i < list->count && out->count < CANDIDATES_MAX; i++)
    {
      if (server_usable (query, list->servers[i]))
        out->servers[out->count++] = list->servers[i];
    }
  if (out->count > 0)
    return;
  for (i = 0; i < query->config->server_count; i++)
    {
      if (!server_usable (query, i))
        continue;
      seen++;
      if (out->count < CANDIDATES_MAX)
        {
          out->servers[out->count++] = i;
          continue;
        }
      random = mix_bits (random + seen);
      if (random % seen < CANDIDATES_MAX)
        out->servers[random % CANDIDATES_MAX] = i;
    }
}

static double
token_ms (const ServerQuery *query, unsigned server)
{
  double ms = query->views[server].token_ms;

  return ms > 0 ? ms : TOKEN_MS_DEFAULT;
}

/** Load per slot if the request were sent there, times the server's time per token. */
static double
expected_load (const ServerQuery *query, unsigned server)
{
  double slots = (double)query->config->servers[server].slots;
  double load = server_load (query, server) + 1;

  return load / (slots > 0 ? slots : 1) * token_ms (query, server);
}

/** The best server so far and its load. */
typedef struct
{
  int server;
  double load;
} Best;

/** Makes the server the best one if its load, reduced by bonus, is below that of the best so far.
 */
static void
consider (const ServerQuery *query, unsigned server, double bonus, Best *best)
{
  double load = expected_load (query, server) - bonus;

  if (best->server >= 0 && load >= best->load)
    return;
  best->server = (int)server;
  best->load = load;
}

/** Considers the two servers with the highest hash of server and prompt prefix: the same ones at
 *  every gate that has both among its candidates, without any exchange about what is cached. */
static void
consider_prefix_affinity (const ServerQuery *query, const Candidates *candidates, Best *best)
{
  uint64_t first_hash = 0, second_hash = 0;
  double bonus = AFFINITY_LOAD_MAX * token_ms (query, (unsigned)best->server);
  int first = -1, second = -1;
  unsigned i;

  for (i = 0; i < candidates->count; i++)
    {
      unsigned server = candidates->servers[i];
      uint64_t hash = mix_bits (query->prefix_hash ^ mix_bits (server + 1));

      if (first < 0 || hash > first_hash)
        {
          second = first;
          second_hash = first_hash;
          first = (int)server;
          first_hash = hash;
        }
      else if (second < 0 || hash > second_hash)
        {
          second = (int)server;
          second_hash = hash;
        }
    }
  consider (query, (unsigned)first, bonus, best);
  if (second >= 0)
    consider (query, (unsigned)second, bonus, best);
}

int
server_pick_power_of_two (const ServerQuery *query)
{
  Candidates candidates;
  Best best = { .server = -1 };
  unsigned first, step;

  gather (query, &candidates);
  if (candidates.count < 2)
    return candidates.count == 1 ? (int)candidates.servers[0] : -1;
  first = (unsigned)((query->random & 0xffffffffU) % candidates.count);
  step = 1 + (unsigned)((query->random >> 32) % (candidates.count - 1));
  consider (query, candidates.servers[first], 0, &best);
  consider (query, candidates.servers[(first + step) % candidates.count], 0, &best);
  if (query->prefix_hash != 0)
    consider_prefix_affinity (query, &candidates, &best);
  INVARIANT (best.server >= 0 && server_usable (query, (unsigned)best.server), "server=%d",
             best.server);
  return best.server;
}
