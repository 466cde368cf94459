#include "front_waits.h"
#include "front_waits_outbox.h"
#include "front_waits_row.h"
#include "util_id.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>

/* Weight of a row's samples below which it says nothing any more. */
#define WEIGHT_MIN 0.05
/* A request turned away would have waited at least so many milliseconds: about as long as a slot
 * takes to become free. */
#define FULL_MS 400.0

struct FrontWaits
{
  Index rows;
  struct cds_list_head order; /* WaitsRow by node, the least recently changed first */
  WaitsOutbox outbox;
};

FrontWaits *
front_waits_new (void)
{
  FrontWaits *waits = memory_alloc (sizeof *waits);

  CDS_INIT_LIST_HEAD (&waits->order);
  return waits;
}

static void
row_free (FrontWaits *waits, WaitsRow *row)
{
  index_remove (&waits->rows, &row->by_key);
  cds_list_del (&row->node);
  free (row);
}

void
front_waits_free (FrontWaits *waits)
{
  WaitsRow *row, *next;

  if (!waits)
    return;
  cds_list_for_each_entry_safe (row, next, &waits->order, node)
  {
    row_free (waits, row);
  }
  index_clear (&waits->rows);
  free (waits);
}

unsigned
front_waits_rank (int64_t rank)
{
  if (rank < 0)
    return 0;
  return rank < URGENCY_RANK_MAX ? (unsigned)rank : URGENCY_RANK_MAX;
}

static uint64_t
row_key (uint64_t subject, unsigned rank, bool is_service)
{
  return id_hash (&subject, sizeof subject, rank * 2 + is_service);
}

static WaitsRow *
row_find (const FrontWaits *waits, uint64_t subject, unsigned rank, bool is_service)
{
  IndexEntry *entry;

  if (!waits || waits->rows.count == 0)
    return NULL;
  entry = index_first (&waits->rows, row_key (subject, rank, is_service));
  for (; entry; entry = index_next (&waits->rows, entry))
    {
      WaitsRow *row = caa_container_of (entry, WaitsRow, by_key);

      if (row->subject == subject && row->rank == rank && row->is_service == is_service)
        return row;
    }
  return NULL;
}

static WaitsRow *
row_new (FrontWaits *waits, uint64_t subject, unsigned rank, bool is_service)
{
  WaitsRow *row;

  if (waits->rows.count >= WAITS_ROWS_MAX)
    row_free (waits, cds_list_first_entry (&waits->order, WaitsRow, node));
  row = memory_alloc (sizeof *row);
  row->subject = subject;
  row->rank = rank;
  row->is_service = is_service;
  index_add (&waits->rows, &row->by_key, row_key (subject, rank, is_service));
  cds_list_add_tail (&row->node, &waits->order);
  return row;
}

static double
row_belief_ms (const WaitsRow *row, double prior_ms, int64_t now_ms)
{
  return row ? waits_row_ms (row, prior_ms, now_ms) : prior_ms;
}

/* True if the sample was taken in. */
static bool
row_take (FrontWaits *waits, WaitsRow *row, const WaitsSample *sample, int64_t now_ms)
{
  if (!row)
    return false;
  waits_row_add (row, sample, now_ms);
  cds_list_del (&row->node);
  cds_list_add_tail (&row->node, &waits->order);
  return true;
}

/* A row begins only where a wait matters, the subject's own or that of others: until then the table
 * stays empty. */
static WaitsRow *
row_for (FrontWaits *waits, uint64_t subject, unsigned rank, bool is_service, double matters_ms)
{
  WaitsRow *row = row_find (waits, subject, rank, is_service);

  return row || matters_ms < WAITS_MIN_MS ? row : row_new (waits, subject, rank, is_service);
}

static double
clamp_wait (double wait_ms)
{
  return fmin (fmax (wait_ms, 0), WAITS_MAX_MS);
}

bool
front_waits_add (FrontWaits *waits, const WaitSample *sample, int64_t now_ms)
{
  double wait_ms = clamp_wait (sample->wait_ms);
  WaitsSample known = { .at_ms = now_ms, .request = sample->request, .ms = (float)wait_ms };
  WaitBelief general, belief;
  bool taken;

  if (!isfinite (sample->wait_ms) || sample->rank >= WAITS_RANKS || now_ms <= 0)
    return false;
  general = front_waits_general (waits, sample->service, sample->rank, now_ms);
  belief = front_waits_of (waits, sample->server, sample->rank, &general, now_ms);
  if (!sample->is_bound || wait_ms > general.ms)
    row_take (waits, row_for (waits, sample->service, sample->rank, true, wait_ms), &known, now_ms);
  if (sample->is_bound && wait_ms <= belief.ms)
    return true;
  taken = row_take (
      waits, row_for (waits, sample->server, sample->rank, false, fmax (wait_ms, general.ms)),
      &known, now_ms);
  if (taken && fmax (wait_ms, belief.ms) >= WAITS_MIN_MS)
    waits_outbox_put (&waits->outbox, sample, now_ms);
  return true;
}

bool
front_waits_full (FrontWaits *waits, const WaitSample *sample, int64_t now_ms)
{
  WaitSample bound = *sample;

  bound.wait_ms = FULL_MS;
  bound.is_bound = true;
  return front_waits_add (waits, &bound, now_ms);
}

bool
front_waits_told (FrontWaits *waits, const WaitReport *report, uint64_t author, int64_t now_ms)
{
  WaitsSample sample = {
    .at_ms = now_ms - (int64_t)report->age_ms,
    .author = author,
    .request = report->request,
    .ms = (float)report->wait_ms,
  };

  if (report->wait_ms > WAITS_MAX_MS || report->rank >= WAITS_RANKS
      || report->age_ms > WAITS_AGE_MAX_MS || sample.at_ms <= 0 || author == 0)
    return false;
  row_take (waits,
            row_for (waits, report->server, report->rank, false,
                     waits->rows.count > 0 ? WAITS_MIN_MS : report->wait_ms),
            &sample, now_ms);
  return true;
}

unsigned
front_waits_take (FrontWaits *waits, WaitReport *out, unsigned max, int64_t now_ms)
{
  return waits_outbox_take (&waits->outbox, out, max, now_ms);
}

static WaitBelief
belief_of (const WaitsRow *row, double prior_ms, int64_t now_ms)
{
  return (WaitBelief){
    .ms = clamp_wait (row_belief_ms (row, prior_ms, now_ms)),
    .age_ms = now_ms > row->latest_ms ? now_ms - row->latest_ms : 0,
    .is_told = row->is_told,
    .is_general = row->is_service,
  };
}

WaitBelief
front_waits_general (const FrontWaits *waits, uint64_t service, unsigned rank, int64_t now_ms)
{
  const WaitsRow *row = row_find (waits, service, rank, true);

  return row ? belief_of (row, 0, now_ms) : (WaitBelief){ .age_ms = -1, .is_general = true };
}

WaitBelief
front_waits_of (const FrontWaits *waits,
                uint64_t server,
                unsigned rank,
                const WaitBelief *general,
                int64_t now_ms)
{
  const WaitsRow *row = row_find (waits, server, rank, false);

  return row ? belief_of (row, general->ms, now_ms) : *general;
}

/* What answers as predicted say matters only beside those that are late. */
static bool
is_calm (const FrontWaits *waits)
{
  const WaitsRow *row;

  cds_list_for_each_entry (row, &waits->order, node)
  {
    if (row->median_ms >= WAITS_MIN_MS)
      return false;
  }
  return true;
}

void
front_waits_expire (FrontWaits *waits, int64_t now_ms)
{
  WaitsRow *row, *next;
  bool calm = is_calm (waits);

  cds_list_for_each_entry_safe (row, next, &waits->order, node)
  {
    if (!calm && waits_row_weight (row, now_ms) >= WEIGHT_MIN)
      return;
    row_free (waits, row);
  }
}

unsigned
front_waits_count (const FrontWaits *waits)
{
  return waits->rows.count;
}
