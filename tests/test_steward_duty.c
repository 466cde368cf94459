/**
 * The duty's row and its I/O: take-overs, lost replies, a paused holder, release.
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

/* Runs steward_duty_step of both for some time. */
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

/* Number of entries of the audit trail whose member has that value. */
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
test_one_steward_holds_duty (void)
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
 * The holder dies. If no steward took its duty over, all roll-outs would stop; if one did so
 * before the lease has expired, two stewards would drive roll-outs at once.
 */
static void
test_successor_waits_for_lease (void)
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
 * The reply of the first write is lost after its commit. A steward that did not recognise its own
 * row would wait for its own lease to expire, or take the duty again under another number.
 */
static void
test_lost_reply_keeps_fence (void)
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

/* The lease can't be renewed in an outage: the holder must stop in time, and continues under the
   same number if no other steward took the duty. */
static void
test_holder_stops_in_outage (void)
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

/* After a release the successor waits only for the time-out of the last order. */
static void
test_successor_takes_over_released_duty (void)
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
  /* A steward that doesn't hold the duty must not release it. */
  steward_duty_release (a);
  CU_ASSERT_EQUAL (audit_entries (p, "action", "duty"), 3);
  steward_duty_free (a);
  steward_duty_free (b);
  platform_free (p);
}

/* A row that can't be parsed must not be taken over: it may hold the lease of another program
   version. */
static void
test_unreadable_row_blocks_take_over (void)
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
test_read_interval_grows_with_members (void)
{
  CU_ASSERT_EQUAL (steward_duty_read_interval_ms (3), STEWARD_DUTY_READ_INTERVAL_MS);
  CU_ASSERT_EQUAL (steward_duty_read_interval_ms (360), 7200);
}

typedef struct
{
  StewardDuty *successor;
  bool has_paused;
} Pause;

/* Pauses the caller directly before its transaction arrives, until its lease has expired. */
static void
pause_holder (void *context, FakeCall call)
{
  Pause *holder_pause = context;

  if (call != CALL_TXN || holder_pause->has_paused)
    return;
  holder_pause->has_paused = true;
  run_for (30000, holder_pause->successor, NULL);
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
 * Guards against a step by a former holder: it checks its lease, its VM is paused for half a
 * minute, a successor takes the duty over, and then the first holder's transaction arrives. The
 * head's number has not changed, so only the check of the duty's row refuses it.
 */
static void
test_paused_holder_changes_nothing (void)
{
  Platform *p = fake_platform_new ();
  StewardDuty *a = duty_new (p, "vm-1", 1);
  StewardDuty *b = duty_new (p, "vm-2", 2);
  Pause holder_pause = { .successor = b };

  now = 1000;
  CU_ASSERT_EQUAL (submit (p, 0, document, NULL), STEWARD_SUBMIT_DURABLE);
  run_for (3000, a, b);
  CU_ASSERT (steward_duty_may_order (a));
  TxnOp condition = steward_duty_condition (a);
  fake_platform_hook (p, pause_holder, &holder_pause);
  CU_ASSERT_EQUAL (submit (p, 1, change, &condition), STEWARD_SUBMIT_CONFLICT);
  fake_platform_hook (p, NULL, NULL);
  CU_ASSERT (holder_pause.has_paused);
  CU_ASSERT_EQUAL (head_number (p), 1);
  CU_ASSERT_EQUAL (steward_duty_fence (b), 2);
  CU_ASSERT_FALSE (steward_duty_may_order (a));
  /* The successor's own step succeeds. */
  condition = steward_duty_condition (b);
  CU_ASSERT_EQUAL (submit (p, 1, change, &condition), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (head_number (p), 2);
  steward_duty_free (a);
  steward_duty_free (b);
  platform_free (p);
}

/*
 * The reply of a step is lost after its commit. Repeated, the step would advance callers by two
 * stages at once: the first must be recognised by its nonce, and the same step against the same
 * number must conflict.
 */
static void
test_lost_reply_makes_one_step (void)
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
 * The transaction of a step is slow: the holder gives up with an unknown outcome and loses the
 * duty, and then the transaction arrives. It must have no effect, since the successor may have
 * decided otherwise.
 */
static void
test_late_step_takes_no_effect (void)
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
    { "one_steward_holds_duty", test_one_steward_holds_duty },
    { "successor_waits_for_lease", test_successor_waits_for_lease },
    { "lost_reply_keeps_fence", test_lost_reply_keeps_fence },
    { "holder_stops_in_outage", test_holder_stops_in_outage },
    { "successor_takes_over_released_duty", test_successor_takes_over_released_duty },
    { "unreadable_row_blocks_take_over", test_unreadable_row_blocks_take_over },
    { "read_interval_grows_with_members", test_read_interval_grows_with_members },
    { "paused_holder_changes_nothing", test_paused_holder_changes_nothing },
    { "lost_reply_makes_one_step", test_lost_reply_makes_one_step },
    { "late_step_takes_no_effect", test_late_step_takes_no_effect },
  };

  return suite_main (argc, argv, "steward_duty", cases, SUITE_COUNT (cases));
}
