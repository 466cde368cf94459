/**
 * All VMs apply the same rule to the same set of deaths, so their decisions agree as soon as the
 * reports have spread.
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
} QuarantineEntry;

struct Quarantine
{
  QuarantineSettings settings;
  atomic_uint held_count; /**< if 0, quarantine_contains takes no lock */
  pthread_mutex_t lock;
  Death deaths[QUARANTINE_DEATHS_MAX];
  QuarantineEntry held[QUARANTINE_HELD_MAX];
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

static bool
is_held (const Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      const QuarantineEntry *held = &quarantine->held[i];

      if (held->fingerprint == fingerprint && held->until_ms > now_ms)
        return true;
    }
  return false;
}

bool
quarantine_contains (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  bool found;

  if (atomic_load (&quarantine->held_count) == 0)
    return false;
  pthread_mutex_lock (&quarantine->lock);
  found = is_held (quarantine, fingerprint, now_ms);
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

/** Counts of the deaths that include a fingerprint, and of those around them that don't. */
typedef struct
{
  unsigned servers; /**< different servers that died while running the fingerprint */
  unsigned others;  /**< deaths that don't include it within outage_ms of the latest that does */
  int64_t latest_ms;
} DeathCounts;

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

static DeathCounts
count_deaths (const Quarantine *quarantine, uint64_t fingerprint)
{
  DeathCounts counts = { .latest_ms = INT64_MIN };
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      if (death->server == 0 || !death_includes (death, fingerprint))
        continue;
      counts.servers += !server_seen (quarantine, i, fingerprint, death->server);
      if (death->at_ms > counts.latest_ms)
        counts.latest_ms = death->at_ms;
    }
  if (counts.servers == 0)
    return counts;
  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];
      int64_t apart = death->at_ms - counts.latest_ms;

      if (death->server == 0 || death_includes (death, fingerprint))
        continue;
      counts.others += llabs (apart) < quarantine->settings.outage_ms;
    }
  return counts;
}

QuarantineEvidence
quarantine_evidence (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  QuarantineEvidence evidence;
  DeathCounts counts;

  pthread_mutex_lock (&quarantine->lock);
  counts = count_deaths (quarantine, fingerprint);
  evidence = (QuarantineEvidence){
    .servers = counts.servers,
    .others = counts.others,
    .is_held = is_held (quarantine, fingerprint, now_ms),
  };
  pthread_mutex_unlock (&quarantine->lock);
  return evidence;
}

/** True if another fingerprint was in flight at as many of the deaths: either may be the cause, so
 *  neither is quarantined until another death tells them apart. */
static bool
is_ambiguous (const Quarantine *quarantine, uint64_t fingerprint, const DeathCounts *counts)
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
          if (count_deaths (quarantine, death->flights[j]).servers >= counts->servers)
            return true;
        }
    }
  return false;
}

/** A request is assumed to be the cause if enough different servers died while running it, if it
 *  was in flight at more of the deaths around them than it was not, and if no other request was in
 *  flight at as many. In an outage of a whole pool servers die while running many requests, none of
 *  which was in flight at most of the deaths. */
static bool
is_cause (const Quarantine *quarantine, uint64_t fingerprint)
{
  DeathCounts counts = count_deaths (quarantine, fingerprint);

  if (counts.servers < quarantine->settings.servers || counts.others >= counts.servers)
    return false;
  return !is_ambiguous (quarantine, fingerprint, &counts);
}

static QuarantineEntry *
find_or_replace_entry (Quarantine *quarantine, uint64_t fingerprint)
{
  QuarantineEntry *found = &quarantine->held[0];
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      QuarantineEntry *held = &quarantine->held[i];

      if (held->fingerprint == fingerprint)
        return held;
      if (found->fingerprint != 0 && (held->fingerprint == 0 || held->until_ms < found->until_ms))
        found = held;
    }
  return found;
}

static void
quarantine_request (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  QuarantineEntry *held = find_or_replace_entry (quarantine, fingerprint);

  if (held->fingerprint == 0)
    atomic_fetch_add (&quarantine->held_count, 1);
  if (held->fingerprint != fingerprint)
    *held = (QuarantineEntry){ .fingerprint = fingerprint };
  held->until_ms = now_ms + quarantine->settings.hold_ms;
}

/** Releases fingerprints that, by the deaths known now, are no longer the likely cause: the first
 *  two servers of a pool that dies one by one look like two killed by a request. */
static void
review_entries (Quarantine *quarantine, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      QuarantineEntry *held = &quarantine->held[i];
      DeathCounts counts;

      if (held->fingerprint == 0)
        continue;
      counts = count_deaths (quarantine, held->fingerprint);
      /* If all deaths that include it have expired, it stays refused until until_ms. */
      if (held->until_ms > now_ms && (counts.servers == 0 || counts.others < counts.servers))
        continue;
      *held = (QuarantineEntry){ .fingerprint = 0 };
      atomic_fetch_sub (&quarantine->held_count, 1);
    }
}

static void
drop_expired (Quarantine *quarantine, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      if (now_ms - quarantine->deaths[i].at_ms > quarantine->settings.retention_ms)
        quarantine->deaths[i].server = 0;
    }
}

/** The entry of this death if there is one, else a new one in place of a free or the oldest
 *  entry. */
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
merge_flights (Death *death, const QuarantineDeath *reported)
{
  uint32_t before = death->count;
  uint32_t i;

  for (i = 0; i < reported->count && i < QUARANTINE_FLIGHT_MAX; i++)
    {
      if (death->count < QUARANTINE_FLIGHT_MAX && !death_includes (death, reported->flights[i]))
        death->flights[death->count++] = reported->flights[i];
    }
  return death->count > before;
}

bool
quarantine_add (Quarantine *quarantine, const QuarantineDeath *reported, int64_t now_ms)
{
  Death *death;
  uint32_t i;
  bool changed;

  if (reported->server == 0 || reported->age_ms > quarantine->settings.retention_ms)
    return false;
  pthread_mutex_lock (&quarantine->lock);
  drop_expired (quarantine, now_ms);
  death = death_entry (quarantine, reported->server, now_ms - reported->age_ms);
  changed = merge_flights (death, reported);
  for (i = 0; i < death->count; i++)
    {
      if (is_cause (quarantine, death->flights[i]))
        quarantine_request (quarantine, death->flights[i], now_ms);
    }
  review_entries (quarantine, now_ms);
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
  drop_expired (quarantine, now_ms);
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
