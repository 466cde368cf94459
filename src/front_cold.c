#include "front_cold.h"
#include "front_attempt.h"
#include "util_id.h"
#include <math.h>

/* Parts of a server's bound. The rest is for fronts that know of too few others, and for requests
 * that a front sends late as its VM stood still. */
#define NEAR_PART 0.75
#define FAR_PART  0.125
/* Where there are more fronts than requests to be sent, each is an owner of the server or not, by a
 * hash. Nobody has to know who the others are, but the number of owners varies. */
#define OWNERS_PART 0.6
#define HASH_BITS   53
/* Milliseconds in which a request holds its slot: a second, and what it may take to be connected,
 * as it counts from then. */
#define SLOT_MS (1000 + FRONT_CONNECT_MS)

/* The same at all times, 0 to 1. */
static double
ownership (const ColdRule *rule, uint64_t server)
{
  return ldexp ((double)(id_hash (&server, sizeof server, rule->self) >> (64 - HASH_BITS)),
                -HASH_BITS);
}

unsigned
cold_slots (const ColdRule *rule, uint64_t server, bool is_near)
{
  unsigned fronts = is_near ? rule->neighbours : rule->fronts;
  double part = rule->most_per_s * (is_near ? NEAR_PART : FAR_PART) / fmax (fronts, 1);

  if (part >= 1)
    return (unsigned)fmin (part, COLD_SLOTS_MAX);
  return ownership (rule, server) < part * OWNERS_PART;
}

int64_t
cold_wait_ms (const ColdSends *sends, unsigned slots, int64_t now_ms)
{
  int64_t wait_ms = INT64_MAX;
  unsigned taken = 0;

  if (slots == 0)
    return INT64_MAX;
  for (unsigned i = 0; i < COLD_SLOTS_MAX; i++)
    {
      int64_t left_ms = sends->sent_ms[i] + SLOT_MS - now_ms;

      if (sends->sent_ms[i] == 0 || left_ms <= 0)
        continue;
      taken++;
      wait_ms = left_ms < wait_ms ? left_ms : wait_ms;
    }
  return taken < slots ? 0 : wait_ms;
}

void
cold_sent (ColdSends *sends, int64_t now_ms)
{
  unsigned oldest = 0;

  for (unsigned i = 1; i < COLD_SLOTS_MAX; i++)
    oldest = sends->sent_ms[i] < sends->sent_ms[oldest] ? i : oldest;
  sends->sent_ms[oldest] = now_ms;
}
