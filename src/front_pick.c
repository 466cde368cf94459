#include "front_pick.h"
#include "front_reading.h"
#include "util_id.h"
#include <math.h>
#include <string.h>

/* Cost of a server in another failure domain, as a share of the caller's objective: traffic between
 * domains has a price, and with an objective of 2 s, 40 ms less make no difference to the caller.
 */
#define CROSS_DOMAIN_SHARE 0.02
/* Minimum of that cost in milliseconds: two round trips (about 3 ms), the rest for the price of
 * the traffic. */
#define CROSS_DOMAIN_MIN_MS 10.0
/* Milliseconds that each running request of a middle-sized model adds to the time per token of all
 * others. Requests are weighted by model: one of the largest adds ten times as much as one of the
 * smallest. */
#define MODEL_RUNNING_MS 1.5
/* Milliseconds added when all slots of a plain service's server are taken, in proportion if fewer
 * are: about the duration of one request. */
#define SERVICE_RUNNING_MS 25.0
#define QUEUED_MS          60.0 /* added by each request beyond the slots */
#define COLD_MS            40.0 /* added if the server is cold */
/* Milliseconds added for servers beyond those that get a new version's work: as much as some queued
 * requests, or one failure of five. */
#define NO_CANARY_MS 300.0
/* Milliseconds at most that the failures and the lag of a server which gets a new version's work
 * add: they may be the version's, and show only while the server is loaded. It is left once it is
 * avoided, or has requests queued. */
#define CANARY_HEALTH_MAX_MS 200.0
#define SLOTS_DEFAULT        8
/* Milliseconds after which a full server is expected to have room. */
#define FULL_WAIT_MS 100
/* Milliseconds by which the entries of servers that became cold may arrive later than the end of
 * their evacuation. */
#define RETURN_MARGIN_MS 500
/* Minimum tokens of a shared prompt for which fronts agree on a server: reading 500 takes 4 ms. */
#define AFFINITY_MIN_TOKENS 500

bool
front_pick_was_tried (const PickQuery *query, const FrontServer *server)
{
  for (unsigned i = 0; i < query->tried_count; i++)
    {
      if (query->tried[i] == server->hash)
        return true;
    }
  return false;
}

static bool
matches_query (const PickQuery *query, const FrontServer *server)
{
  return strcmp (server->entry.service, query->service) == 0
         && (query->only_server == 0 || server->hash == query->only_server)
         && (!query->version || strcmp (server->entry.version, query->version) == 0);
}

static unsigned
slots_of (const PickQuery *query, const FrontServer *server)
{
  unsigned slots = server->entry.slots ? server->entry.slots : query->slots;

  return slots ? slots : SLOTS_DEFAULT;
}

/* The server of this front's failure domain that all fronts there prefer for a shared prompt, by
 * rendezvous hashing. Each front sees only its own requests, so without this a prompt that all of
 * them get is read by every server. NULL: the prompt is too short to matter, or too rare to stay
 * cached. */
static const FrontServer *
affinity_server (FrontServers *servers, const PickQuery *query, int64_t now_ms)
{
  const FrontCall *call = query->call;
  const FrontServer *affinity = NULL;
  FrontServer *server;
  uint64_t best = 0, prompt;

  if (!query->is_model || call->part_count < 2 || query->affinity_tokens < AFFINITY_MIN_TOKENS)
    return NULL;
  prompt = call->parts[call->part_count - 2].id ^ query->model;
  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    uint64_t hash = id_hash (&server->hash, sizeof server->hash, prompt);

    if (!server->is_same_domain || !matches_query (query, server)
        || front_server_state (server, now_ms) >= FRONT_SERVER_AVOIDED || server->limit.is_named
        || (affinity && hash <= best))
      continue;
    affinity = server;
    best = hash;
  }
  return affinity;
}

/* Prompt tokens that the server has to read. */
static int64_t
prompt_tokens (const PickQuery *query,
               const FrontServer *server,
               const FrontServer *affinity,
               int64_t now_ms)
{
  int64_t cached;

  if (!query->is_model)
    return 0;
  cached = front_prompts_cached (&server->prompts, query->call, query->model, now_ms,
                                 query->reuse_window_ms);
  if (server == affinity && cached < query->affinity_tokens)
    cached = query->affinity_tokens;
  return query->call->prompt_tokens > cached ? query->call->prompt_tokens - cached : 0;
}

static double
prompt_ms (const PickQuery *query,
           const FrontServer *server,
           const FrontServer *affinity,
           int64_t now_ms)
{
  return read_time_ms (&query->read_time, prompt_tokens (query, server, affinity, now_ms),
                       query->call->prompt_tokens);
}

static double
queue_ms (const PickQuery *query, const FrontServer *server, int64_t now_ms)
{
  unsigned slots = slots_of (query, server);
  unsigned queued = server->running >= slots ? server->running - slots + 1 : 0;

  if (query->is_model)
    return server->pending_ms + front_peer_load_read_ms (&server->peer_load, now_ms)
           + (server->running_weight + front_peer_load_running (&server->peer_load, now_ms))
                 * MODEL_RUNNING_MS
           + queued * QUEUED_MS;
  return (double)server->running / slots * SERVICE_RUNNING_MS + queued * QUEUED_MS;
}

/* By the server's own lag at this front, not by the shared belief of its wait: all fronts would
 * leave a late server at once, and send their requests to the others until these were late. */
static double
reading_cost_ms (const PickQuery *query,
                 const FrontServer *server,
                 const FrontServer *affinity,
                 int64_t now_ms)
{
  ReadingCase c = { .pause_ms = query->pause_ms };

  if (query->pause_ms <= 0)
    return 0;
  c.read_ms = prompt_ms (query, server, affinity, now_ms);
  c.pending_ms = server->pending_ms + front_peer_load_read_ms (&server->peer_load, now_ms);
  c.running = server->running_weight + front_peer_load_running (&server->peer_load, now_ms);
  return front_reading_cost_ms (&c);
}

static bool
is_limited_to_canary (const PickQuery *query)
{
  return query->canary_hash_max > 0 && query->canary_hash_max < UINT64_MAX;
}

static double
health_cost_ms (const PickQuery *query, const FrontServer *server, int64_t now_ms)
{
  double cost = front_health_penalty_ms (&server->health, now_ms);

  if (is_limited_to_canary (query) && server->hash <= query->canary_hash_max)
    return fmin (cost, CANARY_HEALTH_MAX_MS);
  return cost;
}

static double
cost_ms (const PickQuery *query,
         const FrontServer *server,
         const FrontServer *affinity,
         int64_t now_ms)
{
  double cost = queue_ms (query, server, now_ms) + prompt_ms (query, server, affinity, now_ms)
                + health_cost_ms (query, server, now_ms);

  /* Not part of the prediction, by which the versions of a service are compared: the servers of a
   * slow one would be expected to be slow. */
  if (query->typical_ms > 0)
    cost += answer_time_extra_ms (&server->answer_time, query->typical_ms, now_ms);
  cost += reading_cost_ms (query, server, affinity, now_ms);
  if (!server->is_same_domain)
    cost += fmax (CROSS_DOMAIN_MIN_MS, CROSS_DOMAIN_SHARE * (double)query->objective_ms);
  if (server->cold_until_ms > now_ms)
    cost += COLD_MS;
  if (is_limited_to_canary (query) && server->hash > query->canary_hash_max)
    cost += NO_CANARY_MS;
  return cost;
}

/* Servers of an evacuated failure domain are cold when the evacuation ends, but their entries show
 * that only with the next heartbeat. */
static bool
is_cold (const PickQuery *query, const FrontServer *server, int64_t now_ms)
{
  return now_ms < server->cold_until_ms
         || (server->returned_ms != 0
             && now_ms < server->returned_ms + query->cold.start_ms + RETURN_MARGIN_MS);
}

/* Milliseconds until the cold-server limit admits the request; 0: now. */
static int64_t
cold_limit_wait_ms (const PickQuery *query, const FrontServer *server, int64_t now_ms)
{
  if (query->cold.max_per_s <= 0 || !is_cold (query, server, now_ms))
    return 0;
  return cold_wait_ms (
      &server->cold_sends,
      cold_slots (&query->cold, &query->share, server->hash, server->is_same_domain), now_ms);
}

/* A wait that is told to callers as at most max_ms. Remains a wait: with a maximum of 0 the server
 * is still excluded. */
static int64_t
told_wait_ms (int64_t wait_ms, int64_t max_ms)
{
  if (wait_ms <= max_ms)
    return wait_ms;
  return max_ms > 0 ? max_ms : 1;
}

static int64_t
named_limit_wait_ms (const PickQuery *query, const FrontServer *server, int64_t now_ms)
{
  int64_t wait_ms = server_limit_wait_ms (&server->limit, &query->share, server->hash,
                                          server->is_same_domain, now_ms);

  return told_wait_ms (wait_ms, server_limit_interval_ms (&server->limit));
}

static bool
is_full (const PickQuery *query, const FrontServer *server, int64_t now_ms)
{
  const BrittleServer brittle
      = { .hash = server->hash, .slots = slots_of (query, server), .running = server->running };

  return server_brittle_is_full (&server->brittle, &brittle, &query->share, now_ms);
}

/* False for nearly all servers, of which a choice walks thousands. */
static bool
may_have_to_wait (const PickQuery *query, const FrontServer *server, int64_t now_ms)
{
  return server->limit.is_named || server->brittle.is_named || now_ms < server->rest_until_ms
         || (query->cold.max_per_s > 0 && is_cold (query, server, now_ms));
}

/* Milliseconds until the server may get the request, and the reason for most of them. */
static int64_t
server_wait_ms (const PickQuery *query, const FrontServer *server, int64_t now_ms, PickWait *reason)
{
  int64_t waits_ms[PICK_WAITS] = { 0 };

  *reason = PICK_WAIT_NONE;
  if (!may_have_to_wait (query, server, now_ms))
    return 0;
  waits_ms[PICK_WAIT_COLD]
      = told_wait_ms (cold_limit_wait_ms (query, server, now_ms), query->cold.start_ms);
  waits_ms[PICK_WAIT_LIMITED] = named_limit_wait_ms (query, server, now_ms);
  waits_ms[PICK_WAIT_RESTING] = server->rest_until_ms - now_ms;
  waits_ms[PICK_WAIT_FULL] = is_full (query, server, now_ms) ? FULL_WAIT_MS : 0;
  for (unsigned i = 0; i < PICK_WAITS; i++)
    {
      if (waits_ms[i] > waits_ms[*reason])
        *reason = (PickWait)i;
    }
  return waits_ms[*reason];
}

/* Whether a server is spared by sending it no copy of a request that another one is working on. */
static bool
is_spared (const PickQuery *query,
           const FrontServer *server,
           FrontServerState state,
           int64_t now_ms)
{
  return state >= FRONT_SERVER_AVOIDED || is_cold (query, server, now_ms) || server->limit.is_named
         || server->brittle.is_named;
}

/* True if the server may get no request now; the reason is added to the answer. */
static bool
is_excluded (PickAnswer *answer,
             const PickQuery *query,
             const FrontServer *server,
             FrontServerState state,
             int64_t now_ms)
{
  PickWait reason;
  int64_t wait_ms;

  if (state >= FRONT_SERVER_EVACUATED)
    {
      answer->evacuated |= state == FRONT_SERVER_EVACUATED;
      return true;
    }
  if (query->for_copy && is_spared (query, server, state, now_ms))
    return true;
  wait_ms = server_wait_ms (query, server, now_ms, &reason);
  if (query->for_copy && server->running >= slots_of (query, server))
    {
      reason = PICK_WAIT_FULL;
      wait_ms = FULL_WAIT_MS;
    }
  if (wait_ms == 0)
    return false;
  if (answer->wait == PICK_WAIT_NONE || wait_ms < answer->wait_ms)
    {
      answer->wait = reason;
      answer->wait_ms = wait_ms;
    }
  return true;
}

static void
predict (PickAnswer *answer, const PickQuery *query, const FrontServer *affinity, int64_t now_ms)
{
  WaitBelief general = front_waits_general (query->waits, query->service_hash, query->rank, now_ms);

  answer->prompt_ms = prompt_ms (query, answer->server, affinity, now_ms);
  answer->prompt_tokens = prompt_tokens (query, answer->server, affinity, now_ms);
  answer->base_ms = answer->prompt_ms + queue_ms (query, answer->server, now_ms);
  answer->belief
      = front_waits_of (query->waits, answer->server->hash, query->rank, &general, now_ms);
  answer->predicted_ms = answer->base_ms + answer->belief.ms;
}

PickAnswer
front_pick (FrontServers *servers, const PickQuery *query, int64_t now_ms)
{
  const FrontServer *affinity = affinity_server (servers, query, now_ms);
  PickAnswer best = { 0 };
  double best_cost = 0;
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    FrontServerState state = front_server_state (server, now_ms);
    bool avoided = state >= FRONT_SERVER_AVOIDED;
    double cost;

    if (!matches_query (query, server) || front_pick_was_tried (query, server)
        || is_excluded (&best, query, server, state, now_ms))
      continue;
    if (best.server && avoided && !best.avoided)
      continue;
    cost = cost_ms (query, server, affinity, now_ms);
    if (best.server && avoided == best.avoided && cost >= best_cost)
      continue;
    best.server = server;
    best.avoided = avoided;
    best_cost = cost;
  }
  if (best.server)
    predict (&best, query, affinity, now_ms);
  return best;
}
