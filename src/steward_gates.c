#include "steward_gates.h"

#define ALIVE_MS 5000 /**< a gate that asked within this time counts as alive */

void
steward_gates_init (StewardGates *g, int64_t inherited_until)
{
  *g = (StewardGates){ .inherited_until = inherited_until };
  pthread_mutex_init (&g->lock, NULL);
}

void
steward_gates_clear (StewardGates *g)
{
  pthread_mutex_destroy (&g->lock);
}

static StewardGate *
find (StewardGates *g, uint64_t incarnation)
{
  for (size_t i = 0; i < STEWARD_GATES_MAX; i++)
    if (g->gates[i].incarnation == incarnation)
      return &g->gates[i];
  return NULL;
}

/* Finds an entry for a new gate. The entry of a gate whose last grant has ended may be reused:
   that gate can take no new work unless it asks again. */
static StewardGate *
add_gate (StewardGates *g, uint64_t incarnation, int64_t now)
{
  StewardGate *gate = find (g, 0);

  for (size_t i = 0; gate == NULL && i < STEWARD_GATES_MAX; i++)
    if (g->gates[i].until <= now && g->gates[i].pending_until <= now)
      gate = &g->gates[i];
  /* The gate may hold a grant of the steward that ran on this VM before. */
  if (gate != NULL)
    *gate = (StewardGate){ .incarnation = incarnation, .until = g->inherited_until };
  return gate;
}

/* To be called when the gate has reached the number from which on it can use its pending
   grants. */
static void
merge_pending (StewardGate *gate)
{
  if (gate->pending_until > gate->until)
    gate->until = gate->pending_until;
  gate->pending_until = 0;
  gate->pending_number = 0;
}

static void
grant_pending (StewardGate *gate, int64_t number, int64_t until)
{
  if (gate->pending_number == 0 || number < gate->pending_number)
    gate->pending_number = number;
  if (until > gate->pending_until)
    gate->pending_until = until;
}

/* The lowest number under which the gate may take new work at now; newest if none is lower. A gate
   that was granted a number that it did not have yet fetches it and takes work under it before it
   asks again; until then only the grant recorded here shows this. */
static int64_t
lowest_number (const StewardGate *gate, int64_t newest, int64_t now)
{
  int64_t lowest = newest;

  if (gate->incarnation == 0)
    return newest;
  if (gate->until > now && gate->number < lowest)
    lowest = gate->number;
  if (gate->pending_number != 0 && gate->pending_until > now && gate->pending_number < lowest)
    lowest = gate->pending_number;
  return lowest;
}

bool
steward_gates_record_ask (StewardGates *g,
                          uint64_t incarnation,
                          int64_t number,
                          unsigned in_flight,
                          int64_t now)
{
  StewardGate *gate;

  if (incarnation == 0)
    return false;
  pthread_mutex_lock (&g->lock);
  gate = find (g, incarnation);
  if (gate == NULL)
    gate = add_gate (g, incarnation, now);
  if (gate != NULL)
    {
      g->asked = true;
      /* An ask that arrives after a later one must not lower the number. */
      if (number > gate->number)
        {
          gate->number = number;
          if (gate->pending_number <= number)
            merge_pending (gate);
        }
      gate->in_flight = in_flight;
      gate->asked_at = now;
    }
  pthread_mutex_unlock (&g->lock);
  return gate != NULL;
}

void
steward_gates_record_grant (StewardGates *g, uint64_t incarnation, int64_t number, int64_t until)
{
  StewardGate *gate;

  pthread_mutex_lock (&g->lock);
  gate = find (g, incarnation);
  if (gate != NULL && gate->number < number)
    grant_pending (gate, number, until);
  else if (gate != NULL && until > gate->until)
    gate->until = until;
  pthread_mutex_unlock (&g->lock);
}

int64_t
steward_gates_lowest_number (StewardGates *g, int64_t newest, int64_t now)
{
  int64_t lowest = newest;

  pthread_mutex_lock (&g->lock);
  /* A steward that has replaced another has no record of the VM's gate, which continues to use its
     grant. Until the gate has asked or that grant has ended, no number is known to be in force
     here. The first ask suffices, since only one process per VM can listen on the callers' port. */
  if (!g->asked && now < g->inherited_until)
    lowest = 0;
  for (size_t i = 0; i < STEWARD_GATES_MAX; i++)
    lowest = lowest_number (&g->gates[i], lowest, now);
  pthread_mutex_unlock (&g->lock);
  return lowest;
}

int64_t
steward_gates_grants_end (StewardGates *g)
{
  int64_t end;

  pthread_mutex_lock (&g->lock);
  end = g->inherited_until;
  for (size_t i = 0; i < STEWARD_GATES_MAX; i++)
    {
      if (g->gates[i].until > end)
        end = g->gates[i].until;
      if (g->gates[i].pending_until > end)
        end = g->gates[i].pending_until;
    }
  pthread_mutex_unlock (&g->lock);
  return end;
}

unsigned
steward_gates_in_flight (StewardGates *g, int64_t now)
{
  unsigned sum = 0;

  pthread_mutex_lock (&g->lock);
  for (size_t i = 0; i < STEWARD_GATES_MAX; i++)
    if (g->gates[i].incarnation != 0 && now - g->gates[i].asked_at < ALIVE_MS)
      sum += g->gates[i].in_flight;
  pthread_mutex_unlock (&g->lock);
  return sum;
}

size_t
steward_gates_alive (StewardGates *g, int64_t now, uint64_t *out, size_t max)
{
  size_t count = 0;

  pthread_mutex_lock (&g->lock);
  for (size_t i = 0; i < STEWARD_GATES_MAX && count < max; i++)
    if (g->gates[i].incarnation != 0 && now - g->gates[i].asked_at < ALIVE_MS)
      out[count++] = g->gates[i].incarnation;
  pthread_mutex_unlock (&g->lock);
  return count;
}
