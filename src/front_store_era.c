/* Follows a store that came back from a copy. What was written since the copy was made is gone: the
 * operator and the servers write theirs again, and fronts do with the status of roll-outs and the
 * list of fronts. */
#include "front_log.h"
#include "front_peers.h"
#include "front_store_private.h"
#include "util_clock.h"

/* A poll that was sent before may wait for a version that the store no longer has. */
static void
restart_polls (FrontStore *store)
{
  for (unsigned i = 0; i < STORE_TABLES; i++)
    {
      Watch *watch = &store->watches[i];

      if (watch->loaded && !watch->asked_peer && watch->channel
          && front_channel_is_pending (watch->channel)
          && store_version_era (watch->table.version) < store->era)
        store_watch_restart_poll (watch);
    }
}

bool
store_era_note (FrontStore *store, int64_t era)
{
  int64_t before = store->era;
  FrontLine *line;

  if (era == 0 || era <= before)
    return era == 0 || era == before;
  store->era = era;
  if (before == 0)
    return true;
  line = front_log_begin (FRONT_EVENT_STORE_ERA);
  front_log_number (line, "era", era);
  front_log_number (line, "before", before);
  front_log_end (line);
  front_peers_set_registered (store->front->peers, false);
  store_clock_restarted (&store->clock);
  restart_polls (store);
  return true;
}

void
store_era_begin (Watch *watch, int64_t version)
{
  FrontLine *line;

  if (!front_table_is_new_era (&watch->table, version))
    return;
  store_era_note (watch->store, store_version_era (version));
  if (watch->table.version == 0)
    return;
  watch->era_began_ms = watch->recovered_ms = clock_boot_ms ();
  line = front_log_begin (FRONT_EVENT_ROWS_ERA);
  front_log_text (line, "table", store_watch_name (watch));
  front_log_number (line, "era", store_version_era (version));
  front_log_number (line, "known", store_version_number (watch->table.version));
  front_log_number (line, "now", store_version_number (version));
  front_log_end (line);
}

bool
store_era_is_settling (const Watch *watch)
{
  return watch->era_began_ms != 0;
}

void
store_era_tick (Watch *watch, int64_t now_ms)
{
  if (watch->era_began_ms == 0 || now_ms - watch->era_began_ms < STORE_RELIST_MS)
    return;
  watch->era_began_ms = 0;
  if (watch->id == STORE_OPERATOR)
    store_apply_deferred (watch->store);
}
