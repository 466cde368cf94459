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

DeathSet
quarantine_deaths_of (const Suspects *suspects, uint64_t fingerprint)
{
  Suspect key = { .fingerprint = fingerprint };
  const Suspect *found
      = bsearch (&key, suspects->list, suspects->count, sizeof key, by_fingerprint);

  return found ? found->deaths : 0;
}

static bool
is_same_server_before (const Quarantine *quarantine, DeathSet deaths, unsigned number)
{
  unsigned i;

  for (i = 0; i < number; i++)
    {
      if (deaths & DEATH_BIT (i)
          && quarantine->deaths[i].server == quarantine->deaths[number].server)
        return true;
    }
  return false;
}

unsigned
quarantine_count_servers (const Quarantine *quarantine, DeathSet deaths)
{
  unsigned count = 0, i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    count += deaths & DEATH_BIT (i) && !is_same_server_before (quarantine, deaths, i);
  return count;
}

static int64_t
latest_of (const Quarantine *quarantine, DeathSet deaths)
{
  int64_t latest_ms = INT64_MIN;
  unsigned i;

  for (i = 0; i < QUARANTINE_DEATHS_MAX; i++)
    {
      if (deaths & DEATH_BIT (i) && quarantine->deaths[i].at_ms > latest_ms)
        latest_ms = quarantine->deaths[i].at_ms;
    }
  return latest_ms;
}

unsigned
quarantine_count_others (const Quarantine *quarantine, DeathSet deaths)
{
  int64_t latest_ms = latest_of (quarantine, deaths);
  unsigned count = 0, i;

  for (i = 0; deaths != 0 && i < QUARANTINE_DEATHS_MAX; i++)
    {
      const Death *death = &quarantine->deaths[i];

      count += death->server != 0 && !(deaths & DEATH_BIT (i))
               && llabs (death->at_ms - latest_ms) < quarantine->settings.outage_ms;
    }
  return count;
}

unsigned
quarantine_count_rivals (const Quarantine *quarantine,
                         const Suspects *suspects,
                         uint64_t fingerprint)
{
  DeathSet deaths = quarantine_deaths_of (suspects, fingerprint);
  unsigned servers = quarantine_count_servers (quarantine, deaths);
  unsigned count = 0;
  size_t i;

  for (i = 0; i < suspects->count; i++)
    {
      const Suspect *other = &suspects->list[i];

      count += other->fingerprint != fingerprint && other->deaths & deaths
               && quarantine_count_servers (quarantine, other->deaths) >= servers;
    }
  return count;
}
