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

bool
quarantine_is_held (const Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
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

QuarantineEvidence
quarantine_evidence (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  QuarantineEvidence evidence;
  Suspects suspects;
  DeathSet deaths;

  pthread_mutex_lock (&quarantine->lock);
  quarantine_suspects_collect (quarantine, &suspects);
  deaths = quarantine_deaths_of (&suspects, fingerprint);
  evidence = (QuarantineEvidence){
    .servers = quarantine_count_servers (quarantine, deaths),
    .others = quarantine_count_others (quarantine, deaths),
    .rivals = quarantine_count_rivals (quarantine, &suspects, fingerprint),
    .is_held = quarantine_is_held (quarantine, fingerprint, now_ms),
  };
  pthread_mutex_unlock (&quarantine->lock);
  return evidence;
}

/** A request is assumed to be the cause if enough different servers died while running it, if it
 *  was in flight at more of the deaths around them than it was not, and if no other request was in
 *  flight at as many: either may be the cause then, until another death tells them apart. In an
 *  outage of a whole pool servers die while running many requests, none of which was in flight at
 *  most of the deaths. */
static bool
is_cause (const Quarantine *quarantine, const Suspects *suspects, uint64_t fingerprint)
{
  DeathSet deaths = quarantine_deaths_of (suspects, fingerprint);
  unsigned servers = quarantine_count_servers (quarantine, deaths);

  if (servers < quarantine->settings.servers
      || quarantine_count_others (quarantine, deaths) >= servers)
    return false;
  return quarantine_count_rivals (quarantine, suspects, fingerprint) == 0;
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

void
quarantine_request (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms)
{
  QuarantineEntry *held = quarantine_entry (quarantine, fingerprint);

  if (held->fingerprint == 0)
    atomic_fetch_add (&quarantine->held_count, 1);
  if (held->fingerprint != fingerprint || held->until_ms <= now_ms)
    *held = (QuarantineEntry){ .fingerprint = fingerprint, .since_ms = now_ms };
  held->until_ms = now_ms + quarantine->settings.hold_ms;
}

void
quarantine_make_final (Quarantine *quarantine, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      QuarantineEntry *held = &quarantine->held[i];

      held->is_final |= held->fingerprint != 0
                        && now_ms - held->since_ms >= quarantine->settings.final_after_ms;
    }
}

static void
add_released (Quarantine *quarantine, uint64_t fingerprint)
{
  if (quarantine->released_count < QUARANTINE_RELEASED_MAX)
    quarantine->released[quarantine->released_count++] = fingerprint;
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

/** True if the deaths known now speak against the fingerprint. If all deaths that include it have
 *  expired, none does. */
static bool
is_cleared (const Quarantine *quarantine, const Suspects *suspects, const QuarantineEntry *held)
{
  DeathSet deaths = quarantine_deaths_of (suspects, held->fingerprint);

  return !held->is_final && deaths != 0
         && quarantine_count_others (quarantine, deaths)
                >= quarantine_count_servers (quarantine, deaths);
}

/** Ends refusals that are over, or that deaths speak against: the first two servers of a pool that
 *  dies one by one look like two killed by a request. */
static void
review_entries (Quarantine *quarantine, const Suspects *suspects, int64_t now_ms)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      QuarantineEntry *held = &quarantine->held[i];

      if (held->fingerprint == 0)
        continue;
      if (held->until_ms > now_ms)
        {
          if (!is_cleared (quarantine, suspects, held))
            continue;
          add_released (quarantine, held->fingerprint);
        }
      *held = (QuarantineEntry){ .fingerprint = 0 };
      atomic_fetch_sub (&quarantine->held_count, 1);
    }
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

/** True if another death includes the fingerprint. */
static bool
is_at_another_death (const Quarantine *quarantine, const Death *death, uint64_t fingerprint)
{
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *other = &quarantine->deaths[i];

      if (other != death && other->server != 0 && death_includes (other, fingerprint))
        return true;
    }
  return false;
}

/** A place for one more fingerprint. In a full death it is that of one which is at no other death;
 *  NULL if there is none, or if the new one is at no other death either. */
static uint64_t *
flight_place (const Quarantine *quarantine, Death *death, uint64_t fingerprint)
{
  unsigned i;

  if (death->count < QUARANTINE_FLIGHT_MAX)
    return &death->flights[death->count++];
  if (!is_at_another_death (quarantine, death, fingerprint))
    return NULL;
  for (i = 0; i < death->count; i++)
    {
      if (!is_at_another_death (quarantine, death, death->flights[i]))
        return &death->flights[i];
    }
  return NULL;
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

/** Refuses the fingerprints of this death that are the cause, and reviews what is refused. */
static void
judge (Quarantine *quarantine, const Death *death, int64_t now_ms)
{
  Suspects suspects;
  unsigned i;

  quarantine_suspects_collect (quarantine, &suspects);
  for (i = 0; i < death->count; i++)
    {
      if (is_cause (quarantine, &suspects, death->flights[i]))
        quarantine_request (quarantine, death->flights[i], now_ms);
    }
  quarantine_make_final (quarantine, now_ms);
  review_entries (quarantine, &suspects, now_ms);
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
    judge (quarantine, death, now_ms);
  pthread_mutex_unlock (&quarantine->lock);
  return changed;
}
