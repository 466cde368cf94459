/**
 * Gates that are killed at any call: each request whose answer ended is billed exactly once.
 */
#include "fake_gate.h"
#include "suite.h"
#include "util_memory.h"
#include <gsl/gsl_rng.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define SPOOL_MAX (1U << 20)
/* Full after a burst, so that records are spilled to the object store. */
#define SPOOL_MAX_SPILLING 16384
#define RECORDS            4
#define KILL_STEPS         12
#define RANDOM_SEED        20261202
#define GATES              150
#define THREADS            4
#define BURSTS_PER_GATE    6
#define BURST_REQUESTS     4 /* of one thread */

/* Result of one request, as its caller saw it. */
typedef struct
{
  bool answered; /* the end of its answer was sent: the gate was alive after bill_commit */
  BillPlace place;
} RequestResult;

typedef struct
{
  FakeSite site;
  RequestResult *results;
  int count;
  int lost; /* answered, never billed: the record was only in the gate's memory */
} Fixture;

static void
fixture_init (Fixture *w, int count)
{
  w->site = fake_site_new ();
  w->results = memory_array ((size_t)count, sizeof *w->results);
  w->count = count;
  w->lost = 0;
}

static void
fixture_free (Fixture *w)
{
  free (w->results);
  fake_site_free (&w->site);
}

static void
run_request (Fixture *w, FakeGate *gate, int n)
{
  BillRecord record = fake_bill (n);

  w->results[n].place = bill_commit (gate->writer, &record, NULL);
  w->results[n].answered = !fake_link_is_dead (gate->link);
}

/* Every request whose answer ended must have one bill, with its own cost, and there must be no
 * other bills. Counts the requests that lost their bill with the gate's memory. */
static void
check_bills (Fixture *w)
{
  double expected = 0;
  double sum = 0;
  size_t rows = 0;
  unsigned wrong = 0;

  for (int n = 0; n < w->count; n++)
    {
      BillRecord key = fake_bill (n);
      BillRecord bill;
      bool billed = fake_site_bill (&w->site, key.key, &bill);

      rows += billed;
      expected += billed ? n + 0.25 : 0;
      sum += billed ? fake_bill_cost (&bill) : 0;
      if (!billed && w->results[n].answered && w->results[n].place == BILL_AT_SPOOL)
        w->lost++;
      else if (!billed && w->results[n].answered)
        wrong++;
    }
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT_EQUAL (sum, expected);
  CU_ASSERT_EQUAL (rows, fake_platform_rows (w->site.platform, "bill"));
}

/* The VM dies at each of its calls to the platform or to another VM in turn, before or after the
 * call takes effect, with each set of places down. Then stewards recover its records, twice. */
static void
test_kill_at_any_call_keeps_stored_bills (void)
{
  static const unsigned down[] = {
    0,
    CALL_TXN,
    CALL_OBJECT_PUT,
    CALL_TXN | CALL_OBJECT_PUT,
    CALL_TXN | CALL_COPY,
    CALL_TXN | CALL_OBJECT_PUT | CALL_COPY,
  };
  int lost_with_place_up = 0;

  for (int step = 0; step < KILL_STEPS * 2 * (int)SUITE_COUNT (down); step++)
    {
      unsigned calls_down = down[step % SUITE_COUNT (down)];
      Fixture w;
      FakeGate *gate;

      fixture_init (&w, RECORDS);
      gate = fake_gate_new (&w.site, 1, SPOOL_MAX);
      fake_link_set (gate->link, calls_down, step % 3 ? LINK_REFUSED : LINK_CALL_LOST);
      fake_link_kill_at (gate->link, (size_t)step / SUITE_COUNT (down) / 2 + 1,
                         step / SUITE_COUNT (down) % 2);
      for (int n = 0; n < RECORDS; n++)
        {
          run_request (&w, gate, n);
          if (n == RECORDS / 2)
            fake_link_set (gate->link, CALL_ALL | CALL_COPY, LINK_UP);
        }
      fake_link_kill (gate->link);
      fake_gate_free (gate, 0);
      fake_site_settle (&w.site, NULL);
      fake_site_settle (&w.site, NULL);
      check_bills (&w);
      if (calls_down != (CALL_TXN | CALL_OBJECT_PUT | CALL_COPY))
        lost_with_place_up += w.lost;
      fixture_free (&w);
    }
  CU_ASSERT_EQUAL (lost_with_place_up, 0);
}

typedef struct
{
  pthread_t thread;
  Fixture *fixture;
  FakeGate *gate;
  int first;
} Caller;

static void *
caller_run (void *argument)
{
  Caller *c = argument;

  for (int i = 0; i < BURST_REQUESTS; i++)
    run_request (c->fixture, c->gate, c->first + i);
  return NULL;
}

static void
run_burst (Fixture *w, FakeGate *gate, int first)
{
  Caller callers[THREADS];

  for (int i = 0; i < THREADS; i++)
    {
      callers[i] = (Caller){ .fixture = w, .gate = gate, .first = first + i * BURST_REQUESTS };
      pthread_create (&callers[i].thread, NULL, caller_run, &callers[i]);
    }
  for (int i = 0; i < THREADS; i++)
    pthread_join (callers[i].thread, NULL);
}

static void
random_fault (FakeGate *gate, gsl_rng *rng)
{
  static const unsigned calls[]
      = { CALL_TXN, CALL_OBJECT_PUT, CALL_COPY, CALL_TXN | CALL_OBJECT_PUT, CALL_ALL | CALL_COPY };

  fake_link_set (gate->link, calls[gsl_rng_uniform_int (rng, SUITE_COUNT (calls))],
                 (LinkState)gsl_rng_uniform_int (rng, 4));
  if (gsl_rng_uniform_int (rng, 3) == 0)
    fake_link_set (gate->link, CALL_ALL | CALL_COPY, LINK_UP);
  if (gsl_rng_uniform_int (rng, 4) == 0)
    fake_link_kill_at (gate->link, 1 + gsl_rng_uniform_int (rng, 20),
                       gsl_rng_uniform_int (rng, 2) == 0);
}

/* One gate after the other under random faults, with four callers at a time. Some gates die at a
 * random call, some are stopped with records in the spool, some end normally. Stewards recover
 * records at random times, also while the next gate is running. */
static void
test_random_kills_keep_stored_bills (void)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  Fixture w;
  int n = 0;
  int answered = 0;
  int stored = 0;

  gsl_rng_set (rng, RANDOM_SEED);
  fixture_init (&w, GATES * BURSTS_PER_GATE * THREADS * BURST_REQUESTS);
  for (int g = 0; g < GATES; g++)
    {
      FakeGate *gate
          = fake_gate_new (&w.site, (uint64_t)g + 1, g % 2 ? SPOOL_MAX : SPOOL_MAX_SPILLING);

      for (int b = 0; b < BURSTS_PER_GATE; b++, n += THREADS * BURST_REQUESTS)
        {
          random_fault (gate, rng);
          run_burst (&w, gate, n);
          if (gsl_rng_uniform_int (rng, 4) == 0)
            fake_site_settle (&w.site, gate);
        }
      if (gsl_rng_uniform_int (rng, 3) == 0)
        fake_link_kill (gate->link);
      fake_gate_free (gate, fake_link_is_dead (gate->link) ? 0 : 5);
    }
  fake_site_settle (&w.site, NULL);
  check_bills (&w);
  for (int i = 0; i < w.count; i++)
    {
      answered += w.results[i].answered;
      stored += w.results[i].answered && w.results[i].place != BILL_AT_SPOOL;
    }
  CU_ASSERT_TRUE (answered > w.count / 4 && stored > w.count / 8);
  printf ("%d requests, %d answered, %d durable at the end, %d lost from spools ", w.count,
          answered, stored, w.lost);
  fixture_free (&w);
  gsl_rng_free (rng);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "kill_at_any_call_keeps_stored_bills", test_kill_at_any_call_keeps_stored_bills },
    { "random_kills_keep_stored_bills", test_random_kills_keep_stored_bills },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "bill_kill", cases, SUITE_COUNT (cases));
}
