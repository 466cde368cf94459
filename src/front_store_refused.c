/* Keeps in the store which requests crash backend servers. Fronts tell each other, but all of them
 * may restart within seconds. */
#include "front_deaths.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_refused_row.h"
#include "front_store_private.h"
#include "util_clock.h"
#include "wire_store.h"

#define RANK_SUBJECT 0x72656675u

static size_t
read_row (const FrontStore *store,
          const StoreRow *row,
          QuarantineRefusal out[REFUSED_ROW_MAX],
          int64_t now_ms)
{
  int64_t store_ms;

  if (!row || !store_clock_from_own (&store->clock, now_ms, &store_ms))
    return 0;
  return front_refused_row_decode ((Span){ .text = row->value, .len = row->value_len }, out,
                                   store_ms);
}

void
store_refused_apply (FrontStore *store, const StoreRow *row)
{
  QuarantineRefusal refusals[REFUSED_ROW_MAX];
  int64_t now_ms = clock_boot_ms ();
  size_t count = read_row (store, row, refusals, now_ms);

  for (size_t i = 0; i < count; i++)
    front_deaths_refusal_told (store->front, &refusals[i], now_ms);
}

static bool
has (const QuarantineRefusal *refusals, size_t count, uint64_t fingerprint)
{
  for (size_t i = 0; i < count; i++)
    {
      if (refusals[i].fingerprint == fingerprint)
        return true;
    }
  return false;
}

/* Adds what is refused here and missing in the list; returns the new length of the list. */
static size_t
add_missing (const FrontStore *store, QuarantineRefusal *list, size_t count, int64_t now_ms)
{
  QuarantineRefusal own[REFUSED_ROW_MAX];
  size_t own_count
      = quarantine_refusals (store->front->quarantine, own, REFUSED_ROW_MAX, 0, now_ms);

  for (size_t i = 0; i < own_count && count < REFUSED_ROW_MAX; i++)
    {
      if (!has (list, count, own[i].fingerprint))
        list[count++] = own[i];
    }
  return count;
}

bool
store_refused_write (FrontStore *store, int64_t now_ms)
{
  const StoreRow *row = front_table_find (&store->watches[STORE_STATUS].table, wire_key_refused);
  QuarantineRefusal list[REFUSED_ROW_MAX];
  size_t known = read_row (store, row, list, now_ms);
  size_t count = add_missing (store, list, known, now_ms);
  int64_t store_ms;
  FrontLine *line;
  Buffer value = { 0 };

  if (count == known || !store_clock_from_own (&store->clock, now_ms, &store_ms))
    {
      store->refused_since_ms = 0;
      return false;
    }
  if (store->refused_since_ms == 0)
    store->refused_since_ms = now_ms;
  if (now_ms - store->refused_since_ms
      < (int64_t)front_peers_rank (store->front->peers, RANK_SUBJECT, now_ms) * STORE_RANK_DELAY_MS)
    return false;
  front_refused_row_encode (&value, list, count, store_ms);
  line = front_log_begin (FRONT_EVENT_STORE_WRITE);
  front_log_text (line, "key", wire_key_refused);
  front_log_text (line, "value", value.data);
  front_log_end (line);
  store->writing_refused = true;
  store_write_status_row (store, wire_key_refused, &value, row, NULL);
  buffer_free (&value);
  return true;
}
