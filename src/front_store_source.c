/* Chooses where rows are requested from: the store, or another front that follows it. */
#include "front_bootstrap.h"
#include "front_peers.h"
#include "front_store_private.h"

/* Failed requests to other fronts in a row after which the store is asked: several fronts of the
 * domain may have died at one moment. */
#define PEER_FAILURES_MAX 4

/* Followers, the first by rank, that use short polls for the tables that callers depend on; of
 * three, one may be stopped and another frozen. A store that hangs may keep its connections open,
 * and never answers the requests from before its return; keep-alive doesn't show this, and long
 * polls time out late. Sentinels learn of a change within SENTINEL_WAIT_MS +
 * SENTINEL_ANSWER_TIMEOUT_MS and announce it in their next message; the other fronts then restart
 * their polls. Each sentinel makes two calls per second, however many fronts there are. */
#define SENTINELS 3

static bool
is_settled (const FrontStore *store, int64_t now_ms)
{
  return now_ms - store->started_ms >= FRONT_SETTLED_MS;
}

bool
store_polls_briefly (const Watch *watch, int64_t now_ms)
{
  return (watch->id == STORE_OPERATOR || watch->id == STORE_SERVERS) && watch->loaded
         && front_peers_is_selected (watch->store->front->peers, (uint64_t)watch->id, SENTINELS,
                                     now_ms);
}

bool
store_is_sentinel (const Watch *watch, int64_t now_ms)
{
  return is_settled (watch->store, now_ms) && store_polls_briefly (watch, now_ms);
}

/* A front that has just started doesn't know all living fronts yet, and would place itself first by
 * rank; it asks a front that probably follows the store. */
static StoreSource
choose_by_rank (Watch *watch, int64_t now_ms)
{
  const FrontStore *store = watch->store;

  if (!is_settled (store, now_ms)
      && front_peers_informed_source_before (store->front->peers, (uint64_t)watch->id, now_ms,
                                             &watch->source))
    return SOURCE_PEER;
  return front_peers_ranked_source (watch->store->front->peers, (uint64_t)watch->id, now_ms,
                                    &watch->source)
             ? SOURCE_PEER
             : SOURCE_STORE;
}

/* For a table that has to be read completely. */
static StoreSource
choose_at_start (Watch *watch, int64_t now_ms)
{
  FrontStore *store = watch->store;
  FrontPeers *peers = store->front->peers;
  const Watch *list = &store->watches[STORE_MEMBERS];
  BootstrapView view = {
    .age_ms = now_ms - store->started_ms,
    .list_known = list->loaded,
    .list_lost = list->lost,
    .is_registered = front_peers_is_registered (peers),
    .has_registered = front_peers_has_registered (peers),
    .has_informed
    = front_peers_informed_source (peers, (uint64_t)watch->id, now_ms, &watch->source),
    .failures = watch->peer_failures,
  };

  switch (front_bootstrap_step (&view))
    {
    case BOOTSTRAP_WAIT:
      return SOURCE_UNDECIDED;
    case BOOTSTRAP_ASK_INFORMED:
      return SOURCE_PEER;
    case BOOTSTRAP_ASK_RANKED:
      return choose_by_rank (watch, now_ms);
    default:
      return SOURCE_STORE;
    }
}

/* The store no longer has the changes since this front's version. All followers get this answer at
 * one moment; if they then asked each other, none would read the changes. */
static bool
is_history_lost (const Watch *watch)
{
  return !watch->loaded && watch->table.version != 0;
}

StoreSource
store_choose_source (Watch *watch, int64_t now_ms)
{
  if (watch->id == STORE_MEMBERS || watch->last_key.data)
    return SOURCE_STORE;
  if (is_history_lost (watch))
    return watch->reads_again_at_peers && watch->peer_failures < PEER_FAILURES_MAX
                   && !store_confirm_read_is_due (watch, now_ms)
               ? choose_by_rank (watch, now_ms)
               : SOURCE_STORE;
  if (!watch->loaded)
    return choose_at_start (watch, now_ms);
  if (store_is_sentinel (watch, now_ms))
    return SOURCE_STORE;
  if (store_confirm_is_due (watch, now_ms))
    return SOURCE_CHECK;
  if (watch->peer_failures >= PEER_FAILURES_MAX)
    return SOURCE_STORE;
  return choose_by_rank (watch, now_ms);
}
