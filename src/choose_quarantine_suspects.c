/* Which fingerprints were in flight at which deaths. */
#include "choose_quarantine_private.h"
#include <stdlib.h>

static int
by_fingerprint (const void *a, const void *b)
{
  const Suspect *x = a, *y = b;

  return (x->fingerprint > y->fingerprint) - (x->fingerprint < y->fingerprint);
}

static void
merge_equal (Suspects *suspects)
{
  size_t count = 0, i;

  for (i = 0; i < suspects->count; i++)
    {
      const Suspect *suspect = &suspects->list[i];

      if (count > 0 && suspects->list[count - 1].fingerprint == suspect->fingerprint)
        suspects->list[count - 1].deaths |= suspect->deaths;
      else
        suspects->list[count++] = *suspect;
    }
  suspects->count = count;
}

void
quarantine_suspects_collect (const Quarantine *quarantine, Suspects *out)
{
  unsigned i, j;

  out->count = 0;
  out->explained = 0;
  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      for (j = 0; death->server != 0 && j < death->count; j++)
        out->list[out->count++]
            = (Suspect){ .fingerprint = death->flights[j], .deaths = DEATH_BIT (i) };
    }
  qsort (out->list, out->count, sizeof *out->list, by_fingerprint);
  merge_equal (out);
}

const Suspect *
quarantine_suspect (const Suspects *suspects, uint64_t fingerprint)
{
  Suspect key = { .fingerprint = fingerprint };

  return bsearch (&key, suspects->list, suspects->count, sizeof key, by_fingerprint);
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
