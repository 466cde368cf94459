#include "steward_deaths.h"
#include "util_memory.h"
#include <string.h>

/* A death is no longer sent for this long before the end of its retention. Otherwise a peer that
   has just dropped it would add it again and send it back, so that it would never disappear. */
#define SEND_MARGIN_MS INT64_C (60000)
/* Bytes on the wire of a death without its flights (server, age, number of flights), and of one
   flight: a request that was running there. */
#define DEATH_BYTES  16
#define FLIGHT_BYTES 8

const StewardDeathsLimits steward_deaths_heartbeat_limits
    = { .count = LOVAGE_DEATHS_MAX, .bytes = 512, .older = 1 };
const StewardDeathsLimits steward_deaths_grant_limits
    = { .count = LOVAGE_DEATHS_MAX, .bytes = SIZE_MAX, .older = LOVAGE_DEATHS_MAX };

void
steward_deaths_init (StewardDeaths *d)
{
  *d = (StewardDeaths){ .set = quarantine_new (&quarantine_settings_default) };
  pthread_mutex_init (&d->lock, NULL);
}

void
steward_deaths_clear (StewardDeaths *d)
{
  quarantine_free (d->set);
  pthread_mutex_destroy (&d->lock);
}

bool
steward_deaths_merge (StewardDeaths *d, const rpc_death *deaths, size_t count, int64_t now_ms)
{
  bool changed = false;

  for (size_t i = 0; i < count; i++)
    {
      const rpc_death *from = &deaths[i];
      QuarantineDeath death = { .server = from->server, .age_ms = from->age_ms };

      while (death.count < from->flights.flights_len && death.count < QUARANTINE_FLIGHT_MAX)
        {
          death.flights[death.count] = from->flights.flights_val[death.count];
          death.count++;
        }
      changed |= quarantine_add (d->set, &death, now_ms);
    }
  return changed;
}

bool
steward_deaths_may_broadcast (StewardDeaths *d, size_t others, int64_t now_ms)
{
  int64_t min_interval_ms = (int64_t)others * 1000 / STEWARD_DEATHS_MESSAGES_PER_S_MAX;
  bool allowed;

  pthread_mutex_lock (&d->lock);
  allowed = d->broadcast_at == 0 || now_ms - d->broadcast_at >= min_interval_ms;
  if (allowed)
    d->broadcast_at = now_ms;
  pthread_mutex_unlock (&d->lock);
  return allowed;
}

/** The deaths that are selected for a message. */
typedef struct
{
  StewardDeathsLimits left;
  rpc_death *out;
  u_int count;
} Selection;

static bool
selection_add (Selection *selection, const QuarantineDeath *death)
{
  size_t bytes = DEATH_BYTES + FLIGHT_BYTES * (size_t)death->count;
  rpc_death *to = &selection->out[selection->count];

  if (selection->left.count == 0 || (bytes > selection->left.bytes && selection->count > 0))
    return false;
  selection->left.count--;
  selection->left.bytes -= bytes < selection->left.bytes ? bytes : selection->left.bytes;
  *to = (rpc_death){ .server = death->server, .age_ms = death->age_ms };
  to->flights.flights_len = death->count;
  to->flights.flights_val = memory_array (death->count + 1, sizeof (uint64_t));
  memcpy (to->flights.flights_val, death->flights, death->count * sizeof (uint64_t));
  selection->count++;
  return true;
}

/* Adds up to max of the deaths, starting at *next if the last message had no room for all. */
static void
selection_add_in_turn (Selection *selection,
                       const QuarantineDeath *deaths,
                       size_t count,
                       size_t max,
                       size_t *next)
{
  size_t first = count > 0 ? *next % count : 0;
  size_t added = 0;

  while (added < count && added < max
         && selection_add (selection, &deaths[(first + added) % count]))
    added++;
  *next = added < count ? first + added : 0;
}

void
steward_deaths_fill (StewardDeaths *d,
                     const StewardDeathsLimits *limits,
                     int64_t now_ms,
                     rpc_death **out,
                     u_int *count)
{
  QuarantineDeath deaths[QUARANTINE_DEATHS_MAX];
  size_t known = quarantine_recent_deaths (d->set, deaths, QUARANTINE_DEATHS_MAX, now_ms);
  Selection selection = { .left = *limits };
  size_t fresh = 0;

  while (known > 0
         && deaths[known - 1].age_ms > quarantine_settings_default.retention_ms - SEND_MARGIN_MS)
    known--;
  while (fresh < known && deaths[fresh].age_ms < STEWARD_DEATHS_FRESH_MS)
    fresh++;
  if (known > 0)
    selection.out = memory_array (limits->count, sizeof *selection.out);
  pthread_mutex_lock (&d->lock);
  selection_add_in_turn (&selection, deaths, fresh, fresh, &d->next_fresh);
  selection_add_in_turn (&selection, deaths + fresh, known - fresh, limits->older, &d->next_older);
  pthread_mutex_unlock (&d->lock);
  *out = selection.out;
  *count = selection.count;
}
