/**
 * Cost of the cluster protocol with 9, 36 and 360 members: filling and merging an answer that
 * relays the progress of all members (its news), in full and in packed form, and computing the
 * grant; also the answer's size on the wire (28 bytes per news entry in full form, 1 per age in
 * packed form).
 */
#include "cluster_grant.h"
#include "cluster_state.h"
#include "util_clock.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES 48   /**< of an answer without news and ages */
#define NEWS_BYTES   28   /**< of a news entry in an answer */
#define GRANT_MS     4000 /**< duration of a grant */
#define BATCH        100  /**< calls that are timed together */
#define BATCHES      41

typedef struct
{
  ClusterState *asker;
  ClusterState *answerer;
  ClusterHeartbeat *ask;
  ClusterHeartbeat *answer;
  int64_t now;  /**< virtual time, ms */
  int64_t sink; /**< uses the results, so that the compiler does not remove the calls */
} Bench;

static ClusterView *
new_view (size_t count)
{
  ClusterView *v = memory_alloc (sizeof *v);

  *v = (ClusterView){ .number = 1, .established = true, .count = count };
  for (size_t i = 0; i < count; i++)
    v->members[i].incarnation = 0x9e3779b97f4a7c15U * (i + 1);
  return v;
}

static void
exchange_with_all (Bench *b, ClusterState *s, const ClusterView *v)
{
  for (size_t i = 0; i < v->count; i++)
    {
      cluster_state_make_ask (s, i + 1, b->now, b->ask);
      *b->answer = (ClusterHeartbeat){
        .nonce = i + 1, .incarnation = v->members[i].incarnation, .view = 1, .number = 7
      };
      cluster_state_handle_answer (s, b->answer, b->now);
    }
}

static Bench
new_bench (size_t members)
{
  Bench b = { .now = 1000 };
  ClusterView *v = new_view (members);

  b.ask = memory_alloc (sizeof *b.ask);
  b.answer = memory_alloc (sizeof *b.answer);
  b.asker = cluster_state_new (v->members[0].incarnation, GRANT_MS);
  b.answerer = cluster_state_new (v->members[1].incarnation, GRANT_MS);
  cluster_state_apply (b.asker, 7);
  cluster_state_apply (b.answerer, 7);
  cluster_state_adopt_view (b.asker, v);
  cluster_state_adopt_view (b.answerer, v);
  exchange_with_all (&b, b.answerer, v);
  free (v);
  return b;
}

static void
free_bench (Bench *b)
{
  cluster_state_free (b->asker);
  cluster_state_free (b->answerer);
  free (b->ask);
  free (b->answer);
}

static void
fill (Bench *b)
{
  cluster_state_handle_ask (b->answerer, b->ask, b->now, b->answer);
}

static void
fill_packed (Bench *b)
{
  fill (b);
  cluster_heartbeat_pack (b->answerer, b->answer);
}

static void
merge (Bench *b)
{
  b->sink += cluster_state_handle_answer (b->asker, b->answer, b->now);
}

static void
compute_grant (Bench *b)
{
  b->sink += cluster_grant (b->asker, b->now).until;
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Median over batches, which other load on the machine affects little. */
static double
median_ns (Bench *b, void (*run) (Bench *b))
{
  double times[BATCHES];

  for (int i = 0; i < BATCHES; i++)
    {
      int64_t from = clock_boot_us ();
      for (int j = 0; j < BATCH; j++)
        run (b);
      times[i] = (double)(clock_boot_us () - from) * 1000 / BATCH;
    }
  qsort (times, BATCHES, sizeof *times, compare);
  return times[BATCHES / 2];
}

static size_t
wire_bytes (const ClusterHeartbeat *h)
{
  return HEADER_BYTES + h->ages_count + h->news_count * NEWS_BYTES;
}

static void
run (size_t members)
{
  Bench b = new_bench (members);

  b.now += 200;
  cluster_state_make_ask (b.asker, 999, b.now, b.ask);
  double fill_ns = median_ns (&b, fill);
  double merge_ns = median_ns (&b, merge);
  size_t bytes = wire_bytes (b.answer);
  double fill_packed_ns = median_ns (&b, fill_packed);
  double merge_packed_ns = median_ns (&b, merge);
  size_t packed_bytes = wire_bytes (b.answer);
  double grant_ns = median_ns (&b, compute_grant);
  printf ("%7zu  %8.0f %8.0f %7zu  %8.0f %8.0f %7zu  %8.0f\n", members, fill_ns, merge_ns, bytes,
          fill_packed_ns, merge_packed_ns, packed_bytes, grant_ns);
  free_bench (&b);
}

int
main (void)
{
  printf ("members  full: fill, merge (ns), bytes   packed: fill, merge (ns), bytes  grant (ns)\n");
  run (9);
  run (36);
  run (360);
  return 0;
}
