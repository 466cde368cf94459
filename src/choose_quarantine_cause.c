/* Which requests caused the known deaths. A death has one cause: if it is under a request that is
 * known to crash servers, it says nothing of the others that were running there. */
#include "choose_quarantine_private.h"

/* Milliseconds for which a complete answer speaks for its request. */
#define SOUND_MS 3000

static DeathSet
deaths_under_final (const Quarantine *quarantine, const Suspects *suspects, int64_t now_ms)
{
  DeathSet deaths = 0;
  unsigned i;

  for (i = 0; i < QUARANTINE_HELD_MAX; i++)
    {
      const QuarantineEntry *held = &quarantine->held[i];

      if (held->fingerprint != 0 && held->is_final && held->until_ms > now_ms)
        deaths |= quarantine_deaths_of (suspects, held->fingerprint);
    }
  return deaths;
}

/* Servers that died under the fingerprint without an explanation; 0 if they are fewer than min. */
static unsigned
unexplained_servers (const Quarantine *quarantine,
                     const Suspects *suspects,
                     const Suspect *suspect,
                     unsigned min)
{
  DeathSet deaths = suspect->deaths & ~suspects->explained;
  unsigned servers;

  if ((unsigned)__builtin_popcountll (deaths) < min)
    return 0;
  servers = quarantine_count_servers (quarantine, deaths);
  return servers < min ? 0 : servers;
}

/* Unexplained deaths under a fingerprint that may be a cause by their number; 0 if they are fewer
 * than min. A server that starts again under its id dies more than once. */
static unsigned
countable_deaths (const Suspects *suspects, const Suspect *suspect, unsigned min)
{
  unsigned count = (unsigned)__builtin_popcountll (suspect->deaths & ~suspects->explained);

  return suspect->is_sound || count < min ? 0 : count;
}

static unsigned
most_unexplained (const Suspects *suspects, unsigned min)
{
  unsigned most = 0;
  size_t i;

  for (i = 0; i < suspects->count; i++)
    {
      unsigned count = countable_deaths (suspects, &suspects->list[i], min);

      if (count > most)
        most = count;
    }
  return most;
}

/* Takes the fingerprints at so many deaths for causes. */
static void
explain_by (Suspects *suspects, unsigned count)
{
  DeathSet deaths = 0;
  size_t i;

  for (i = 0; i < suspects->count; i++)
    {
      Suspect *suspect = &suspects->list[i];

      if (countable_deaths (suspects, suspect, count) != count)
        continue;
      suspect->is_cause = true;
      deaths |= suspect->deaths;
    }
  suspects->explained |= deaths;
}

/* Begins with the fingerprint at the most deaths: it explains those of harmless requests that were
 * retried together with it. */
static void
explain (const Quarantine *quarantine, Suspects *suspects, int64_t now_ms)
{
  unsigned repeated = quarantine->settings.repeated_deaths;
  unsigned most;

  suspects->explained = deaths_under_final (quarantine, suspects, now_ms);
  while (repeated > 0 && (most = most_unexplained (suspects, repeated)) > 0)
    explain_by (suspects, most);
}

/* Requests that many callers send alike were running at many servers of a pool that dies. */
static void
find_sound (const Quarantine *quarantine, Suspects *suspects)
{
  size_t i;

  for (i = 0; i < suspects->count; i++)
    {
      Suspect *suspect = &suspects->list[i];

      if ((unsigned)__builtin_popcountll (suspect->deaths) < quarantine->settings.servers)
        continue;
      suspect->is_sound = quarantine_answered_ms (quarantine, suspect->fingerprint)
                          > quarantine_latest_ms (quarantine, suspect->deaths) - SOUND_MS;
    }
}

void
quarantine_suspects_judge (const Quarantine *quarantine, Suspects *out, int64_t now_ms)
{
  quarantine_suspects_collect (quarantine, out);
  find_sound (quarantine, out);
  explain (quarantine, out, now_ms);
}

unsigned
quarantine_count_rivals (const Quarantine *quarantine,
                         const Suspects *suspects,
                         const Suspect *suspect)
{
  DeathSet deaths = suspect->deaths & ~suspects->explained;
  unsigned servers = quarantine_count_servers (quarantine, deaths);
  unsigned count = 0;
  size_t i;

  for (i = 0; i < suspects->count; i++)
    {
      const Suspect *other = &suspects->list[i];

      count += other != suspect && other->deaths & deaths
               && unexplained_servers (quarantine, suspects, other, servers) >= servers;
    }
  return count;
}

/** A request is assumed to be the cause if enough different servers died while running it, if it
 *  was in flight at more of the deaths around them than it was not, and if no other request was in
 *  flight at as many: either may be the cause then, until another death tells them apart. In an
 *  outage of a whole pool servers die while running many requests, none of which was in flight at
 *  most of the deaths. */
static bool
is_likely_cause (const Quarantine *quarantine, const Suspects *suspects, const Suspect *suspect)
{
  unsigned servers
      = unexplained_servers (quarantine, suspects, suspect, quarantine->settings.servers);

  if (servers == 0 || quarantine_count_others (quarantine, suspects, suspect->deaths) >= servers)
    return false;
  return quarantine_count_rivals (quarantine, suspects, suspect) == 0;
}

/* Enough servers died while running the fingerprint, but as many around them without it, or all
 * under a known cause. It may be one more cause that was running beside the others, or harmless. */
static bool
is_suspect (const Quarantine *quarantine, const Suspect *suspect)
{
  const QuarantineSettings *settings = &quarantine->settings;

  return settings->suspect_hold_ms > 0 && !suspect->is_sound
         && (unsigned)__builtin_popcountll (suspect->deaths) >= settings->servers;
}

static bool
is_at (const Quarantine *quarantine, const Suspect *suspect, const Death *death)
{
  return suspect->deaths & DEATH_BIT (death - quarantine->deaths);
}

static void
hold (Quarantine *quarantine, const Suspect *suspect, const Death *death, int64_t now_ms)
{
  const QuarantineEntry *held = quarantine_find (quarantine, suspect->fingerprint, now_ms);

  if (!held || held->is_suspended || is_at (quarantine, suspect, death))
    quarantine_request (quarantine, suspect->fingerprint, now_ms);
}

static void
hold_causes (Quarantine *quarantine, const Suspects *suspects, const Death *death, int64_t now_ms)
{
  size_t i;

  for (i = 0; i < suspects->count; i++)
    {
      const Suspect *suspect = &suspects->list[i];

      if (suspect->is_cause || is_likely_cause (quarantine, suspects, suspect))
        hold (quarantine, suspect, death, now_ms);
      else if (is_suspect (quarantine, suspect))
        quarantine_suspend (quarantine, suspect->fingerprint,
                            quarantine_latest_ms (quarantine, suspect->deaths)
                                + quarantine->settings.suspect_hold_ms,
                            now_ms);
    }
}

/** True if the deaths known now speak against the refusal. If all deaths that include the
 *  fingerprint have expired, none does. */
static bool
is_cleared (const Quarantine *quarantine, const Suspects *suspects, const QuarantineEntry *held)
{
  const Suspect *suspect = quarantine_suspect (suspects, held->fingerprint);

  return !held->is_final && !held->is_suspended && suspect && !suspect->is_cause
         && quarantine_count_others (quarantine, suspects, suspect->deaths)
                >= quarantine_count_servers (quarantine, suspect->deaths);
}

static void
add_released (Quarantine *quarantine, uint64_t fingerprint)
{
  if (quarantine->released_count < QUARANTINE_RELEASED_MAX)
    quarantine->released[quarantine->released_count++] = fingerprint;
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
quarantine_judge (Quarantine *quarantine, const Death *death, int64_t now_ms)
{
  Suspects suspects;

  quarantine_suspects_judge (quarantine, &suspects, now_ms);
  hold_causes (quarantine, &suspects, death, now_ms);
  quarantine_make_final (quarantine, now_ms);
  review_entries (quarantine, &suspects, now_ms);
}
