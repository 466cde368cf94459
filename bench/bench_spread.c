/**
 * Age of the newest evidence from a majority, on which a grant rests while the table service is
 * unreachable ("grant basis"): with 9 to 360 members and 1, 2 and 4 asks per second from each.
 * grant_ms must be longer than this age. Also measures the time until a configuration number that
 * one steward has reached all others, and the bytes per second that a steward sends. Virtual time;
 * no message loss.
 */
#include "cluster_grant.h"
#include "cluster_state.h"
#include "util_memory.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>

#define GRANT_MS     8000         /**< duration of a grant */
#define STEP_MS      10           /**< of the virtual time */
#define DELAY_MS     20           /**< from sending an ask to receiving its answer */
#define WARM_UP_MS   20000        /**< not measured */
#define END_MS       40000        /**< of the measurement of the evidence */
#define HEADER_BYTES INT64_C (48) /**< of an ask, and of an answer without news and ages */
#define NEWS_BYTES   28           /**< of a news entry in an answer */

typedef struct
{
  size_t count;
  ClusterState **states;
  int64_t *next_ask_at; /**< of each, ms */
  ClusterHeartbeat *ask;
  ClusterHeartbeat *answer;
  gsl_rng *rng;
  uint64_t nonce;
  int64_t bytes; /**< sent by all after the warm-up */
  int64_t now;   /**< virtual time, ms */
} Site;

static Site
new_site (size_t count)
{
  Site site = { .count = count, .rng = gsl_rng_alloc (gsl_rng_mt19937) };
  ClusterView *v = memory_alloc (sizeof *v);

  *v = (ClusterView){ .number = 1, .established = true, .count = count };
  site.states = memory_array (count, sizeof (ClusterState *));
  site.next_ask_at = memory_array (count, sizeof *site.next_ask_at);
  site.ask = memory_alloc (sizeof *site.ask);
  site.answer = memory_alloc (sizeof *site.answer);
  gsl_rng_set (site.rng, 1);
  for (size_t i = 0; i < count; i++)
    v->members[i].incarnation = 0x9e3779b97f4a7c15U * (i + 1);
  for (size_t i = 0; i < count; i++)
    {
      site.states[i] = cluster_state_new (v->members[i].incarnation, GRANT_MS);
      cluster_state_apply (site.states[i], 7);
      cluster_state_adopt_view (site.states[i], v);
      site.next_ask_at[i] = (int64_t)gsl_rng_uniform_int (site.rng, 1000);
    }
  free (v);
  return site;
}

static void
free_site (Site *site)
{
  for (size_t i = 0; i < site->count; i++)
    cluster_state_free (site->states[i]);
  free (site->states);
  free (site->next_ask_at);
  free (site->ask);
  free (site->answer);
  gsl_rng_free (site->rng);
}

/* A steward sends an ask to a random other one. The round trip is processed at once, with an ask
 * that counts as sent DELAY_MS ago. */
static void
ask_next (Site *site, size_t i)
{
  size_t to = gsl_rng_uniform_int (site->rng, site->count);

  if (to == i)
    return;
  cluster_state_make_ask (site->states[i], ++site->nonce, site->now - DELAY_MS, site->ask);
  cluster_state_handle_ask (site->states[to], site->ask, site->now, site->answer);
  cluster_heartbeat_pack (site->states[to], site->answer);
  cluster_state_handle_answer (site->states[i], site->answer, site->now);
  if (site->now >= WARM_UP_MS)
    site->bytes += 2 * HEADER_BYTES + (int64_t)site->answer->ages_count
                   + (int64_t)(site->answer->news_count * NEWS_BYTES);
}

static void
run_until (Site *site, int64_t end, int64_t ask_interval_ms)
{
  for (; site->now < end; site->now += STEP_MS)
    for (size_t i = 0; i < site->count; i++)
      if (site->next_ask_at[i] <= site->now)
        {
          ask_next (site, i);
          site->next_ask_at[i] += ask_interval_ms;
        }
}

/* Age of the oldest evidence that a steward's grant rests on, over all stewards. */
static int64_t
oldest_evidence_ms (const Site *site)
{
  int64_t oldest = 0;

  for (size_t i = 0; i < site->count; i++)
    {
      ClusterGrant grant = cluster_grant (site->states[i], site->now);
      int64_t age = grant.until == CLUSTER_NEVER ? GRANT_MS : site->now - (grant.until - GRANT_MS);
      if (age > oldest)
        oldest = age;
    }
  return oldest;
}

static size_t
count_informed (const Site *site, int64_t number)
{
  size_t informed = 0;

  for (size_t i = 0; i < site->count; i++)
    informed += cluster_state_wanted_number (site->states[i]) >= number;
  return informed;
}

static void
run (size_t count, int64_t asks_per_s)
{
  Site site = new_site (count);
  int64_t ask_interval_ms = 1000 / asks_per_s;
  int64_t oldest = 0;

  run_until (&site, WARM_UP_MS, ask_interval_ms);
  while (site.now < END_MS)
    {
      run_until (&site, site.now + 100, ask_interval_ms);
      int64_t age = oldest_evidence_ms (&site);
      oldest = age > oldest ? age : oldest;
    }
  double bytes = (double)site.bytes / (double)count / ((END_MS - WARM_UP_MS) / 1000.0);
  int64_t from = site.now;
  cluster_state_apply (site.states[0], 8);
  while (count_informed (&site, 8) < count)
    run_until (&site, site.now + 50, ask_interval_ms);
  printf ("%7zu %6lld %18lld %18lld %16.0f\n", count, (long long)asks_per_s, (long long)oldest,
          (long long)(site.now - from), bytes);
  free_site (&site);
}

int
main (void)
{
  static const size_t counts[] = { 9, 36, 72, 180, 360 };

  printf ("members asks/s  grant basis (ms)    all informed (ms)  bytes/s sent\n");
  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    for (int64_t asks = 1; asks <= 4; asks *= 2)
      run (counts[i], asks);
  return 0;
}
