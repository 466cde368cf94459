/**
 * The duty's row and its I/O: take-overs, lost replies, a holder that was frozen, giving back.
 */
#include "fake_platform.h"
#include "steward_audit.h"
#include "steward_duty.h"
#include "steward_head.h"
#include "steward_submit.h"
#include "suite.h"
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 100

static const char document[]
    = "{\"models\":{\"m\":{\"versions\":{\"v1\":{\"state\":\"active\",\"cost_per_1k\":1}}}}}";
static const char change[] = "{\"models\":{\"m\":{\"versions\":{\"v1\":{\"cost_per_1k\":2}}}}}";

static int64_t now;

static int64_t
test_clock (void)
{
  return now;
}

static StewardDuty *
duty_new (Platform *p, const char *vm, uint64_t incarnation)
{
  return steward_duty_new (&(StewardDutyOptions){ .platform = p,
                                                  .name = "rollout",
                                                  .vm = vm,
                                                  .incarnation = incarnation,
                                                  .clock_ms = test_clock });
}

/* Lets the duties step for some time. */
static void
run_for (int64_t ms, StewardDuty *a, StewardDuty *b)
{
  for (int64_t end = now + ms; now < end; now += STEP_MS)
    {
      steward_duty_step (a, 3);
      if (b != NULL)
        steward_duty_step (b, 3);
    }
}

/* Entries of the audit trail whose member has that value. */
static size_t
audit_entries (Platform *p, const char *member, const char *value)
{
  struct json_object *list, *entries, *found;
  size_t count = 0;

  CU_ASSERT_EQUAL (steward_audit_list (p, "", 1000, 1000, &list, NULL), STATUS_OK);
  json_object_object_get_ex (list, "entries", &entries);
  for (size_t i = 0; i < json_object_array_length (entries); i++)
    if (json_object_object_get_ex (json_object_array_get_idx (entries, i), member, &found)
        && strcmp (json_object_get_string (found), value) == 0)
      count++;
  json_object_put (list);
  return count;
}

static void
test_one_holds_it (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);
  StewardDuty *b = duty_new (p, "vm-2", 2);

  now = 1000;
  CU_ASSERT_FALSE (steward_duty_may_order (a));
  for (int i = 0; i < 600; i++)
    {
      run_for (STEP_MS, a, b);
      CU_ASSERT_FALSE (steward_duty_may_order (a) && steward_duty_may_order (b));
    }
  CU_ASSERT_EQUAL (steward_duty_fence (a), 1);
  CU_ASSERT_EQUAL (steward_duty_fence (b), 0);
  CU_ASSERT_EQUAL (audit_entries (p, "action", "duty"), 1);
  CU_ASSERT_EQUAL (audit_entries (p, "who", "vm-1"), 1);
  steward_duty_free (a);
  steward_duty_free (b);
  platform_free (p);
}

/*
 * A holder dies. Operators would see roll-outs stand still for ever if nobody took its duty over,
 * and two drivers at once if somebody did so before its lease had run out.
 */
static void
test_successor_waits (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);
  StewardDuty *b = duty_new (p, "vm-2", 2);

  now = 1000;
  run_for (20000, a, b);
  int64_t died_at = now;
  while (!steward_duty_may_order (b) && now < died_at + 60000)
    {
      CU_ASSERT_FALSE (steward_duty_may_order (a) && steward_duty_may_order (b));
      run_for (STEP_MS, b, NULL);
    }
  CU_ASSERT_FALSE (steward_duty_may_order (a));
  CU_ASSERT_EQUAL (steward_duty_fence (b), 2);
  CU_ASSERT (now - died_at >= STEWARD_DUTY_LEASE_MS - STEWARD_DUTY_RENEW_MS);
  CU_ASSERT (now - died_at <= STEWARD_DUTY_LEASE_MS + STEWARD_DUTY_ORDER_TIMEOUT_MS
                                  + 2 * STEWARD_DUTY_READ_INTERVAL_MS);
  CU_ASSERT_EQUAL (audit_entries (p, "to", "2"), 1);
  steward_duty_free (a);
  steward_duty_free (b);
  platform_free (p);
}

/*
 * The reply of the very first write is lost after its commit. The steward would wait out its own
 * lease, or take the duty a second time with another number, if it did not know its own row again.
 */
static void
test_lost_reply (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);

  now = 1000;
  fake_platform_fault (p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  run_for (2000, a, NULL);
  CU_ASSERT_EQUAL (steward_duty_fence (a), 1);
  fake_platform_fault (p, FAULT_LOSE_REPLY, CALL_TXN, 0);
  run_for (60000, a, NULL);
  CU_ASSERT_EQUAL (steward_duty_fence (a), 1);
  CU_ASSERT_EQUAL (audit_entries (p, "action", "duty"), 1);
  steward_duty_free (a);
  platform_free (p);
}

/* Nobody can renew in an outage: the holder stops in time, and goes on under the same number if
   nobody else came first. */
static void
test_outage (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);

  now = 1000;
  run_for (5000, a, NULL);
  CU_ASSERT (steward_duty_may_order (a));
  fake_platform_fault (p, FAULT_DOWN, CALL_ALL, 0);
  run_for (STEWARD_DUTY_LEASE_MS, a, NULL);
  CU_ASSERT_FALSE (steward_duty_may_order (a));
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  run_for (3000, a, NULL);
  CU_ASSERT_EQUAL (steward_duty_fence (a), 1);
  steward_duty_free (a);
  platform_free (p);
}

/* After a planned stop the successor waits for the flight of the last order only. */
static void
test_give_back (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);
  StewardDuty *b = duty_new (p, "vm-2", 2);

  now = 1000;
  run_for (5000, a, b);
  steward_duty_release (a);
  CU_ASSERT_FALSE (steward_duty_may_order (a));
  run_for (STEWARD_DUTY_ORDER_TIMEOUT_MS + 2 * STEWARD_DUTY_READ_INTERVAL_MS, b, NULL);
  CU_ASSERT_EQUAL (steward_duty_fence (b), 2);
  CU_ASSERT_EQUAL (audit_entries (p, "action", "duty"), 3);
  /* One that holds nothing gives nothing back. */
  steward_duty_release (a);
  CU_ASSERT_EQUAL (audit_entries (p, "action", "duty"), 3);
  steward_duty_free (a);
  steward_duty_free (b);
  platform_free (p);
}

/* A row that this program can't read is nobody's to take: another program's lease may stand in it.
 */
static void
test_unreadable_row (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);
  TxnOp op
      = { .kind = TXN_PUT, .table = "duty", .key = "rollout", .value = "{\"holder\":17,\"x\":1}" };

  now = 1000;
  CU_ASSERT_EQUAL (p->ops->txn (p, &op, 1, 1000, NULL), STATUS_OK);
  run_for (60000, a, NULL);
  CU_ASSERT_EQUAL (steward_duty_fence (a), 0);
  steward_duty_free (a);
  platform_free (p);
}

static void
test_read_pace (void)
{
  CU_ASSERT_EQUAL (steward_duty_read_interval_ms (3), STEWARD_DUTY_READ_INTERVAL_MS);
  CU_ASSERT_EQUAL (steward_duty_read_interval_ms (360), 7200);
}

typedef struct
{
  StewardDuty *successor;
  bool frozen;
} Freeze;

/* The caller is frozen directly before its transaction arrives, past its lease. */
static void
freeze (void *context, FakeCall call)
{
  Freeze *f = context;

  if (call != CALL_TXN || f->frozen)
    return;
  f->frozen = true;
  run_for (30000, f->successor, NULL);
}

static StewardSubmitOutcome
submit (Platform *p, int64_t base, const char *text, const TxnOp *condition)
{
  StewardSubmission submission = { .operator_name = "duty:rollout",
                                   .reason = "test",
                                   .base = base,
                                   .change = text,
                                   .condition = condition };
  StewardSubmitResult result;

  steward_submit (p, &submission, &result);
  StewardSubmitOutcome outcome = result.outcome;
  steward_submit_clear (&result);
  return outcome;
}

static int64_t
head_number (Platform *p)
{
  StewardHead head;

  CU_ASSERT_EQUAL (steward_head_read (p, 1000, &head, NULL), STATUS_OK);
  return head.number;
}

/*
 * Operators would see a stage taken by a driver that had been replaced: the holder checks its
 * lease, its VM is paused for half a minute, a successor takes the duty over, and then the holder's
 * transaction arrives. The head's number has not changed, so only the duty's row tells them apart.
 */
static void
test_frozen_before_transaction (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);
  StewardDuty *b = duty_new (p, "vm-2", 2);
  Freeze f = { .successor = b };

  now = 1000;
  CU_ASSERT_EQUAL (submit (p, 0, document, NULL), STEWARD_SUBMIT_DURABLE);
  run_for (3000, a, b);
  CU_ASSERT (steward_duty_may_order (a));
  TxnOp condition = steward_duty_condition (a);
  fake_platform_hook (p, freeze, &f);
  CU_ASSERT_EQUAL (submit (p, 1, change, &condition), STEWARD_SUBMIT_CONFLICT);
  fake_platform_hook (p, NULL, NULL);
  CU_ASSERT (f.frozen);
  CU_ASSERT_EQUAL (head_number (p), 1);
  CU_ASSERT_EQUAL (steward_duty_fence (b), 2);
  CU_ASSERT_FALSE (steward_duty_may_order (a));
  /* The successor's own step goes through. */
  condition = steward_duty_condition (b);
  CU_ASSERT_EQUAL (submit (p, 1, change, &condition), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (head_number (p), 2);
  steward_duty_free (a);
  steward_duty_free (b);
  platform_free (p);
}

/*
 * The reply of a stage's step is lost after the commit. Callers would be moved on by two stages at
 * once if the step were taken again: it is found by its nonce, and the same step against the same
 * number conflicts.
 */
static void
test_lost_reply_of_step (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);

  now = 1000;
  CU_ASSERT_EQUAL (submit (p, 0, document, NULL), STEWARD_SUBMIT_DURABLE);
  run_for (3000, a, NULL);
  TxnOp condition = steward_duty_condition (a);
  fake_platform_fault (p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  CU_ASSERT_EQUAL (submit (p, 1, change, &condition), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (head_number (p), 2);
  CU_ASSERT_EQUAL (submit (p, 1, change, &condition), STEWARD_SUBMIT_CONFLICT);
  CU_ASSERT_EQUAL (head_number (p), 2);
  CU_ASSERT_EQUAL (audit_entries (p, "action", "patch"), 1);
  steward_duty_free (a);
  platform_free (p);
}

/*
 * The step's transaction is slow: the holder gives it up as unknown, loses the duty, and the
 * transaction takes effect at last. It must not: its successor may have decided otherwise.
 */
static void
test_late_step (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);
  StewardDuty *b = duty_new (p, "vm-2", 2);

  now = 1000;
  CU_ASSERT_EQUAL (submit (p, 0, document, NULL), STEWARD_SUBMIT_DURABLE);
  run_for (3000, a, b);
  TxnOp condition = steward_duty_condition (a);
  fake_platform_fault (p, FAULT_SLOW, CALL_TXN, 0);
  CU_ASSERT_EQUAL (submit (p, 1, change, &condition), STEWARD_SUBMIT_UNKNOWN);
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  run_for (30000, b, NULL);
  CU_ASSERT_EQUAL (steward_duty_fence (b), 2);
  CU_ASSERT_EQUAL (fake_platform_late_effects (p), 0);
  CU_ASSERT_EQUAL (head_number (p), 1);
  steward_duty_free (a);
  steward_duty_free (b);
  platform_free (p);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "one_holds_it", test_one_holds_it },
    { "successor_waits", test_successor_waits },
    { "lost_reply", test_lost_reply },
    { "outage", test_outage },
    { "give_back", test_give_back },
    { "unreadable_row", test_unreadable_row },
    { "read_pace", test_read_pace },
    { "frozen_before_transaction", test_frozen_before_transaction },
    { "lost_reply_of_step", test_lost_reply_of_step },
    { "late_step", test_late_step },
  };

  return suite_main (argc, argv, "steward_duty", cases, SUITE_COUNT (cases));
}
