/**
 * Throughput of usage records with group commit: records and transactions per second for several
 * numbers of committers, the writes of a site of nine gates at 300 requests per second, the bytes
 * of a spooled record, and the time to write a backlog. The table service is replaced by a counter
 * with a fixed latency.
 */
#include "bill_entry.h"
#include "bill_spool.h"
#include "claim_row.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_log.h"
#include "util_memory.h"
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <malloc.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LATENCY_MS      2     /**< of the table service */
#define CLOSED_LOOP_MS  3000  /**< length of a run without pauses between records */
#define SITE_MS         10000 /**< length of a run at SITE_RATE */
#define SITE_GATES      9
#define FEWER_GATES     6
#define SITE_RATE       300 /**< requests per second of the site */
#define SITE_THREADS    16  /**< committers of each gate */
#define CLAIM_SHARE     0.1 /**< of requests that also write a claim */
#define TIMEOUT_MS      1000
#define OPS_MAX         256         /**< operations of a transaction */
#define SPOOL_MAX       (64U << 20) /**< bytes */
#define SAMPLES_MAX     400000      /**< of each committer */
#define BACKLOG_RECORDS 20000
#define SPOOL_RECORDS   10000

/* A table service that accepts every transaction after its latency, and counts them. */
typedef struct
{
  Platform base;
  int64_t transactions, rows; /* atomic */
  bool down;
} Service;

/* One gate's writer of usage records. */
typedef struct
{
  PlatformGroup *group;
  BillWriter *writer;
} Gate;

typedef struct
{
  pthread_t thread;
  Gate *gate;
  unsigned seed;
  double rate; /* records per second of this thread; 0: one after the other without a pause */
  int64_t end_ms;
  double *samples_ms;
  size_t samples;
} Committer;

static StatusCode
service_txn (Platform *p, TxnOp *ops, size_t count, int timeout_ms, Status *st)
{
  Service *service = (Service *)p;

  (void)timeout_ms;
  if (__atomic_load_n (&service->down, __ATOMIC_RELAXED))
    return status_set (st, STATUS_UNAVAILABLE, "service", NULL, "down");
  clock_sleep_ms (LATENCY_MS);
  for (size_t i = 0; i < count; i++)
    ops[i].inserted = ops[i].kind == TXN_INSERT;
  __atomic_fetch_add (&service->transactions, 1, __ATOMIC_RELAXED);
  __atomic_fetch_add (&service->rows, (int64_t)count, __ATOMIC_RELAXED);
  return status_ok (st);
}

static StatusCode
service_object_put (Platform *p,
                    const char *name,
                    const void *data,
                    size_t len,
                    int timeout_ms,
                    Status *st)
{
  (void)p, (void)name, (void)data, (void)len, (void)timeout_ms;
  return status_set (st, STATUS_UNAVAILABLE, "service", NULL, "down");
}

static const PlatformOps service_ops = {
  .txn = service_txn,
  .object_put = service_object_put,
};

static BillRecord
record_new (size_t attempts)
{
  BillRecord record = {
    .team = "tender-desk",
    .asked = "draft",
    .config = 123456,
    .at_ms = 1790000000000,
    .attempt_count = attempts,
  };

  for (size_t i = 0; i < attempts; i++)
    record.attempts[i] = (BillAttempt){
      .version = "guarantee-small@v17",
      .server = "engine-fukuoka-07",
      .prompt_tokens = 1874,
      .completion_tokens = 212,
      .cost = 0.04172,
    };
  id_random (record.request);
  bill_key (record.team, NULL, record.request, record.key);
  return record;
}

static Gate
gate_new (Service *service, uint64_t incarnation, int interval_ms)
{
  Gate gate = {
    .group = platform_group_new (&service->base, interval_ms, OPS_MAX, TIMEOUT_MS),
  };
  BillOptions options = {
    .group = gate.group,
    .platform = &service->base,
    .gate = incarnation,
    .spool_max = SPOOL_MAX,
    .table_timeout_ms = TIMEOUT_MS,
  };

  gate.writer = bill_writer_new (&options);
  return gate;
}

static void
gate_free (Gate *gate)
{
  INVARIANT (bill_writer_free (gate->writer, TIMEOUT_MS) == 0, "usage records were not written");
  platform_group_free (gate->group);
}

/* Commits the records of one request: a claim if claimed, then the usage record. Returns the
 * milliseconds by which the commit of the usage record delays the end of the answer. */
static double
commit_one (Committer *c, bool claimed)
{
  BillRecord record = record_new (2);
  ClaimOutcome outcome;
  ClaimSettlement settlement = { .claim = &outcome.claim, .http_status = 200 };
  int64_t start;

  if (claimed)
    claim_take (c->gate->group, NULL, record.team, record.request, 1, &outcome, NULL);
  start = clock_boot_us ();
  INVARIANT (bill_commit (c->gate->writer, &record, claimed ? &settlement : NULL) == BILL_AT_TABLE,
             "the usage record was not written to the table");
  return (double)(clock_boot_us () - start) / 1000;
}

static void *
committer_run (void *argument)
{
  Committer *c = argument;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);

  double next_ms = (double)clock_boot_ms ();

  gsl_rng_set (rng, c->seed);
  while (clock_boot_ms () < c->end_ms && c->samples < SAMPLES_MAX)
    {
      if (c->rate > 0)
        {
          next_ms += gsl_ran_exponential (rng, 1000 / c->rate);
          if (next_ms >= (double)c->end_ms)
            break;
          clock_sleep_ms ((int64_t)next_ms - clock_boot_ms ());
        }
      c->samples_ms = memory_grow (c->samples_ms, c->samples + 1, sizeof (double));
      c->samples_ms[c->samples++]
          = commit_one (c, c->rate > 0 && gsl_rng_uniform (rng) < CLAIM_SHARE);
    }
  gsl_rng_free (rng);
  return NULL;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Runs the committers for ms milliseconds and prints a line with the results. */
static void
run (const char *name, Service *service, Committer *committers, size_t count, int64_t ms)
{
  int64_t start = clock_boot_ms ();
  int64_t transactions = service->transactions;
  int64_t rows = service->rows;
  double *all = memory_array (1, sizeof *all);
  size_t n = 0;
  double seconds;

  for (size_t i = 0; i < count; i++)
    {
      committers[i].end_ms = start + ms;
      committers[i].seed = (unsigned)i + 1;
      pthread_create (&committers[i].thread, NULL, committer_run, &committers[i]);
    }
  for (size_t i = 0; i < count; i++)
    pthread_join (committers[i].thread, NULL);
  seconds = (double)(clock_boot_ms () - start) / 1000;
  transactions = service->transactions - transactions;
  rows = service->rows - rows;
  for (size_t i = 0; i < count; i++)
    {
      all = memory_grow (all, n + committers[i].samples + 1, sizeof *all);
      memcpy (all + n, committers[i].samples_ms, committers[i].samples * sizeof *all);
      n += committers[i].samples;
      free (committers[i].samples_ms);
    }
  qsort (all, n, sizeof *all, compare_doubles);
  printf ("%s records/s %.0f transactions/s %.0f rows/s %.0f rows/transaction %.1f "
          "wait_ms p50 %.1f p99 %.1f\n",
          name, (double)n / seconds, (double)transactions / seconds, (double)rows / seconds,
          (double)rows / (double)transactions, all[n / 2], all[n * 99 / 100]);
  free (all);
}

static void
bench_committers (int interval_ms, size_t count)
{
  Service service = { .base = { .ops = &service_ops } };
  Gate gate = gate_new (&service, 1, interval_ms);
  Committer *committers = memory_array (count, sizeof *committers);
  char name[64];

  for (size_t i = 0; i < count; i++)
    committers[i].gate = &gate;
  snprintf (name, sizeof name, "committers %3zu interval_ms %2d", count, interval_ms);
  run (name, &service, committers, count, CLOSED_LOOP_MS);
  gate_free (&gate);
  free (committers);
}

static void
bench_site (int gate_count, int interval_ms)
{
  Service service = { .base = { .ops = &service_ops } };
  Gate gates[SITE_GATES];
  size_t count = (size_t)gate_count * SITE_THREADS;
  Committer *committers = memory_array (count, sizeof *committers);
  char name[64];

  for (int i = 0; i < gate_count; i++)
    gates[i] = gate_new (&service, (uint64_t)i + 1, interval_ms);
  for (size_t i = 0; i < count; i++)
    {
      committers[i].gate = &gates[i % (size_t)gate_count];
      committers[i].rate = (double)SITE_RATE / (double)count;
    }
  snprintf (name, sizeof name, "site of %d gates interval_ms %3d", gate_count, interval_ms);
  run (name, &service, committers, count, SITE_MS);
  for (int i = 0; i < gate_count; i++)
    gate_free (&gates[i]);
  free (committers);
}

static void
bench_bytes (size_t attempts, size_t answer_len)
{
  BillSpool spool;
  char *answer = memory_alloc (answer_len + 1);
  Claim claim = { .body_hash = 1 };
  ClaimSettlement settlement
      = { .claim = &claim, .http_status = 200, .answer = answer, .answer_len = answer_len };
  size_t before = mallinfo2 ().uordblks;

  claim_row_key ("tender-desk", "order", claim.key);
  id_random (claim.nonce);
  bill_spool_init (&spool, SPOOL_MAX, 0);
  for (int i = 0; i < SPOOL_RECORDS; i++)
    {
      BillRecord record = record_new (attempts);
      BillEntry *entry = bill_entry_new (&record, answer_len > 0 ? &settlement : NULL);

      bill_spool_add (&spool, entry);
      bill_entry_unref (entry);
    }
  printf ("spooled record: attempts %zu answer_bytes %zu: %zu bytes counted, %zu bytes of heap\n",
          attempts, answer_len, spool.bytes / SPOOL_RECORDS,
          (mallinfo2 ().uordblks - before) / SPOOL_RECORDS);
  bill_spool_clear (&spool);
  free (answer);
}

static void
bench_backlog (void)
{
  Service service = { .base = { .ops = &service_ops }, .down = true };
  Gate gate = gate_new (&service, 1, 0);
  BillBacklog backlog = { .count = 1 };
  int64_t start;

  for (int i = 0; i < BACKLOG_RECORDS; i++)
    {
      BillRecord record = record_new (2);

      bill_commit (gate.writer, &record, NULL);
    }
  __atomic_store_n (&service.down, false, __ATOMIC_RELAXED);
  start = clock_boot_ms ();
  while (backlog.count > 0)
    {
      clock_sleep_ms (5);
      bill_backlog (gate.writer, &backlog);
    }
  printf ("backlog of %d records written in %lld ms, %lld transactions\n", BACKLOG_RECORDS,
          (long long)(clock_boot_ms () - start), (long long)service.transactions);
  gate_free (&gate);
}

int
main (void)
{
  static const size_t counts[] = { 1, 8, 64, 256 };
  static const int intervals[] = { 0, 5, 20, 100 };

  if (sodium_init () < 0)
    return 1;
  log_init ("bench_bill", LOG_ERR);
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    bench_committers (5, counts[i]);
  for (size_t i = 0; i < sizeof intervals / sizeof intervals[0]; i++)
    bench_site (SITE_GATES, intervals[i]);
  bench_site (SITE_GATES, platform_group_site_interval_ms (SITE_GATES));
  bench_site (FEWER_GATES, platform_group_site_interval_ms (FEWER_GATES));
  bench_bytes (1, 0);
  bench_bytes (2, 0);
  bench_bytes (8, 0);
  bench_bytes (2, 4096);
  bench_backlog ();
  return 0;
}
