/* The interface of the store client to the rest of the process. */
#include "front_peers.h"
#include "front_socket.h"
#include "front_store_private.h"
#include "util_clock.h"
#include "util_memory.h"
#include "wire_store.h"
#include <stdlib.h>

/* Interval at which a front that knows no other reads the list of fronts again; it doubles up to
 * the maximum. */
#define LIST_INTERVAL_MS     3000
#define LIST_INTERVAL_MAX_MS 30000
/* Rows in one answer to another front: 0.2 MB of text. All of 10,000 rows at once would take a
 * front with a tenth of a core longer to encode than the requester waits. */
#define ROWS_PER_PART 500

bool
front_store_is_behind (const FrontStore *store, StoreTable table, int64_t newest_elsewhere)
{
  return front_table_is_behind (&store->watches[table].table, newest_elsewhere);
}

int64_t
front_store_newest (const FrontStore *store, StoreTable table)
{
  const FrontTable *rows = &store->watches[table].table;

  /* No change of an empty table was ever seen, yet it was read: 1 distinguishes it from an unread
   * one. */
  return rows->newest == 0 && rows->version != 0 ? 1 : rows->newest;
}

bool
front_store_is_lost (const FrontStore *store, StoreTable table)
{
  return store->watches[table].lost;
}

void
store_poll_waiting (FrontStore *store)
{
  for (unsigned i = 0; i < STORE_TABLES; i++)
    {
      Watch *watch = &store->watches[i];

      if (watch->id != STORE_MEMBERS && !watch->loaded && !watch->lost
          && !front_channel_is_pending (watch->channel))
        store_watch_poll (watch);
    }
}

void
store_settle_tick (FrontStore *store, int64_t now_ms)
{
  if (store->settled || now_ms - store->started_ms < FRONT_SETTLED_MS)
    return;
  store->settled = true;
  for (unsigned i = 0; i < STORE_TABLES; i++)
    {
      Watch *watch = &store->watches[i];

      if (watch->loaded && watch->asked_peer && front_channel_is_pending (watch->channel))
        store_watch_restart_poll (watch);
    }
}

void
store_poll_tick (Watch *watch, int64_t now_ms)
{
  if (!front_channel_is_pending (watch->channel) || watch->is_short_poll || watch->is_check)
    return;
  if (store_is_sentinel (watch, now_ms) || store_confirm_is_due (watch, now_ms)
      || (watch->asked_peer && store_confirm_read_is_due (watch, now_ms)))
    store_watch_restart_poll (watch);
}

void
front_store_hint (FrontStore *store, StoreTable table, int64_t version, int64_t now_ms)
{
  store_watch_hint (&store->watches[table], version, now_ms);
}

void
front_store_apply_peer_rows (FrontStore *store, StoreTable table, bool all, StoreAnswer *answer)
{
  store_watch_apply_peer_rows (&store->watches[table], all, answer);
}

int64_t
front_store_version (const FrontStore *store, StoreTable table)
{
  return store->watches[table].table.version;
}

bool
front_store_is_loading (const FrontStore *store, StoreTable table)
{
  const Watch *watch = &store->watches[table];

  return !watch->loaded && !watch->lost;
}

FrontRowsState
front_store_rows_state (const FrontStore *store, StoreTable table)
{
  const Watch *watch = &store->watches[table];

  if (watch->table.version != 0)
    return FRONT_ROWS_KNOWN;
  if (watch->lost)
    return FRONT_ROWS_OUT_OF_REACH;
  return watch->asked_ms != 0 && !watch->asked_peer ? FRONT_ROWS_BEING_READ : FRONT_ROWS_AWAITED;
}

bool
front_store_is_receiving (const FrontStore *store, StoreTable table)
{
  const FrontChannel *channel = store->watches[table].channel;

  return front_channel_is_receiving (channel) && !front_channel_is_slow (channel);
}

bool
front_store_keeps_changes (const FrontStore *store, const RowsRequest *request)
{
  return request->since == 0
         || front_table_keeps_changes_since (&store->watches[request->table].table, request->base);
}

bool
front_store_encode_rows (const FrontStore *store,
                         const RowsRequest *request,
                         Buffer *out,
                         bool *is_part)
{
  const FrontTable *table = &store->watches[request->table].table;
  StorePart part = { .since = request->since, .rows_max = ROWS_PER_PART };

  if (table->version == 0 || !front_store_keeps_changes (store, request))
    return false;
  if (request->since == 0)
    part.base_version = table->version;
  *is_part = wire_store_encode (out, table, &part);
  return true;
}

bool
front_store_has_changes (const FrontStore *store, StoreTable table, int64_t since)
{
  const FrontTable *rows = &store->watches[table].table;

  return since == 0 ? rows->version != 0 : rows->newest > since;
}

/* A front that found no other when it started was the first one, or all listed ones had died. It
 * reads the list again, so that it gets other fronts' reports of bad versions and crashed
 * servers. */
void
store_member_list_tick (FrontStore *store, int64_t now_ms)
{
  Watch *list = &store->watches[STORE_MEMBERS];

  if (now_ms < store->next_list_at_ms || front_channel_is_pending (list->channel)
      || !front_peers_is_alone (store->front->peers, now_ms))
    return;
  store->list_interval_ms *= 2;
  if (store->list_interval_ms > LIST_INTERVAL_MAX_MS)
    store->list_interval_ms = LIST_INTERVAL_MAX_MS;
  store->next_list_at_ms = now_ms + store->list_interval_ms;
  list->loaded = false;
  store_watch_poll (list);
}

FrontStore *
front_store_new (Front *front)
{
  FrontStore *store;
  struct sockaddr_in address;

  if (!front_socket_parse_address (front->settings.store, &address))
    return NULL;
  store = memory_alloc (sizeof *store);
  store->front = front;
  store->address = address;
  store->started_ms = clock_boot_ms ();
  store->list_interval_ms = LIST_INTERVAL_MS;
  store->next_list_at_ms = store->started_ms + LIST_INTERVAL_MS;
  store->writer = front_channel_new (front->base, &address, store_on_written, store);
  for (unsigned i = 0; i < STORE_TABLES; i++)
    store_watch_init (&store->watches[i], store, (StoreTable)i);
  for (unsigned i = 0; i < STORE_TABLES; i++)
    store_watch_poll (&store->watches[i]);
  return store;
}

void
front_store_free (FrontStore *store)
{
  for (unsigned i = 0; i < STORE_TABLES; i++)
    store_watch_clear (&store->watches[i]);
  front_channel_free (store->writer);
  free (store);
}
