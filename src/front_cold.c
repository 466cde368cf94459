#include "front_cold.h"
#include "front_attempt.h"
#include <math.h>

/* Shares of a server's limit that fronts of its own failure domain, and those of other domains, may
 * use. The rest covers fronts that know of too few others, and requests that a front sends late
 * because its VM was paused. */
#define OWN_DOMAIN_SHARE   0.75
#define OTHER_DOMAIN_SHARE 0.125
/* A front's share is rarely a whole number of slots. The remainder is distributed by a hash: a
 * front owns one more slot or doesn't. Fronts need not communicate for that, but the number of
 * owners varies, so only this share of the remainder is distributed. */
#define EXTRA_SLOT_SHARE 0.45
/* Milliseconds for which a request holds its slot from its sending: connecting may take this long
 * before it arrives. */
#define SLOT_HOLD_MS (COLD_SLOT_MS + FRONT_CONNECT_TIMEOUT_MS)

unsigned
cold_slots (const ColdRule *rule, const FrontShare *share, uint64_t server, bool is_same_domain)
{
  double slots = rule->max_per_s * (is_same_domain ? OWN_DOMAIN_SHARE : OTHER_DOMAIN_SHARE)
                 / front_share_count (share, is_same_domain);
  double whole = floor (slots);
  bool owns_one_more = front_share_draw (share, server) < (slots - whole) * EXTRA_SLOT_SHARE;

  return (unsigned)fmin (whole + owns_one_more, COLD_SLOTS_MAX);
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
      int64_t left_ms = sends->sent_ms[i] + SLOT_HOLD_MS - now_ms;

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

void
cold_connected (ColdSends *sends, int64_t sent_ms, int64_t now_ms)
{
  for (unsigned i = 0; i < COLD_SLOTS_MAX; i++)
    {
      if (sends->sent_ms[i] != sent_ms)
        continue;
      sends->sent_ms[i] = now_ms - FRONT_CONNECT_TIMEOUT_MS;
      return;
    }
}
