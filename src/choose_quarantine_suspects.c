/* Which fingerprints were in flight at which deaths. */
#include "choose_quarantine_private.h"
#include <stdlib.h>
#include <string.h>

/* The place of the fingerprint, or the free one where it belongs. */
static size_t
place_of (const Suspects *suspects, uint64_t fingerprint)
{
  size_t place = (fingerprint >> 1) % SUSPECT_PLACES; /* the lowest bit is always set */

  while (suspects->places[place] != 0
         && suspects->list[suspects->places[place] - 1].fingerprint != fingerprint)
    place = (place + 1) % SUSPECT_PLACES;
  return place;
}

static void
add_flight (Suspects *suspects, uint64_t fingerprint, DeathSet death)
{
  size_t place = place_of (suspects, fingerprint);

  if (suspects->places[place] == 0)
    {
      suspects->list[suspects->count] = (Suspect){ .fingerprint = fingerprint };
      suspects->places[place] = (uint16_t)++suspects->count;
    }
  suspects->list[suspects->places[place] - 1].deaths |= death;
}

void
quarantine_suspects_collect (const Quarantine *quarantine, Suspects *out)
{
  unsigned i, j;

  out->count = 0;
  out->explained = 0;
  memset (out->places, 0, sizeof out->places);
  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      for (j = 0; death->server != 0 && j < death->count; j++)
        add_flight (out, death->flights[j], DEATH_BIT (i));
    }
}

const Suspect *
quarantine_suspect (const Suspects *suspects, uint64_t fingerprint)
{
  uint16_t number = suspects->places[place_of (suspects, fingerprint)];

  return number == 0 ? NULL : &suspects->list[number - 1];
}

DeathSet
quarantine_deaths_of (const Suspects *suspects, uint64_t fingerprint)
{
  const Suspect *suspect = quarantine_suspect (suspects, fingerprint);

  return suspect ? suspect->deaths : 0;
}

static unsigned
first_of (DeathSet deaths)
{
  return (unsigned)__builtin_ctzll (deaths);
}

/* The deaths of the same server among these. */
static DeathSet
deaths_of_server (const Quarantine *quarantine, DeathSet deaths, uint64_t server)
{
  DeathSet same = 0;

  for (; deaths != 0; deaths &= deaths - 1)
    {
      if (quarantine->deaths[first_of (deaths)].server == server)
        same |= deaths & -deaths;
    }
  return same;
}

unsigned
quarantine_count_servers (const Quarantine *quarantine, DeathSet deaths)
{
  unsigned count = 0;

  for (; deaths != 0; count++)
    deaths &= ~deaths_of_server (quarantine, deaths, quarantine->deaths[first_of (deaths)].server);
  return count;
}

int64_t
quarantine_latest_ms (const Quarantine *quarantine, DeathSet deaths)
{
  int64_t latest_ms = INT64_MIN;

  for (; deaths != 0; deaths &= deaths - 1)
    {
      if (quarantine->deaths[first_of (deaths)].at_ms > latest_ms)
        latest_ms = quarantine->deaths[first_of (deaths)].at_ms;
    }
  return latest_ms;
}

unsigned
quarantine_count_others (const Quarantine *quarantine, const Suspects *suspects, DeathSet deaths)
{
  int64_t latest_ms = quarantine_latest_ms (quarantine, deaths);
  unsigned count = 0, i;

  for (i = 0; deaths != 0 && i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      if (death->server == 0 || (deaths | suspects->explained) & DEATH_BIT (i))
        continue;
      count += llabs (death->at_ms - latest_ms) < quarantine->settings.outage_ms;
    }
  return count;
}
