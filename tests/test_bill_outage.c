/**
 * Simulation of the spool in an outage of eight hours, on a virtual clock.
 */
#include "bill_spool.h"
#include "fake_gate.h"
#include "platform_breaker.h"
#include "suite.h"
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOUR_MS               INT64_C (3600000)
#define OUTAGE_MS             (8 * HOUR_MS)
#define RUN_MS                2000 /* how long each request is in progress */
#define SPOOL_MAX             (8U << 20)
#define FLUSH_MAX             128 /* records of one transaction, as in bill_writer_thread.c */
#define FLUSH_INTERVAL_MS     20
#define RETRY_INTERVAL_MAX_MS 2000 /* of the circuit breaker */

/* Simulation of a gate on a virtual clock: the spool, the circuit breaker and the writer's
   thread. */
typedef struct
{
  int64_t now;
  bool table_up, objects_up;
  BillSpool spool;
  PlatformBreaker breaker;
  int64_t ends[1000]; /* of requests in progress, as a ring buffer */
  int first, in_progress, in_progress_max;
  int64_t taken, refused, billed, spilled, tries;
  size_t bytes_peak;
} Gate;

static void
gate_init (Gate *g, int in_progress_max)
{
  memset (g, 0, sizeof *g);
  g->in_progress_max = in_progress_max;
  bill_spool_init (&g->spool, SPOOL_MAX, (size_t)in_progress_max);
}

static void
gate_request (Gate *g)
{
  if (g->in_progress == g->in_progress_max || !bill_spool_has_room (&g->spool))
    {
      g->refused++;
      return;
    }
  g->ends[(g->first + g->in_progress++) % 1000] = g->now + RUN_MS;
  g->taken++;
}

static void
gate_end_of_answer (Gate *g)
{
  BillRecord record = fake_bill ((int)(g->taken % 100000));
  BillEntry *entry;

  g->first = (g->first + 1) % 1000;
  g->in_progress--;
  if (g->table_up && !g->breaker.open)
    {
      g->billed++;
      return;
    }
  /* Keys are unique, because a batch from the spool has no two records with the same key. */
  snprintf (record.key, sizeof record.key, "t/%lld", (long long)(g->taken - g->in_progress));
  entry = bill_entry_new (&record, NULL);
  bill_spool_add (&g->spool, entry);
  if (g->objects_up)
    bill_spool_update_place (&g->spool, entry, BILL_AT_OBJECT_STORE);
  bill_entry_unref (entry);
  /* With the breaker open the table was not tried. */
  if (!g->breaker.open)
    platform_breaker_record_failure (&g->breaker, g->now);
  if (bill_spool_may_spill (&g->spool))
    g->spilled += (int64_t)bill_spool_spill (&g->spool);
  if (g->spool.bytes > g->bytes_peak)
    g->bytes_peak = g->spool.bytes;
}

static void
gate_flush (Gate *g)
{
  BillEntry *entries[FLUSH_MAX];
  size_t count;

  if (g->spool.count == 0 || g->now % FLUSH_INTERVAL_MS != 0
      || !platform_breaker_allows (&g->breaker, g->now))
    return;
  g->tries++;
  if (!g->table_up)
    {
      platform_breaker_record_failure (&g->breaker, g->now);
      return;
    }
  platform_breaker_record_success (&g->breaker);
  count = bill_spool_oldest (&g->spool, g->now, entries, FLUSH_MAX);
  for (size_t i = 0; i < count; i++)
    bill_spool_remove (&g->spool, entries[i]);
  g->billed += (int64_t)count;
}

/* Runs for ms, with one request every interval_ms. */
static void
gate_run (Gate *g, int64_t ms, int interval_ms)
{
  for (int64_t end = g->now + ms; g->now < end; g->now++)
    {
      if (g->now % interval_ms == 0)
        gate_request (g);
      while (g->in_progress > 0 && g->ends[g->first] <= g->now)
        gate_end_of_answer (g);
      gate_flush (g);
    }
}

static void
run_outage (Gate *g, int interval_ms, const char *name)
{
  int64_t tries;

  g->table_up = true;
  gate_run (g, 10000, interval_ms);
  CU_ASSERT_EQUAL (g->refused, 0);
  g->table_up = false;
  gate_run (g, OUTAGE_MS, interval_ms);
  CU_ASSERT_TRUE (g->bytes_peak <= SPOOL_MAX);
  CU_ASSERT_TRUE (g->tries <= OUTAGE_MS / RETRY_INTERVAL_MAX_MS + 10);
  CU_ASSERT_EQUAL (g->taken + g->refused, (g->now + interval_ms - 1) / interval_ms);
  printf ("%s: taken %lld refused %lld spilled %lld peak bytes %zu; ", name, (long long)g->taken,
          (long long)g->refused, (long long)g->spilled, g->bytes_peak);
  g->table_up = true;
  tries = g->tries;
  gate_run (g, 60000, interval_ms);
  CU_ASSERT_TRUE (g->tries > tries);
  CU_ASSERT_EQUAL (g->spool.count, 0);
  CU_ASSERT_EQUAL (g->billed + g->spilled + g->in_progress, g->taken);
  bill_spool_clear (&g->spool);
}

/* The table and every fallback are down for eight hours. Memory must stay bounded, requests without
 * room must be refused at once, the table must be tried at most every two seconds, and within a
 * minute of its return all records must be written. */
static void
test_memory_is_bounded_in_long_outage_of_every_place (void)
{
  static Gate g;

  gate_init (&g, 1000);
  run_outage (&g, 30, "all down, 33/s");
  CU_ASSERT_TRUE (g.refused > 0);
}

/* The same with the object store up: nothing must be refused. */
static void
test_long_outage_with_object_store_refuses_nothing (void)
{
  static Gate g;

  gate_init (&g, 1000);
  g.objects_up = true;
  run_outage (&g, 100, "objects up, 10/s");
  CU_ASSERT_EQUAL (g.refused, 0);
  CU_ASSERT_TRUE (g.spilled > 0);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "memory_is_bounded_in_long_outage_of_every_place",
      test_memory_is_bounded_in_long_outage_of_every_place },
    { "long_outage_with_object_store_refuses_nothing",
      test_long_outage_with_object_store_refuses_nothing },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "bill_outage", cases, SUITE_COUNT (cases));
}
