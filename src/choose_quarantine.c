/**
 * All VMs apply the same rule to the same set of deaths, so their decisions agree as soon as the
 * reports have spread.
 */
#include "choose_quarantine_private.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdlib.h>

const QuarantineSettings quarantine_settings_default = {
  .servers = 2,
  .repeated_deaths = 0,
  .suspect_hold_ms = 0,
  .retention_ms = 600000,
  .outage_ms = 120000,
  .same_death_ms = 5000,
  .hold_ms = 3600000,
  .final_after_ms = INT64_MAX,
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

const QuarantineEntry *
quarantine_find (const Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      const QuarantineEntry *held = &quarantine->held[i];

      if (held->fingerprint == fingerprint && held->until_ms > now_ms)
        return held;
    }
  return NULL;
}

bool
quarantine_is_held (const Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  return quarantine_find (quarantine, fingerprint, now_ms) != NULL;
}

bool
quarantine_contains (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  bool found;

  if (atomic_load (&quarantine->held_count) == 0)
    return false;
  pthread_mutex_lock (&quarantine->lock);
  found = quarantine_is_held (quarantine, fingerprint, now_ms);
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

static QuarantineEvidence
evidence_of (const Quarantine *quarantine,
             const Suspects *suspects,
             uint64_t fingerprint,
             int64_t now_ms)
{
  QuarantineEvidence evidence = { .is_held = quarantine_is_held (quarantine, fingerprint, now_ms) };
  const Suspect *suspect = quarantine_suspect (suspects, fingerprint);

  if (!suspect)
    return evidence;
  evidence.servers = quarantine_count_servers (quarantine, suspect->deaths);
  evidence.others = quarantine_count_others (quarantine, suspects, suspect->deaths);
  if (evidence.servers > 1)
    evidence.rivals = quarantine_count_rivals (quarantine, suspects, suspect);
  return evidence;
}

void
quarantine_evidence (Quarantine *quarantine,
                     const QuarantineDeath *death,
                     QuarantineEvidence *out,
                     int64_t now_ms)
{
  Suspects suspects;
  uint32_t i;

  pthread_mutex_lock (&quarantine->lock);
  quarantine_suspects_judge (quarantine, &suspects, now_ms);
  for (i = 0; i < death->count; i++)
    out[i] = evidence_of (quarantine, &suspects, death->flights[i], now_ms);
  pthread_mutex_unlock (&quarantine->lock);
}

QuarantineEntry *
quarantine_entry (Quarantine *quarantine, uint64_t fingerprint)
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
occupy (Quarantine *quarantine, QuarantineEntry *held, const QuarantineEntry *with)
{
  if (held->fingerprint == 0)
    atomic_fetch_add (&quarantine->held_count, 1);
  *held = *with;
}

void
quarantine_request (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  QuarantineEntry *held = quarantine_entry (quarantine, fingerprint);
  QuarantineEntry fresh = { .fingerprint = fingerprint, .since_ms = now_ms };

  if (held->fingerprint != fingerprint || held->until_ms <= now_ms || held->is_suspended)
    occupy (quarantine, held, &fresh);
  held->until_ms = now_ms + quarantine->settings.hold_ms;
}

void
quarantine_suspend (Quarantine *quarantine, uint64_t fingerprint, int64_t until_ms, int64_t now_ms)
{
  QuarantineEntry *held = quarantine_entry (quarantine, fingerprint);
  QuarantineEntry suspended = {
    .fingerprint = fingerprint, .since_ms = now_ms, .until_ms = until_ms, .is_suspended = true
  };

  if (until_ms > now_ms && !quarantine_is_held (quarantine, fingerprint, now_ms))
    occupy (quarantine, held, &suspended);
}

void
quarantine_make_final (Quarantine *quarantine, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      QuarantineEntry *held = &quarantine->held[i];

      held->is_final |= held->fingerprint != 0 && !held->is_suspended
                        && now_ms - held->since_ms >= quarantine->settings.final_after_ms;
    }
}

static unsigned
answer_place (uint64_t fingerprint)
{
  return (fingerprint >> 1) % ANSWERS_MAX; /* the lowest bit is always set */
}

int64_t
quarantine_answered_ms (const Quarantine *quarantine, uint64_t fingerprint)
{
  const CompleteAnswer *answer = &quarantine->answers[answer_place (fingerprint)];

  return answer->fingerprint == fingerprint ? answer->at_ms : INT64_MIN;
}

void
quarantine_note_answer (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  QuarantineEntry *held;

  pthread_mutex_lock (&quarantine->lock);
  quarantine->answers[answer_place (fingerprint)]
      = (CompleteAnswer){ .fingerprint = fingerprint, .at_ms = now_ms };
  held = quarantine_entry (quarantine, fingerprint);
  if (held->fingerprint == fingerprint && held->is_suspended)
    held->until_ms = now_ms;
  pthread_mutex_unlock (&quarantine->lock);
}

size_t
quarantine_take_released (Quarantine *quarantine, uint64_t *out, size_t max)
{
  size_t count;

  pthread_mutex_lock (&quarantine->lock);
  for (count = 0; count < quarantine->released_count && count < max; count++)
    out[count] = quarantine->released[count];
  quarantine->released_count = 0;
  pthread_mutex_unlock (&quarantine->lock);
  return count;
}

void
quarantine_drop_expired (Quarantine *quarantine, int64_t now_ms)
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
death_entry (Quarantine *quarantine, uint64_t server, int64_t at_ms, bool *is_new)
{
  Death *found = &quarantine->deaths[0];
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      Death *death = &quarantine->deaths[i];

      if (death->server == server
          && llabs (death->at_ms - at_ms) <= quarantine->settings.same_death_ms)
        {
          *is_new = false;
          return death;
        }
      if (found->server != 0 && (death->server == 0 || death->at_ms < found->at_ms))
        found = death;
    }
  *found = (Death){ .server = server, .at_ms = at_ms };
  *is_new = true;
  return found;
}

/** Number of other deaths that include the fingerprint. */
static unsigned
count_other_deaths (const Quarantine *quarantine, const Death *death, uint64_t fingerprint)
{
  unsigned count = 0, i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *other = &quarantine->deaths[i];

      count += other != death && other->server != 0 && death_includes (other, fingerprint);
    }
  return count;
}

/** A place for one more fingerprint. In a full death it is that of the one which is at the fewest
 *  other deaths; NULL if the new one is at no more of them. */
static uint64_t *
flight_place (const Quarantine *quarantine, Death *death, uint64_t fingerprint)
{
  uint64_t *place = NULL;
  unsigned fewest, i;

  if (death->count < QUARANTINE_FLIGHT_MAX)
    return &death->flights[death->count++];
  fewest = count_other_deaths (quarantine, death, fingerprint);
  for (i = 0; i < death->count && fewest > 0; i++)
    {
      unsigned others = count_other_deaths (quarantine, death, death->flights[i]);

      if (others >= fewest)
        continue;
      fewest = others;
      place = &death->flights[i];
    }
  return place;
}

static bool
merge_flights (const Quarantine *quarantine, Death *death, const QuarantineDeath *reported)
{
  bool changed = false;
  uint32_t i;

  for (i = 0; i < reported->count && i < QUARANTINE_FLIGHT_MAX; i++)
    {
      uint64_t *place;

      if (death_includes (death, reported->flights[i]))
        continue;
      place = flight_place (quarantine, death, reported->flights[i]);
      if (!place)
        continue;
      *place = reported->flights[i];
      changed = true;
    }
  return changed;
}

bool
quarantine_add (Quarantine *quarantine, const QuarantineDeath *reported, int64_t now_ms)
{
  Death *death;
  bool changed, is_new;

  if (reported->server == 0 || reported->age_ms > quarantine->settings.retention_ms)
    return false;
  pthread_mutex_lock (&quarantine->lock);
  quarantine_drop_expired (quarantine, now_ms);
  death = death_entry (quarantine, reported->server, now_ms - reported->age_ms, &is_new);
  changed = merge_flights (quarantine, death, reported);
  if (changed || is_new)
    quarantine_judge (quarantine, death, now_ms);
  pthread_mutex_unlock (&quarantine->lock);
  return changed;
}
