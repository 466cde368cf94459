/** Group commit of writes by many threads: src/platform_group*.c. */
#include "fake_link.h"
#include "platform_group.h"
#include "suite.h"
#include "util_clock.h"
#include "util_memory.h"
#include <pthread.h>
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 32

/* A caller with its own thread, which submits one insert and stores the result. */
typedef struct
{
  pthread_t thread;
  PlatformGroup *group;
  char key[32];
  char value[32];
  int wait_ms; /* 0: platform_group_submit */
  StatusCode code;
  bool inserted;
  char *existing;
  bool returned; /* atomic */
} Caller;

/* Blocks the first two transactions until they are released, so that later requests queue. */
typedef struct
{
  sem_t entered;
  sem_t release;
  unsigned calls;
} TxnBlocker;

static void *
caller_run (void *argument)
{
  Caller *caller = argument;
  TxnOp op = { .kind = TXN_INSERT, .table = "t", .key = caller->key, .value = caller->value };

  if (caller->wait_ms > 0)
    caller->code = platform_group_submit_within (caller->group, &op, 1, caller->wait_ms, NULL);
  else
    caller->code = platform_group_submit (caller->group, &op, 1, NULL);
  caller->inserted = op.inserted;
  caller->existing = op.existing;
  __atomic_store_n (&caller->returned, true, __ATOMIC_SEQ_CST);
  return NULL;
}

static void
caller_start (Caller *caller, PlatformGroup *group, const char *key, int number, int wait_ms)
{
  *caller = (Caller){ .group = group, .wait_ms = wait_ms };
  snprintf (caller->key, sizeof caller->key, "%s", key);
  snprintf (caller->value, sizeof caller->value, "{\"n\":%d}", number);
  pthread_create (&caller->thread, NULL, caller_run, caller);
}

static void
callers_start (Caller *callers, PlatformGroup *group, bool same_key)
{
  for (int i = 0; i < THREADS; i++)
    {
      char key[32];

      snprintf (key, sizeof key, "k%d", same_key ? 0 : i);
      caller_start (&callers[i], group, key, i, 0);
    }
}

static void
callers_join (Caller *callers, int count)
{
  for (int i = 0; i < count; i++)
    pthread_join (callers[i].thread, NULL);
}

static void
block_first (void *context, FakeCall call)
{
  TxnBlocker *blocker = context;

  if (call != CALL_TXN || __atomic_fetch_add (&blocker->calls, 1, __ATOMIC_SEQ_CST) > 1)
    return;
  sem_post (&blocker->entered);
  sem_wait (&blocker->release);
}

static void
blocker_init (TxnBlocker *blocker, Platform *p)
{
  sem_init (&blocker->entered, 0, 0);
  sem_init (&blocker->release, 0, 0);
  blocker->calls = 0;
  fake_platform_hook (p, block_first, blocker);
}

/* Each caller's write is in the table when its call returns, with fewer transactions. */
static void
test_writes_share_transactions (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 50, 256, 1000);
  Caller callers[THREADS];
  PlatformGroupStats stats;

  callers_start (callers, group, false);
  callers_join (callers, THREADS);
  for (int i = 0; i < THREADS; i++)
    CU_ASSERT_TRUE (callers[i].code == STATUS_OK && callers[i].inserted);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "t"), THREADS);
  platform_group_stats (group, &stats);
  CU_ASSERT_EQUAL (stats.ops, THREADS);
  CU_ASSERT_EQUAL (stats.transactions, (int64_t)fake_platform_calls (p, CALL_TXN));
  CU_ASSERT_TRUE (stats.transactions < THREADS);
  platform_group_free (group);
  platform_free (p);
}

/* Guards against a request that is run twice: a caller sends it twice within a millisecond, and
 * both inserts are queued together. In one transaction, the result of the second would depend on
 * the platform, and both could be reported as inserted. */
static void
test_same_key_is_inserted_once (void)
{
  Platform *p = fake_platform_new ();
  Platform *link = fake_link_new (p);
  PlatformGroup *group = platform_group_new (link, 5, 256, 5000);
  Caller callers[THREADS];
  const char *winner = NULL;
  int inserted = 0;

  callers_start (callers, group, true);
  callers_join (callers, THREADS);
  for (int i = 0; i < THREADS; i++)
    if (callers[i].inserted)
      {
        inserted++;
        winner = callers[i].value;
      }
  CU_ASSERT_EQUAL_FATAL (inserted, 1);
  for (int i = 0; i < THREADS; i++)
    {
      CU_ASSERT_EQUAL (callers[i].code, STATUS_OK);
      if (!callers[i].inserted)
        CU_ASSERT_STRING_EQUAL (callers[i].existing, winner);
      free (callers[i].existing);
    }
  platform_group_free (group);
  platform_free (link);
  platform_free (p);
}

/* Each fault is reported to every caller of the transaction, as "not applied" only where this is
 * certain. */
static void
test_faults_reach_every_caller (void)
{
  static const struct
  {
    FakeFault fault;
    StatusCode code;
    size_t rows;
  } faults[] = {
    { FAULT_DOWN, STATUS_UNAVAILABLE, 0 },
    { FAULT_LOSE_CALL, STATUS_UNKNOWN, 0 },
    { FAULT_LOSE_REPLY, STATUS_UNKNOWN, THREADS },
  };

  for (size_t f = 0; f < sizeof faults / sizeof faults[0]; f++)
    {
      Platform *p = fake_platform_new ();
      PlatformGroup *group = platform_group_new (p, 10, 256, 1000);
      Caller callers[THREADS];

      platform_group_set_failure_threshold (group, 0);
      fake_platform_fault (p, faults[f].fault, CALL_TXN, 0);
      callers_start (callers, group, false);
      callers_join (callers, THREADS);
      for (int i = 0; i < THREADS; i++)
        CU_ASSERT_EQUAL (callers[i].code, faults[f].code);
      CU_ASSERT_EQUAL (fake_platform_rows (p, "t"), faults[f].rows);
      platform_group_free (group);
      platform_free (p);
    }
}

/* If the table service hangs, a caller whose write was sent gets STATUS_UNKNOWN, and one whose
 * write is still queued gets STATUS_UNAVAILABLE; the latter must not be applied after the service
 * has recovered. */
static void
test_submit_within_limits_wait (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 1, 60000);
  TxnBlocker blocker;
  Caller sent[2], queued;

  blocker_init (&blocker, p);
  caller_start (&sent[0], group, "a", 0, 100);
  caller_start (&sent[1], group, "b", 1, 100);
  sem_wait (&blocker.entered);
  sem_wait (&blocker.entered);
  caller_start (&queued, group, "c", 2, 100);
  callers_join (sent, 2);
  callers_join (&queued, 1);
  CU_ASSERT_EQUAL (sent[0].code, STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (sent[1].code, STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (queued.code, STATUS_UNAVAILABLE);
  sem_post (&blocker.release);
  sem_post (&blocker.release);
  platform_group_free (group);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "t"), 2);
  platform_free (p);
}

#define CALLERS_REFUSED 2 /* callers beyond the capacity */

/* Callers of test_queue_is_bounded: two in transactions, a full queue, and those beyond its
 * capacity. */
static Caller overload_callers[THREADS + 2 + CALLERS_REFUSED];
#define OVERLOAD_CALLERS (sizeof overload_callers / sizeof overload_callers[0])

static bool
some_returned (void *context)
{
  int count = 0;

  for (size_t i = 0; i < OVERLOAD_CALLERS; i++)
    count += __atomic_load_n (&overload_callers[i].returned, __ATOMIC_SEQ_CST);
  return count >= *(int *)context;
}

/* If the table service hangs while callers keep arriving, callers beyond the queue's capacity are
 * refused immediately, and all others are served after the recovery. */
static void
test_queue_is_bounded (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 1, 60000);
  TxnBlocker blocker;
  int over = CALLERS_REFUSED;
  int full = 0;

  blocker_init (&blocker, p);
  for (size_t i = 0; i < OVERLOAD_CALLERS; i++)
    {
      char key[32];

      snprintf (key, sizeof key, "k%zu", i);
      caller_start (&overload_callers[i], group, key, (int)i, 0);
      if (i < 2)
        sem_wait (&blocker.entered);
    }
  CU_ASSERT_TRUE (suite_wait (some_returned, &over));
  sem_post (&blocker.release);
  sem_post (&blocker.release);
  callers_join (overload_callers, OVERLOAD_CALLERS);
  for (size_t i = 0; i < OVERLOAD_CALLERS; i++)
    full += overload_callers[i].code == STATUS_FULL;
  CU_ASSERT_EQUAL (full, CALLERS_REFUSED);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "t"), OVERLOAD_CALLERS - CALLERS_REFUSED);
  platform_group_free (group);
  platform_free (p);
}

static StatusCode
insert_one (PlatformGroup *group, const char *key)
{
  TxnOp op = { .kind = TXN_INSERT, .table = "t", .key = key, .value = "{}" };
  StatusCode code = platform_group_submit (group, &op, 1, NULL);

  txn_ops_clear (&op, 1);
  return code;
}

static bool
accepts_again (void *context)
{
  return insert_one (context, "after") == STATUS_OK;
}

/* Guards against callers that each wait for a time-out while the table service is down: after three
 * consecutive failures callers are refused immediately without a call, until the service has
 * recovered. */
static void
test_refused_at_once_when_down (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 256, 1000);
  int refused = 0;

  fake_platform_fault (p, FAULT_LOSE_CALL, CALL_TXN, 0);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (insert_one (group, "before"), STATUS_UNKNOWN);
  for (int i = 0; i < 1000; i++)
    refused += insert_one (group, "during") == STATUS_UNAVAILABLE;
  CU_ASSERT_TRUE (refused > 0);
  CU_ASSERT_EQUAL (fake_platform_calls (p, CALL_TXN), 3 + 1000 - (size_t)refused);
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  CU_ASSERT_TRUE (suite_wait (accepts_again, group));
  CU_ASSERT_EQUAL (insert_one (group, "later"), STATUS_OK);
  platform_group_free (group);
  platform_free (p);
}

static void *
insert_until_accepted (void *argument)
{
  suite_wait (accepts_again, argument);
  return NULL;
}

/* While one caller probes a hanging table service, the others are refused without a call. */
static void
test_one_caller_probes_when_down (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 256, 60000);
  TxnOp op = { .kind = TXN_INSERT, .table = "t", .key = "other", .value = "{}" };
  TxnBlocker blocker;
  pthread_t prober;

  fake_platform_fault (p, FAULT_DOWN, CALL_TXN, 3);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (insert_one (group, "before"), STATUS_UNAVAILABLE);
  blocker_init (&blocker, p);
  pthread_create (&prober, NULL, insert_until_accepted, group);
  sem_wait (&blocker.entered);
  for (int i = 0; i < 10; i++)
    CU_ASSERT_EQUAL (platform_group_submit_within (group, &op, 1, 100, NULL), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (fake_platform_calls (p, CALL_TXN), 3);
  sem_post (&blocker.release);
  sem_post (&blocker.release);
  pthread_join (prober, NULL);
  platform_group_free (group);
  platform_free (p);
}

/* The interval grows with the number of members: a larger site does not write more often. */
static void
test_site_interval_limits_rate (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 60000, 256, 1000);
  Caller first, second;

  for (unsigned members = 1; members <= 360; members++)
    CU_ASSERT_TRUE (members * 1000 <= (unsigned)platform_group_site_interval_ms (members)
                                          * PLATFORM_GROUP_SITE_TXNS_PER_S);
  CU_ASSERT_EQUAL (platform_group_site_interval_ms (9), 50);
  caller_start (&first, group, "a", 1, 0);
  callers_join (&first, 1);
  caller_start (&second, group, "b", 2, 100);
  callers_join (&second, 1);
  CU_ASSERT_EQUAL (second.code, STATUS_UNAVAILABLE);
  platform_group_set_interval (group, 0);
  caller_start (&second, group, "b", 2, 0);
  callers_join (&second, 1);
  CU_ASSERT_EQUAL (second.code, STATUS_OK);
  platform_group_free (group);
  platform_free (p);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "writes_share_transactions", test_writes_share_transactions },
    { "same_key_is_inserted_once", test_same_key_is_inserted_once },
    { "faults_reach_every_caller", test_faults_reach_every_caller },
    { "submit_within_limits_wait", test_submit_within_limits_wait },
    { "queue_is_bounded", test_queue_is_bounded },
    { "refused_at_once_when_down", test_refused_at_once_when_down },
    { "one_caller_probes_when_down", test_one_caller_probes_when_down },
    { "site_interval_limits_rate", test_site_interval_limits_rate },
  };

  return suite_main (argc, argv, "group", cases, SUITE_COUNT (cases));
}
