#include "front_cold.h"
#include "front_attempt.h"
#include "util_id.h"
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
#define HASH_BITS        53
/* Milliseconds for which a request holds its slot: a second from its arrival at the server, and
 * before that as long as connecting may take. */
#define SLOT_HOLD_MS (1000 + FRONT_CONNECT_TIMEOUT_MS)

/* Numbers of fronts that a new front assumes at least, in all failure domains and in its own: those
 * of a large site. */
#define LARGE_SITE_FRONTS   360
#define LARGE_DOMAIN_FRONTS 75
/* With this many registered fronts in a failure domain there may be more that are not registered,
 * and at least DOMAIN_FRONTS_MIN are assumed, so that a front that does not know half of them takes
 * no larger share. */
#define REGISTERED_FULL   5
#define DOMAIN_FRONTS_MIN 20

static unsigned
at_least (unsigned count, unsigned least)
{
  return count > least ? count : least;
}

void
cold_rule_set_fronts (ColdRule *rule, const ColdView *view)
{
  rule->domain_fronts = view->domain_fronts;
  rule->fronts = view->fronts;
  if (view->registered >= REGISTERED_FULL)
    rule->domain_fronts = at_least (rule->domain_fronts, DOMAIN_FRONTS_MIN);
  if (!view->is_new)
    return;
  rule->domain_fronts = at_least (rule->domain_fronts, LARGE_DOMAIN_FRONTS);
  rule->fronts = at_least (rule->fronts, LARGE_SITE_FRONTS);
}

/* Uniform in 0 to 1, and constant for a front and a server. */
static double
ownership (const ColdRule *rule, uint64_t server)
{
  return ldexp ((double)(id_hash (&server, sizeof server, rule->self) >> (64 - HASH_BITS)),
                -HASH_BITS);
}

unsigned
cold_slots (const ColdRule *rule, uint64_t server, bool is_same_domain)
{
  unsigned fronts = is_same_domain ? rule->domain_fronts : rule->fronts;
  double share = rule->max_per_s * (is_same_domain ? OWN_DOMAIN_SHARE : OTHER_DOMAIN_SHARE)
                 / fmax (fronts, 1);
  double whole = floor (share);
  bool owns_one_more = ownership (rule, server) < (share - whole) * EXTRA_SLOT_SHARE;

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
