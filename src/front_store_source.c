/* Whom a question for rows goes to: the store, or another front that passes them on. */
#include "front_bootstrap.h"
#include "front_peers.h"
#include "front_store_private.h"

/* In a row, until the store is asked: several neighbours may have died at one moment. */
#define PEER_FAILURES_MOST 4

/* A store may fall silent without any connection ending, and what was asked before its return is
 * never answered; keep-alive doesn't show it. So that not all fronts wait for the end of long
 * questions, a few of them, whichever are first by rank, ask short ones of the tables that callers
 * depend on: with three, one may be stopped and one frozen. They learn of a change within the two
 * times of front_store.c, tell it with their next message, and the others ask anew. It costs two
 * calls a second and front, whatever the number of fronts. */
#define SENTINELS 3

static bool
is_settled (const FrontStore *store, int64_t now_ms)
{
  return now_ms - store->started_ms >= FRONT_SETTLED_MS;
}

bool
store_is_sentinel (const Watch *watch, int64_t now_ms)
{
  const FrontStore *store = watch->store;

  return (watch->id == STORE_OPERATOR || watch->id == STORE_SERVERS) && watch->loaded
         && is_settled (store, now_ms)
         && front_peers_is_selected (store->front->peers, (uint64_t)watch->id + 1, SENTINELS,
                                     now_ms);
}

/* A front that has just started doesn't know yet who lives, and would take itself for the first by
 * rank: it asks one that is likely to follow the store. */
static StoreSource
aim_ranked (Watch *watch, int64_t now_ms)
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

/* The table is to be read as a whole. */
static StoreSource
aim_start (Watch *watch, int64_t now_ms)
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
      return aim_ranked (watch, now_ms);
    default:
      return SOURCE_STORE;
    }
}

/* The store doesn't remember the changes since our version. It says so to all that follow it at one
 * moment; if they asked each other, nobody would read what has changed. */
static bool
is_forgotten (const Watch *watch)
{
  return !watch->loaded && watch->table.version != 0;
}

StoreSource
store_choose_source (Watch *watch, int64_t now_ms)
{
  if (watch->id == STORE_MEMBERS || watch->last_key || is_forgotten (watch))
    return SOURCE_STORE;
  if (!watch->loaded)
    return aim_start (watch, now_ms);
  if (store_is_sentinel (watch, now_ms) || watch->peer_failures >= PEER_FAILURES_MOST)
    return SOURCE_STORE;
  return aim_ranked (watch, now_ms);
}
