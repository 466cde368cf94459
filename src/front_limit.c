#include "front_limit.h"
#include <math.h>

#define MS_PER_S 1000.0
/* Requests per second at which a server that takes fewer, or none, is asked whether its limit has
 * ended. */
#define PER_S_MIN 0.1
/* Milliseconds. A front that may send less often than every PACED_MAX_MS may do so only within
 * TURN_MS of its turn: if turns were kept, hundreds of fronts could all use theirs in one burst of
 * requests. */
#define PACED_MAX_MS 4000.0
#define TURN_MS      500.0

/* Parts of a limit that groups of fronts may use. */
typedef struct
{
  double paced;
  double turns; /* lower, as turns of many fronts meet by chance */
} LimitParts;

static const LimitParts own_domain_parts = { .paced = 0.75, .turns = 0.5 };
static const LimitParts other_domains_parts = { .paced = 0.1, .turns = 0.1 };

bool
server_limit_named (ServerLimit *limit, double per_s, int64_t now_ms)
{
  bool is_new = !limit->is_named || limit->per_s != per_s;

  if (!limit->is_named)
    limit->named_ms = now_ms;
  limit->is_named = true;
  limit->per_s = per_s;
  limit->heard_ms = now_ms;
  return is_new;
}

bool
server_limit_absent (ServerLimit *limit, int64_t sent_ms)
{
  if (!limit->is_named || sent_ms <= limit->heard_ms)
    return false;
  limit->is_named = false;
  return true;
}

void
server_limit_sent (ServerLimit *limit, int64_t now_ms)
{
  limit->sent_ms = now_ms;
}

static double
rate_per_s (const ServerLimit *limit)
{
  return fmax (limit->per_s, PER_S_MIN);
}

/* Milliseconds between two turns of this front. */
static double
period_ms (const ServerLimit *limit, const FrontShare *share, bool is_same_domain)
{
  const LimitParts *parts = is_same_domain ? &own_domain_parts : &other_domains_parts;
  double alone_ms = MS_PER_S / rate_per_s (limit);
  double shared_ms = alone_ms * front_share_count (share, is_same_domain);
  double paced_ms = shared_ms / parts->paced;

  return paced_ms <= PACED_MAX_MS ? paced_ms : shared_ms / parts->turns;
}

/* Milliseconds until the next turn; 0 during one. Turns of different fronts are spread evenly over
 * a period by a hash. */
static double
next_turn_ms (const ServerLimit *limit, double period, double draw, int64_t now_ms)
{
  double since_first = (double)(now_ms - limit->named_ms) - draw * period;
  double since_turn = since_first - floor (since_first / period) * period;

  return since_first >= 0 && since_turn < TURN_MS ? 0 : period - since_turn;
}

static double
turn_wait_ms (const ServerLimit *limit, double period, double draw, int64_t now_ms)
{
  double wait = next_turn_ms (limit, period, draw, now_ms);

  if (limit->sent_ms < limit->named_ms)
    return wait;
  /* Half a period keeps to one request a turn also while the number of fronts changes, which moves
   * the turns. */
  return fmax (wait, period / 2 - (double)(now_ms - limit->sent_ms));
}

int64_t
server_limit_wait_ms (const ServerLimit *limit,
                      const FrontShare *share,
                      uint64_t server,
                      bool is_same_domain,
                      int64_t now_ms)
{
  double period, wait;

  if (!limit->is_named)
    return 0;
  period = period_ms (limit, share, is_same_domain);
  if (period <= PACED_MAX_MS)
    wait = period - (double)(now_ms - limit->sent_ms);
  else
    wait = turn_wait_ms (limit, period, front_share_draw (share, server), now_ms);
  return wait > 0 ? (int64_t)ceil (wait) : 0;
}

int64_t
server_limit_interval_ms (const ServerLimit *limit)
{
  return (int64_t)ceil (MS_PER_S / rate_per_s (limit));
}
