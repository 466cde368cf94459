/**
 * Quarantine by deaths of servers and what was in flight. All VMs hold the same set of deaths and
 * judge it by the same rule, so what they refuse agrees as soon as the news has spread.
 */
#include "choose_quarantine.h"

#include "util_id.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

typedef struct
{
  uint64_t server; /**< 0: free */
  int64_t at_ms;
  uint32_t count;
  uint64_t flights[QUARANTINE_FLIGHT_MAX];
} Death;

typedef struct
{
  uint64_t fingerprint; /**< 0: free */
  int64_t until_ms;
} Held;

struct Quarantine
{
  QuarantineSettings settings;
  atomic_uint held_count; /**< so that requests take no lock while nothing is held */
  pthread_mutex_t lock;
  Death deaths[QUARANTINE_DEATHS_MAX];
  Held held[QUARANTINE_HELD_MAX];
};

const QuarantineSettings quarantine_settings_default = {
  .servers = 2,
  .retention_ms = 600000,
  .outage_ms = 120000,
  .same_death_ms = 5000,
  .hold_ms = 3600000,
};

Quarantine *
quarantine_new (const QuarantineSettings *settings)
{
  Quarantine *quarantine = memory_alloc (sizeof *quarantine);

  quarantine->settings = *settings;
  pthread_mutex_init (&quarantine->lock, NULL);
  return quarantine;
}

void
quarantine_free (Quarantine *quarantine)
{
  pthread_mutex_destroy (&quarantine->lock);
  free (quarantine);
}

uint64_t
quarantine_fingerprint (const char *team, const void *body, size_t len)
{
  return id_hash (body, len, id_hash_string (team, 0)) | 1;
}

bool
quarantine_contains (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  bool found = false;
  unsigned i;

  if (atomic_load (&quarantine->held_count) == 0)
    return false;
  pthread_mutex_lock (&quarantine->lock);
  for (i = 0; i < QUARANTINE_HELD_MAX && !found; i++)
    {
      const Held *held = &quarantine->held[i];

      found = held->fingerprint == fingerprint && held->until_ms > now_ms;
    }
  pthread_mutex_unlock (&quarantine->lock);
  return found;
}

static bool
death_includes (const Death *death, uint64_t fingerprint)
{
  unsigned i;

  for (i = 0; i < death->count; i++)
    {
      if (death->flights[i] == fingerprint)
        return true;
    }
  return false;
}

/** Servers that died under a fingerprint, and how it stands among the deaths around them. */
typedef struct
{
  unsigned servers; /**< different ones */
  unsigned others;  /**< deaths without it within outage_ms of its latest */
  int64_t latest_ms;
} Record;

static bool
server_seen (const Quarantine *quarantine, unsigned before, uint64_t fingerprint, uint64_t server)
{
  unsigned i;

  for (i = 0; i < before; i++)
    {
      const Death *death = &quarantine->deaths[i];

      if (death->server == server && death_includes (death, fingerprint))
        return true;
    }
  return false;
}

static Record
record_of (const Quarantine *quarantine, uint64_t fingerprint)
{
  Record record = { .latest_ms = INT64_MIN };
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      if (death->server == 0 || !death_includes (death, fingerprint))
        continue;
      record.servers += !server_seen (quarantine, i, fingerprint, death->server);
      if (death->at_ms > record.latest_ms)
        record.latest_ms = death->at_ms;
    }
  if (record.servers == 0)
    return record;
  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];
      int64_t apart = death->at_ms - record.latest_ms;

      if (death->server == 0 || death_includes (death, fingerprint))
        continue;
      record.others += llabs (apart) < quarantine->settings.outage_ms;
    }
  return record;
}

/** True if another fingerprint was in flight at as many of the deaths: both may be the cause, so
 *  neither is held until another death tells them apart. */
static bool
has_equal (const Quarantine *quarantine, uint64_t fingerprint, const Record *record)
{
  unsigned i, j;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      if (death->server == 0 || !death_includes (death, fingerprint))
        continue;
      for (j = 0; j < death->count; j++)
        {
          if (death->flights[j] == fingerprint)
            continue;
          if (record_of (quarantine, death->flights[j]).servers >= record->servers)
            return true;
        }
    }
  return false;
}

/** A request is the cause if enough different servers died under it, if it explains more of the
 * deaths around them than it does not (a pool that dies as a whole kills servers under many
 * requests, none of which was at most of them), and if no other request explains as many. */
static bool
is_cause (const Quarantine *quarantine, uint64_t fingerprint)
{
  Record record = record_of (quarantine, fingerprint);

  if (record.servers < quarantine->settings.servers || record.others >= record.servers)
    return false;
  return !has_equal (quarantine, fingerprint, &record);
}

static Held *
held_entry (Quarantine *quarantine, uint64_t fingerprint)
{
  Held *found = &quarantine->held[0];
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      Held *held = &quarantine->held[i];

      if (held->fingerprint == fingerprint)
        return held;
      if (found->fingerprint != 0 && (held->fingerprint == 0 || held->until_ms < found->until_ms))
        found = held;
    }
  return found;
}

static void
hold (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  Held *held = held_entry (quarantine, fingerprint);

  if (held->fingerprint == 0)
    atomic_fetch_add (&quarantine->held_count, 1);
  if (held->fingerprint != fingerprint)
    *held = (Held){ .fingerprint = fingerprint };
  held->until_ms = now_ms + quarantine->settings.hold_ms;
}

/** What was held when only its own deaths were known, and is no cause by those known now, is let
 * go: the first two servers of a pool that dies one by one look like two killed by a request. */
static void
review_held (Quarantine *quarantine, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      Held *held = &quarantine->held[i];
      Record record;

      if (held->fingerprint == 0)
        continue;
      record = record_of (quarantine, held->fingerprint);
      /* With no death of it left in memory there is nothing to review. */
      if (held->until_ms > now_ms && (record.servers == 0 || record.others < record.servers))
        continue;
      *held = (Held){ .fingerprint = 0 };
      atomic_fetch_sub (&quarantine->held_count, 1);
    }
}

static void
forget_old (Quarantine *quarantine, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      if (now_ms - quarantine->deaths[i].at_ms > quarantine->settings.retention_ms)
        quarantine->deaths[i].server = 0;
    }
}

/** The entry of this death if it is known, else a free one or the oldest. */
static Death *
death_entry (Quarantine *quarantine, uint64_t server, int64_t at_ms)
{
  Death *found = &quarantine->deaths[0];
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      Death *death = &quarantine->deaths[i];

      if (death->server == server
          && llabs (death->at_ms - at_ms) <= quarantine->settings.same_death_ms)
        return death;
      if (found->server != 0 && (death->server == 0 || death->at_ms < found->at_ms))
        found = death;
    }
  *found = (Death){ .server = server, .at_ms = at_ms };
  return found;
}

static bool
merge_flights (Death *death, const QuarantineDeath *news)
{
  uint32_t before = death->count;
  uint32_t i;

  for (i = 0; i < news->count && i < QUARANTINE_FLIGHT_MAX; i++)
    {
      if (death->count < QUARANTINE_FLIGHT_MAX && !death_includes (death, news->flights[i]))
        death->flights[death->count++] = news->flights[i];
    }
  return death->count > before;
}

bool
quarantine_add (Quarantine *quarantine, const QuarantineDeath *news, int64_t now_ms)
{
  Death *death;
  uint32_t i;
  bool changed;

  if (news->server == 0 || news->age_ms > quarantine->settings.retention_ms)
    return false;
  pthread_mutex_lock (&quarantine->lock);
  forget_old (quarantine, now_ms);
  death = death_entry (quarantine, news->server, now_ms - news->age_ms);
  changed = merge_flights (death, news);
  for (i = 0; i < death->count; i++)
    {
      if (is_cause (quarantine, death->flights[i]))
        hold (quarantine, death->flights[i], now_ms);
    }
  review_held (quarantine, now_ms);
  pthread_mutex_unlock (&quarantine->lock);
  return changed;
}

static int
newest_first (const void *a, const void *b)
{
  const QuarantineDeath *x = a, *y = b;

  if (x->age_ms != y->age_ms)
    return x->age_ms < y->age_ms ? -1 : 1;
  return x->server < y->server ? -1 : x->server > y->server;
}

size_t
quarantine_recent_deaths (Quarantine *quarantine, QuarantineDeath *out, size_t max, int64_t now_ms)
{
  QuarantineDeath all[QUARANTINE_DEATHS_MAX];
  size_t i, j, n = 0;

  pthread_mutex_lock (&quarantine->lock);
  forget_old (quarantine, now_ms);
  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      if (death->server == 0)
        continue;
      all[n] = (QuarantineDeath){
        .server = death->server,
        .age_ms = (uint32_t)(now_ms - death->at_ms),
        .count = death->count,
      };
      for (j = 0; j < death->count; j++)
        all[n].flights[j] = death->flights[j];
      n++;
    }
  pthread_mutex_unlock (&quarantine->lock);
  qsort (all, n, sizeof all[0], newest_first);
  if (n > max)
    n = max;
  for (i = 0; i < n; i++)
    out[i] = all[i];
  return n;
}
