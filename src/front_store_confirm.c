/* Makes sure that a change of the tables that callers depend on is known here in time, whatever has
 * become of the fronts that were to tell of it. */
#include "front_log.h"
#include "front_peers.h"
#include "front_store_private.h"
#include "util_id.h"

/* Milliseconds from a check that failed to the next one, at most; at least half of that. A front
 * may have no other that tells it when the store is back, and has to know changes three seconds
 * later. */
#define PAUSE_MS 2000
/* Fronts up to which each may read a whole table at the store: all may have to at one moment. */
#define READERS_MAX 100
/* A confirmation from further ahead than this, in milliseconds, is none of this store's clock. */
#define AHEAD_MAX_MS 1000

static bool
is_confirmed_table (StoreTable table)
{
  return table == STORE_OPERATOR || table == STORE_SERVERS;
}

/* When the answer was given: not before it was asked for, and not later than now. */
static int64_t
answered_at_ms (const Watch *watch, const StoreAnswer *answer, int64_t now_ms)
{
  int64_t at_ms;

  if (!answer->has_clock || !store_clock_to_own (&watch->store->clock, answer->clock_ms, &at_ms)
      || at_ms < watch->asked_ms)
    return watch->asked_ms;
  return at_ms < now_ms ? at_ms : now_ms;
}

void
store_confirm_answer (Watch *watch, const StoreAnswer *answer, int64_t now_ms)
{
  const Confirmation shown
      = { .at_ms = answer->clock_ms, .newest = front_store_newest (watch->store, watch->id) };

  front_confirm_note (&watch->confirm, answered_at_ms (watch, answer, now_ms));
  watch->store->is_turned_away = false;
  if (answer->has_clock && (watch->is_short_poll || watch->is_check))
    front_peers_send_confirmation (watch->store->front->peers, watch->id, &shown, now_ms);
}

static void
log_refused (const char *reason, uint32_t table, const Confirmation *told)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_CONFIRM_REFUSED);

  front_log_text (line, "reason", reason);
  front_log_number (line, "table", table);
  front_log_number (line, "store_ms", told->at_ms);
  front_log_number (line, "newest", store_version_number (told->newest));
  front_log_end (line);
}

bool
front_store_confirmation_told (FrontStore *store,
                               uint32_t table,
                               const Confirmation *told,
                               int64_t now_ms)
{
  Confirmation own = *told;
  Watch *watch;

  if (table >= STORE_TABLES || !is_confirmed_table ((StoreTable)table))
    {
      log_refused ("table", table, told);
      return false;
    }
  watch = &store->watches[table];
  if (!store_clock_to_own (&store->clock, told->at_ms, &own.at_ms))
    return true;
  if (own.at_ms > now_ms + AHEAD_MAX_MS)
    {
      log_refused ("time", table, told);
      return false;
    }
  if (own.at_ms > now_ms)
    own.at_ms = now_ms;
  /* While all rows are being read again, the table may lack removals up to its version. */
  front_confirm_told (&watch->confirm, &own, watch->loaded ? watch->table.version : 0);
  return true;
}

int64_t
front_store_confirmed_age_ms (const FrontStore *store, StoreTable table, int64_t now_ms)
{
  const Watch *watch = &store->watches[table];

  return watch->confirm.at_ms == 0 || !is_confirmed_table (table) ? -1
                                                                  : now_ms - watch->confirm.at_ms;
}

/* True if nobody has confirmed the table for too long, and the store may be asked. */
static bool
is_overdue (const Watch *watch, int64_t now_ms)
{
  const FrontStore *store = watch->store;
  const Front *front = store->front;
  int64_t age_ms = now_ms - watch->confirm.at_ms;

  if (!is_confirmed_table (watch->id) || (store->is_turned_away && now_ms < store->next_check_ms)
      || (double)age_ms < front_confirm_limit_ms (front->settings.config_apply_ms, 0))
    return false;
  return (double)age_ms >= front_confirm_limit_ms (front->settings.config_apply_ms,
                                                   front_peers_tree_level (front->peers, now_ms));
}

bool
store_confirm_is_due (const Watch *watch, int64_t now_ms)
{
  return watch->loaded && is_overdue (watch, now_ms);
}

bool
store_confirm_may_read (const Watch *watch, int64_t now_ms)
{
  return front_peers_alive (watch->store->front->peers, now_ms) <= READERS_MAX;
}

bool
store_confirm_read_is_due (const Watch *watch, int64_t now_ms)
{
  return !watch->loaded && watch->table.version != 0 && store_confirm_may_read (watch, now_ms)
         && is_overdue (watch, now_ms);
}

static void
pause_checks (FrontStore *store, int64_t now_ms)
{
  store->next_check_ms = now_ms + PAUSE_MS / 2 + (int64_t)(id_random_u64 () % (PAUSE_MS / 2));
}

/* After a failed one the checks of all tables wait for the outcome of the next. */
void
store_confirm_check_begun (Watch *watch, int64_t now_ms)
{
  if (watch->store->is_turned_away)
    pause_checks (watch->store, now_ms);
}

void
store_confirm_check_failed (Watch *watch, int64_t now_ms)
{
  watch->store->is_turned_away = true;
  pause_checks (watch->store, now_ms);
}
