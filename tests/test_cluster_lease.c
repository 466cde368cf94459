/**
 * Leases: one holder at a time, with lost replies, delayed writes and paused holders.
 */
#include "cluster_lease.h"
#include "suite.h"
#include <gsl/gsl_rng.h>
#include <string.h>

#define LEASE_MS  10000
#define FLIGHT_MS ((int64_t)1000)

/** The lease row in the table service. */
static ClusterLeaseRow table;

static ClusterLease
new_lease (const char *holder)
{
  ClusterLease l;
  ClusterLeaseOptions options = {
    .holder = holder, .lease_ms = LEASE_MS, .renew_ms = 3000, .flight_ms = FLIGHT_MS, .read_ms = 500
  };

  cluster_lease_init (&l, &options);
  return l;
}

static bool
table_write (const ClusterLeaseRow *row)
{
  if (row->version != table.version)
    return false;
  table = *row;
  table.version++;
  return true;
}

static void
write_and_report (ClusterLease *l, const ClusterLeaseRow *row, int64_t now)
{
  StatusCode code = table_write (row) ? STATUS_OK : STATUS_CONFLICT;

  cluster_lease_written (l, now, code, table.version);
}

/** Does the lease's next step at now, without faults; returns which it was. */
static ClusterLeaseStep
step (ClusterLease *l, int64_t now)
{
  ClusterLeaseRow row;
  ClusterLeaseStep todo = cluster_lease_next (l, now, &row);

  if (todo == CLUSTER_LEASE_READ)
    cluster_lease_read (l, now, now, &table);
  if (todo == CLUSTER_LEASE_WRITE)
    write_and_report (l, &row, now);
  return todo;
}

static void
run (ClusterLease *l, int64_t from, int64_t to)
{
  for (int64_t now = from; now < to; now += 100)
    step (l, now);
}

static void
one_steward_takes_and_renews_the_lease (void)
{
  ClusterLease a = new_lease ("a");
  ClusterLease b = new_lease ("b");

  memset (&table, 0, sizeof table);
  CU_ASSERT_EQUAL (step (&a, 1000), CLUSTER_LEASE_READ);
  CU_ASSERT_FALSE (cluster_lease_may_order (&a, 1000));
  run (&a, 1100, 2000);
  CU_ASSERT_EQUAL (cluster_lease_fence (&a, 2000), 1);
  for (int64_t now = 2000; now < 60000; now += 100)
    {
      step (&a, now);
      step (&b, now);
      CU_ASSERT_EQUAL (cluster_lease_fence (&a, now), 1);
      CU_ASSERT_EQUAL (cluster_lease_fence (&b, now), 0);
    }
}

/* The holder is paused beyond its lease (SIGSTOP) and resumes in the middle of its work. It must
   send no further order. A successor sends orders with a higher fence, and only after the holder's
   last order has certainly arrived. */
static void
a_paused_holder_sends_no_orders (void)
{
  ClusterLease a = new_lease ("a");
  ClusterLease b = new_lease ("b");
  int64_t taken_at = 0;

  memset (&table, 0, sizeof table);
  run (&a, 1000, 2000);
  int64_t last_order = 2000 + cluster_lease_left (&a, 2000) - 1;
  for (int64_t now = 2000; taken_at == 0 && now < 60000; now += 100)
    {
      step (&b, now);
      if (cluster_lease_may_order (&b, now))
        taken_at = now;
    }
  CU_ASSERT_EQUAL (cluster_lease_fence (&b, taken_at), 2);
  CU_ASSERT_TRUE (last_order + 2 * FLIGHT_MS <= taken_at);
  CU_ASSERT_FALSE (cluster_lease_may_order (&a, taken_at));
  CU_ASSERT_FALSE (cluster_lease_may_order (&a, last_order + 1));
  run (&a, taken_at, taken_at + 1000);
  CU_ASSERT_EQUAL (cluster_lease_fence (&a, taken_at + 1000), 0);
  CU_ASSERT_EQUAL (table.fence, 2);
}

/* The reply to a renewal that took effect is lost, and the row is read. The lease must count from
   the send of the write, not from the read: a successor's wait may have begun directly after the
   write. */
static void
a_lost_reply_is_read_back (void)
{
  ClusterLease a = new_lease ("a");
  ClusterLeaseRow row;

  memset (&table, 0, sizeof table);
  run (&a, 1000, 2000);
  CU_ASSERT_EQUAL (cluster_lease_next (&a, 6000, &row), CLUSTER_LEASE_WRITE);
  CU_ASSERT_TRUE (table_write (&row));
  cluster_lease_written (&a, 6000, STATUS_UNKNOWN, 0);
  CU_ASSERT_EQUAL (cluster_lease_next (&a, 9000, &row), CLUSTER_LEASE_READ);
  cluster_lease_read (&a, 9000, 9100, &table);
  int64_t left = cluster_lease_left (&a, 9100);
  CU_ASSERT_TRUE (left > 0 && left <= 6000 + LEASE_MS - FLIGHT_MS - 9100);
  CU_ASSERT_EQUAL (cluster_lease_fence (&a, 9100), 1);
}

/* The reply to a write that takes the lease is lost and a read shows no effect. The write is sent
   again; then the first one, delayed, takes effect and the second conflicts. We hold the lease, and
   it must count from the first send. */
static void
a_late_write_counts_from_the_first_send (void)
{
  ClusterLease a = new_lease ("a");
  ClusterLeaseRow first;
  ClusterLeaseRow second;

  memset (&table, 0, sizeof table);
  step (&a, 1000);
  CU_ASSERT_EQUAL (cluster_lease_next (&a, 2000, &first), CLUSTER_LEASE_WRITE);
  cluster_lease_written (&a, 2000, STATUS_UNKNOWN, 0);
  CU_ASSERT_EQUAL (step (&a, 3000), CLUSTER_LEASE_READ);
  CU_ASSERT_FALSE (cluster_lease_may_order (&a, 3000));
  CU_ASSERT_EQUAL (cluster_lease_next (&a, 4000, &second), CLUSTER_LEASE_WRITE);
  CU_ASSERT_TRUE (table_write (&first));
  CU_ASSERT_FALSE (table_write (&second));
  cluster_lease_written (&a, 4000, STATUS_CONFLICT, 0);
  CU_ASSERT_EQUAL (step (&a, 4100), CLUSTER_LEASE_READ);
  CU_ASSERT_EQUAL (cluster_lease_fence (&a, 4100), 1);
  CU_ASSERT_TRUE (cluster_lease_left (&a, 4100) <= 2000 + LEASE_MS - FLIGHT_MS - 4100);
}

static void
a_released_lease_is_taken_after_the_order_timeout (void)
{
  ClusterLease a = new_lease ("a");
  ClusterLease b = new_lease ("b");
  ClusterLeaseRow row;

  memset (&table, 0, sizeof table);
  run (&a, 1000, 2000);
  run (&b, 1000, 2000);
  CU_ASSERT_TRUE (cluster_lease_release (&a, &row));
  CU_ASSERT_TRUE (table_write (&row));
  CU_ASSERT_FALSE (cluster_lease_may_order (&a, 2000));
  CU_ASSERT_EQUAL (step (&a, 2100), CLUSTER_LEASE_IDLE);
  CU_ASSERT_FALSE (cluster_lease_release (&b, &row));
  b = new_lease ("c");
  run (&b, 2000, 2000 + FLIGHT_MS);
  CU_ASSERT_EQUAL (cluster_lease_fence (&b, 2000 + FLIGHT_MS), 0);
  run (&b, 2000 + FLIGHT_MS, 4500);
  CU_ASSERT_EQUAL (cluster_lease_fence (&b, 4500), 2);
}

/* The table is unavailable for longer than the lease and no steward takes over. No orders may be
   sent until a renewal succeeds; it keeps the fence, because the row's version has not changed. */
static void
an_outage_pauses_the_duty (void)
{
  ClusterLease a = new_lease ("a");
  ClusterLeaseRow row;

  memset (&table, 0, sizeof table);
  run (&a, 1000, 2000);
  for (int64_t now = 2000; now < 30000; now += 100)
    if (cluster_lease_next (&a, now, &row) == CLUSTER_LEASE_WRITE)
      cluster_lease_written (&a, now, STATUS_UNAVAILABLE, 0);
  CU_ASSERT_EQUAL (cluster_lease_fence (&a, 30000), 0);
  run (&a, 30000, 31000);
  CU_ASSERT_EQUAL (cluster_lease_fence (&a, 31000), 1);
}

#define HOLDERS     4
#define RANDOM_RUNS 300

/** A write that takes effect at effect_at, if its version check still holds then. */
typedef struct
{
  ClusterLeaseRow row;
  int64_t effect_at;
} DelayedWrite;

typedef struct
{
  gsl_rng *rng;
  ClusterLease lease[HOLDERS];
  int64_t clock_offset[HOLDERS];
  int64_t paused_until[HOLDERS];
  DelayedWrite delayed[64];
  size_t delayed_count;
  int64_t fence;
  int64_t order_ends; /**< time by which the last order has arrived */
  int orders;
  int violations;
  int last_holder;
} Race;

static void
apply_delayed_writes (Race *r, int64_t now)
{
  for (size_t i = 0; i < r->delayed_count; i++)
    if (r->delayed[i].effect_at <= now)
      {
        table_write (&r->delayed[i].row);
        r->delayed[i--] = r->delayed[--r->delayed_count];
      }
}

static void
write_with_faults (Race *r, ClusterLease *l, const ClusterLeaseRow *row, int64_t local, int64_t now)
{
  unsigned long chance = gsl_rng_uniform_int (r->rng, 10);

  if (chance < 6)
    write_and_report (l, row, local);
  else if (chance < 7)
    cluster_lease_written (l, local, STATUS_UNAVAILABLE, 0);
  else
    {
      if (chance < 9 && r->delayed_count < 64)
        r->delayed[r->delayed_count++]
            = (DelayedWrite){ *row, now + (int64_t)gsl_rng_uniform_int (r->rng, 20000) };
      cluster_lease_written (l, local, STATUS_UNKNOWN, 0);
    }
}

static void
order (Race *r, int holder, int64_t local, int64_t now)
{
  int64_t fence = cluster_lease_fence (&r->lease[holder], local);

  if (fence == 0)
    return;
  r->orders++;
  bool same = holder == r->last_holder;
  if (fence < r->fence || (!same && (now < r->order_ends || fence == r->fence)))
    r->violations++;
  r->fence = fence;
  r->last_holder = holder;
  r->order_ends = now + FLIGHT_MS;
}

static void
race_step (Race *r, int holder, int64_t now)
{
  ClusterLease *l = &r->lease[holder];
  int64_t local = now + r->clock_offset[holder] + now * holder / 3000;
  ClusterLeaseRow row;

  if (r->paused_until[holder] > now)
    return;
  order (r, holder, local, now);
  ClusterLeaseStep todo = cluster_lease_next (l, local, &row);
  if (todo == CLUSTER_LEASE_WRITE)
    write_with_faults (r, l, &row, local, now);
  if (todo == CLUSTER_LEASE_READ && gsl_rng_uniform_int (r->rng, 4) == 0)
    cluster_lease_read_failed (l, local);
  else if (todo == CLUSTER_LEASE_READ)
    cluster_lease_read (l, local, local, &table);
  if (gsl_rng_uniform_int (r->rng, 400) == 0)
    r->paused_until[holder] = now + (int64_t)gsl_rng_uniform_int (r->rng, 40000);
}

/* Four stewards compete for one lease for ten minutes of virtual time, with 300 seeds: pauses, lost
   replies, writes that take effect up to 20 s late, clocks that drift apart. Orders of two holders
   must not overlap, their time in transit included, and fences must only rise. */
static void
orders_of_two_holders_never_overlap (void)
{
  for (unsigned long seed = 1; seed <= RANDOM_RUNS; seed++)
    {
      Race r = { .rng = gsl_rng_alloc (gsl_rng_mt19937), .last_holder = -1 };
      static const char *const names[HOLDERS] = { "a", "b", "c", "d" };
      memset (&table, 0, sizeof table);
      gsl_rng_set (r.rng, seed);
      for (int i = 0; i < HOLDERS; i++)
        {
          r.lease[i] = new_lease (names[i]);
          r.clock_offset[i] = (int64_t)gsl_rng_uniform_int (r.rng, 1000000);
        }
      for (int64_t now = 0; now < 600000; now += 100)
        {
          apply_delayed_writes (&r, now);
          for (int i = 0; i < HOLDERS; i++)
            race_step (&r, i, now);
        }
      CU_ASSERT_TRUE (r.orders > 100 && r.fence > 1);
      CU_ASSERT_EQUAL (r.violations, 0);
      gsl_rng_free (r.rng);
    }
}

static const SuiteCase cases[] = {
  { "one_steward_takes_and_renews_the_lease", one_steward_takes_and_renews_the_lease },
  { "a_paused_holder_sends_no_orders", a_paused_holder_sends_no_orders },
  { "a_lost_reply_is_read_back", a_lost_reply_is_read_back },
  { "a_late_write_counts_from_the_first_send", a_late_write_counts_from_the_first_send },
  { "a_released_lease_is_taken_after_the_order_timeout",
    a_released_lease_is_taken_after_the_order_timeout },
  { "an_outage_pauses_the_duty", an_outage_pauses_the_duty },
  { "orders_of_two_holders_never_overlap", orders_of_two_holders_never_overlap },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_lease", cases, SUITE_COUNT (cases));
}
