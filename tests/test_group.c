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

/* A caller on its own thread: submits one insert, and keeps what it was told. */
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

/* Holds the first transaction until it is let go, so that the others gather behind it. */
typedef struct
{
  sem_t entered;
  sem_t go;
  unsigned calls;
} Gatekeeper;

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
hold_first (void *context, FakeCall call)
{
  Gatekeeper *keeper = context;

  if (call != CALL_TXN || __atomic_fetch_add (&keeper->calls, 1, __ATOMIC_SEQ_CST) > 1)
    return;
  sem_post (&keeper->entered);
  sem_wait (&keeper->go);
}

static void
keeper_init (Gatekeeper *keeper, Platform *p)
{
  sem_init (&keeper->entered, 0, 0);
  sem_init (&keeper->go, 0, 0);
  keeper->calls = 0;
  fake_platform_hook (p, hold_first, keeper);
}

/* Each caller's own write is in the table when its call returns, although far fewer transactions
 * than callers have left. */
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

/* A caller sends one request twice within a millisecond, and both land in one group. If both
 * inserts went in one transaction, what the second is told would hang on the platform; both being
 * told "inserted" would run the request twice. */
static void
test_same_key_has_one_winner (void)
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

/* Each fault is told to every caller of the transaction, as "not applied" only where that is so. */
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

/* The table service hangs. A caller whose write has left is told "unknown", one whose write still
 * waits is told "not applied": and then it must never be applied, also when the service is back. */
static void
test_bounded_wait (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 1, 60000);
  Gatekeeper keeper;
  Caller sent[2], queued;

  keeper_init (&keeper, p);
  caller_start (&sent[0], group, "a", 0, 100);
  caller_start (&sent[1], group, "b", 1, 100);
  sem_wait (&keeper.entered);
  sem_wait (&keeper.entered);
  caller_start (&queued, group, "c", 2, 100);
  callers_join (sent, 2);
  callers_join (&queued, 1);
  CU_ASSERT_EQUAL (sent[0].code, STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (sent[1].code, STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (queued.code, STATUS_UNAVAILABLE);
  sem_post (&keeper.go);
  sem_post (&keeper.go);
  platform_group_free (group);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "t"), 2);
  platform_free (p);
}

#define CALLERS_OVER 2

/* Callers of test_queue_is_bounded: two in transactions, a full queue, and those over it. */
static Caller crowd[THREADS + 2 + CALLERS_OVER];
#define CROWD (sizeof crowd / sizeof crowd[0])

static bool
some_returned (void *context)
{
  int count = 0;

  for (size_t i = 0; i < CROWD; i++)
    count += __atomic_load_n (&crowd[i].returned, __ATOMIC_SEQ_CST);
  return count >= *(int *)context;
}

/* The table service hangs and callers keep coming: the queue has a bound, and beyond it a caller is
 * refused at once, while all others still get their turn. */
static void
test_queue_is_bounded (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 1, 60000);
  Gatekeeper keeper;
  int over = CALLERS_OVER;
  int full = 0;

  keeper_init (&keeper, p);
  for (size_t i = 0; i < CROWD; i++)
    {
      char key[32];

      snprintf (key, sizeof key, "k%zu", i);
      caller_start (&crowd[i], group, key, (int)i, 0);
      if (i < 2)
        sem_wait (&keeper.entered);
    }
  CU_ASSERT_TRUE (suite_wait (some_returned, &over));
  sem_post (&keeper.go);
  sem_post (&keeper.go);
  callers_join (crowd, CROWD);
  for (size_t i = 0; i < CROWD; i++)
    full += crowd[i].code == STATUS_FULL;
  CU_ASSERT_EQUAL (full, CALLERS_OVER);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "t"), CROWD - CALLERS_OVER);
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
is_taken_again (void *context)
{
  return insert_one (context, "after") == STATUS_OK;
}

/* The table service is away, and each caller would wait for its timeout to hear so. After three
 * failures in a row callers are refused at once, without a call; and when the service is back it is
 * used again. */
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
  CU_ASSERT_TRUE (suite_wait (is_taken_again, group));
  CU_ASSERT_EQUAL (insert_one (group, "later"), STATUS_OK);
  platform_group_free (group);
  platform_free (p);
}

static void *
insert_until_taken (void *argument)
{
  suite_wait (is_taken_again, argument);
  return NULL;
}

/* The table service hangs. Of the callers that come while it is tried again, one waits to hear. */
static void
test_one_tries_when_down (void)
{
  Platform *p = fake_platform_new ();
  PlatformGroup *group = platform_group_new (p, 0, 256, 60000);
  TxnOp op = { .kind = TXN_INSERT, .table = "t", .key = "other", .value = "{}" };
  Gatekeeper keeper;
  pthread_t prober;

  fake_platform_fault (p, FAULT_DOWN, CALL_TXN, 3);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (insert_one (group, "before"), STATUS_UNAVAILABLE);
  keeper_init (&keeper, p);
  pthread_create (&prober, NULL, insert_until_taken, group);
  sem_wait (&keeper.entered);
  for (int i = 0; i < 10; i++)
    CU_ASSERT_EQUAL (platform_group_submit_within (group, &op, 1, 100, NULL), STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (fake_platform_calls (p, CALL_TXN), 3);
  sem_post (&keeper.go);
  sem_post (&keeper.go);
  pthread_join (prober, NULL);
  platform_group_free (group);
  platform_free (p);
}

/* A site that grows must not write more: the interval follows the number of its members. */
static void
test_interval_of_a_site (void)
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
    { "same_key_has_one_winner", test_same_key_has_one_winner },
    { "faults_reach_every_caller", test_faults_reach_every_caller },
    { "bounded_wait", test_bounded_wait },
    { "queue_is_bounded", test_queue_is_bounded },
    { "refused_at_once_when_down", test_refused_at_once_when_down },
    { "one_tries_when_down", test_one_tries_when_down },
    { "interval_of_a_site", test_interval_of_a_site },
  };

  return suite_main (argc, argv, "group", cases, SUITE_COUNT (cases));
}
