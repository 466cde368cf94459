/* What VMs tell each other of deaths and of refused fingerprints. */
#include "choose_quarantine_private.h"
#include "util_id.h"
#include <stdlib.h>

void
quarantine_add_refusal (Quarantine *quarantine, const QuarantineRefusal *refusal, int64_t now_ms)
{
  const QuarantineEntry *known;
  QuarantineEntry *held;

  if (refusal->fingerprint == 0 || refusal->left_ms == 0
      || refusal->left_ms > quarantine->settings.hold_ms)
    return;
  pthread_mutex_lock (&quarantine->lock);
  /* The time left is not taken from a later report: it includes the transfer's delay, and two VMs
   * would prolong each other's refusal without end. */
  known = quarantine_find (quarantine, refusal->fingerprint, now_ms);
  if (!known || known->is_suspended)
    {
      quarantine_request (quarantine, refusal->fingerprint, now_ms);
      held = quarantine_entry (quarantine, refusal->fingerprint);
      held->until_ms = now_ms + refusal->left_ms;
    }
  quarantine_entry (quarantine, refusal->fingerprint)->is_final = true;
  pthread_mutex_unlock (&quarantine->lock);
}

int64_t
quarantine_left_ms (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  int64_t left_ms = 0;

  if (atomic_load (&quarantine->held_count) == 0)
    return 0;
  pthread_mutex_lock (&quarantine->lock);
  if (quarantine_is_held (quarantine, fingerprint, now_ms))
    left_ms = quarantine_entry (quarantine, fingerprint)->until_ms - now_ms;
  pthread_mutex_unlock (&quarantine->lock);
  return left_ms;
}

void
quarantine_release (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  pthread_mutex_lock (&quarantine->lock);
  if (quarantine_is_held (quarantine, fingerprint, now_ms))
    quarantine_entry (quarantine, fingerprint)->until_ms = now_ms;
  pthread_mutex_unlock (&quarantine->lock);
}

size_t
quarantine_refusals (Quarantine *quarantine,
                     QuarantineRefusal *out,
                     size_t max,
                     unsigned turn,
                     int64_t now_ms)
{
  size_t count = 0;
  size_t i;

  if (atomic_load (&quarantine->held_count) == 0)
    return 0;
  pthread_mutex_lock (&quarantine->lock);
  quarantine_make_final (quarantine, now_ms);
  for (i = 0; i < QUARANTINE_HELD_MAX && count < max; i++)
    {
      const QuarantineEntry *held = &quarantine->held[(turn * max + i) % QUARANTINE_HELD_MAX];

      if (held->fingerprint == 0 || !held->is_final || held->until_ms <= now_ms)
        continue;
      out[count++] = (QuarantineRefusal){
        .fingerprint = held->fingerprint,
        .left_ms = (uint32_t)(held->until_ms - now_ms),
      };
    }
  pthread_mutex_unlock (&quarantine->lock);
  return count;
}

/* A fingerprint at a recent death. */
typedef struct
{
  uint64_t fingerprint;
  uint64_t draw;  /* order among equal ones; differs from turn to turn */
  unsigned death; /* index */
  unsigned rank;
} Flight;

/* A recent death. */
typedef struct
{
  uint64_t draw;
  unsigned death; /* index */
  unsigned rank;  /* highest of its flights */
} ReportedDeath;

typedef struct
{
  size_t death_count;
  ReportedDeath deaths[QUARANTINE_DEATHS_MAX];
  size_t flight_count;
  Flight flights[QUARANTINE_DEATHS_MAX * QUARANTINE_FLIGHT_MAX];
} Ranking;

static uint64_t
draw (uint64_t subject, unsigned turn)
{
  return id_hash (&subject, sizeof subject, turn);
}

static int
flight_order (const void *a, const void *b)
{
  const Flight *x = a, *y = b;

  if (x->rank != y->rank)
    return x->rank > y->rank ? -1 : 1;
  return (x->draw > y->draw) - (x->draw < y->draw);
}

static int
death_order (const void *a, const void *b)
{
  const ReportedDeath *x = a, *y = b;

  if (x->rank != y->rank)
    return x->rank > y->rank ? -1 : 1;
  return (x->draw > y->draw) - (x->draw < y->draw);
}

/* Known causes come first, then what was in flight at the most deaths that they don't explain:
 * harmless requests that were retried together with a cause would else crowd out the next one. */
static unsigned
rank_of (const Suspects *suspects, const Suspect *suspect)
{
  if (suspect->is_cause)
    return QUARANTINE_DEATHS_MAX;
  return (unsigned)__builtin_popcountll (suspect->deaths & ~suspects->explained);
}

static void
add_flights (Ranking *ranking,
             const Quarantine *quarantine,
             const Suspect *suspect,
             unsigned rank,
             unsigned turn)
{
  size_t i;

  for (i = 0; i < ranking->death_count; i++)
    {
      ReportedDeath *reported = &ranking->deaths[i];

      if (!(suspect->deaths & DEATH_BIT (reported->death)))
        continue;
      ranking->flights[ranking->flight_count++] = (Flight){
        .fingerprint = suspect->fingerprint,
        .draw = draw (suspect->fingerprint ^ quarantine->deaths[reported->death].server, turn),
        .death = reported->death,
        .rank = rank,
      };
      if (rank > reported->rank)
        reported->rank = rank;
    }
}

static void
add_deaths (Ranking *ranking,
            const Quarantine *quarantine,
            int64_t age_ms,
            unsigned turn,
            int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      if (death->server != 0 && now_ms - death->at_ms <= age_ms)
        ranking->deaths[ranking->death_count++]
            = (ReportedDeath){ .draw = draw (death->server, turn), .death = i };
    }
}

static void
rank_all (Ranking *ranking,
          const Quarantine *quarantine,
          int64_t age_ms,
          unsigned turn,
          int64_t now_ms)
{
  Suspects suspects;
  size_t i;

  ranking->death_count = ranking->flight_count = 0;
  add_deaths (ranking, quarantine, age_ms, turn, now_ms);
  if (ranking->death_count == 0)
    return;
  quarantine_suspects_judge (quarantine, &suspects, now_ms);
  for (i = 0; i < suspects.count; i++)
    add_flights (ranking, quarantine, &suspects.list[i], rank_of (&suspects, &suspects.list[i]),
                 turn);
  qsort (ranking->deaths, ranking->death_count, sizeof *ranking->deaths, death_order);
  qsort (ranking->flights, ranking->flight_count, sizeof *ranking->flights, flight_order);
}

static size_t
report (const Quarantine *quarantine,
        Ranking *ranking,
        QuarantineDeath *out,
        const QuarantineReportLimit *limit,
        int64_t now_ms)
{
  int places[QUARANTINE_DEATHS_MAX];
  unsigned flights = 0;
  size_t count = 0, i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    places[i] = -1;
  for (; count < ranking->death_count && count < limit->deaths; count++)
    {
      const Death *death = &quarantine->deaths[ranking->deaths[count].death];

      places[ranking->deaths[count].death] = (int)count;
      out[count] = (QuarantineDeath){ .server = death->server,
                                      .age_ms = (uint32_t)(now_ms - death->at_ms) };
    }
  for (i = 0; i < ranking->flight_count && flights < limit->flights; i++)
    {
      int place = places[ranking->flights[i].death];

      if (place < 0)
        continue;
      out[place].flights[out[place].count++] = ranking->flights[i].fingerprint;
      flights++;
    }
  return count;
}

size_t
quarantine_report (Quarantine *quarantine,
                   QuarantineDeath *out,
                   const QuarantineReportLimit *limit,
                   unsigned turn,
                   int64_t now_ms)
{
  Ranking ranking;
  size_t count;

  pthread_mutex_lock (&quarantine->lock);
  rank_all (&ranking, quarantine, limit->age_ms, turn, now_ms);
  count = report (quarantine, &ranking, out, limit, now_ms);
  pthread_mutex_unlock (&quarantine->lock);
  return count;
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
  quarantine_drop_expired (quarantine, now_ms);
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
