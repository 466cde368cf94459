/**
 * Operators' changes of the configuration: concurrent changes, lost replies, writes with late
 * effect.
 */
#include "fake_platform.h"
#include "steward_head.h"
#include "steward_submit.h"
#include "suite.h"
#include "util_memory.h"
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char first[]
    = "{\"models\":{\"m\":{\"versions\":{\"v1\":{\"state\":\"active\",\"cost_per_1k\":1},"
      "\"v2\":{\"state\":\"active\",\"cost_per_1k\":1}}}}}";
static const char withdraw_v1[]
    = "{\"models\":{\"m\":{\"versions\":{\"v1\":{\"state\":\"withdrawn\"}}}}}";
static const char withdraw_v2[]
    = "{\"models\":{\"m\":{\"versions\":{\"v2\":{\"state\":\"withdrawn\"}}}}}";

static StewardSubmitOutcome
submit (Platform *p, int64_t base, const char *change, StewardSubmitResult *out)
{
  StewardSubmission submission
      = { .operator_name = "ana", .reason = "test", .base = base, .change = change };

  steward_submit (p, &submission, out);
  return out->outcome;
}

/* Returns the outcome and the number (or head). */
static StewardSubmitOutcome
submit_number (Platform *p, int64_t base, const char *change, int64_t *number)
{
  StewardSubmitResult result;
  StewardSubmitOutcome outcome = submit (p, base, change, &result);

  *number = outcome == STEWARD_SUBMIT_DURABLE ? result.number : result.head;
  steward_submit_clear (&result);
  return outcome;
}

static Platform *
platform_with_first (void)
{
  Platform *p = fake_platform_new ();
  int64_t number;

  CU_ASSERT_EQUAL (submit_number (p, 0, first, &number), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (number, 1);
  return p;
}

static int64_t
head_number (Platform *p)
{
  StewardHead head;

  CU_ASSERT_EQUAL (steward_head_read (p, 1000, &head, NULL), STATUS_OK);
  return head.number;
}

/* True if the newest document has that version of model m in that state. */
static bool
newest_state (Platform *p, const char *version, const char *state)
{
  PlatformRow row = { 0 };
  char key[STEWARD_KEY_SIZE], expected[128];
  bool found;

  steward_number_key (head_number (p), key);
  CU_ASSERT_EQUAL (p->ops->get (p, "config_text", key, 1000, &row, NULL), STATUS_OK);
  struct json_object *obj = json_tokener_parse (row.value);
  struct json_object *value = NULL;
  snprintf (expected, sizeof expected, "/models/m/versions/%s/state", version);
  found = json_pointer_get (obj, expected, &value) == 0
          && strcmp (json_object_get_string (value), state) == 0;
  json_object_put (obj);
  platform_row_clear (&row);
  return found;
}

static void
test_numbers_rise_by_one (void)
{
  Platform *p = platform_with_first ();
  int64_t number;

  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (number, 2);
  CU_ASSERT_TRUE (newest_state (p, "v1", "withdrawn"));
  CU_ASSERT_EQUAL (fake_platform_rows (p, "config_version"), 2);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "config_text"), 2);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "audit"), 2);
  platform_free (p);
}

/* Two operators submit patches against the same number. One succeeds; the other must get the
   newest number, and nothing of the refused patch may be in force. */
static void
test_concurrent_patches_have_one_winner (void)
{
  Platform *p = platform_with_first ();
  int64_t number;

  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v2, &number), STEWARD_SUBMIT_CONFLICT);
  CU_ASSERT_EQUAL (number, 2);
  CU_ASSERT_EQUAL (submit_number (p, 0, first, &number), STEWARD_SUBMIT_CONFLICT);
  CU_ASSERT_EQUAL (submit_number (p, 7, withdraw_v2, &number), STEWARD_SUBMIT_CONFLICT);
  CU_ASSERT_TRUE (newest_state (p, "v2", "active"));
  CU_ASSERT_EQUAL (head_number (p), 2);
  platform_free (p);
}

static void
test_invalid_patch_changes_nothing (void)
{
  Platform *p = platform_with_first ();
  StewardSubmitResult result;

  CU_ASSERT_EQUAL (submit (p, 1,
                           "{\"models\":{\"m\":{\"versions\":{\"v1\":{\"state\":\"gone\"},"
                           "\"v2\":{\"cost_per_1k\":\"dear\"}}}}}",
                           &result),
                   STEWARD_SUBMIT_INVALID);
  CU_ASSERT_EQUAL (result.errors.count, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (result.errors.text.data, "v2"));
  steward_submit_clear (&result);
  CU_ASSERT_EQUAL (head_number (p), 1);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "config_version"), 1);
  platform_free (p);
}

/* The patch is committed and its reply lost. If the operator got an error, they would submit it
   again and get a conflict with the same patch. */
static void
test_lost_reply_is_found_durable (void)
{
  Platform *p = platform_with_first ();
  int64_t number;

  fake_platform_fault (p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (number, 2);
  CU_ASSERT_EQUAL (head_number (p), 2);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "config_version"), 2);
  platform_free (p);
}

static void
test_lost_call_is_repeated (void)
{
  Platform *p = platform_with_first ();
  int64_t number;

  fake_platform_fault (p, FAULT_LOSE_CALL, CALL_TXN, 2);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (number, 2);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "audit"), 2);
  platform_free (p);
}

/* The first transaction is so slow that its steward gives up and writes again; then it arrives.
   Both must leave one version. */
static void
test_late_write_makes_no_second_version (void)
{
  Platform *p = platform_with_first ();
  int64_t number;

  fake_platform_fault (p, FAULT_SLOW, CALL_TXN, 1);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (fake_platform_late_effects (p), 0);
  CU_ASSERT_EQUAL (head_number (p), 2);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "config_version"), 2);
  platform_free (p);
}

/** State of the hooks, which act before a transaction of the steward under test arrives. */
typedef struct
{
  Platform *p;
  bool done;
  const char *change; /**< another steward's patch, or NULL: it accepts the newest number */
  FakeFault after;    /**< fault of the next transaction of the steward under test */
} HookState;

static void
put_head (Platform *p, int64_t number, int64_t accepted)
{
  char *text = steward_head_text (number, accepted);
  TxnOp op = { .kind = TXN_PUT, .table = "config_head", .key = "head", .value = text };

  CU_ASSERT_EQUAL (p->ops->txn (p, &op, 1, 1000, NULL), STATUS_OK);
  free (text);
}

/* Makes another steward's change before the first transaction. */
static void
change_before_transaction (void *context, FakeCall call)
{
  HookState *b = context;
  int64_t number;

  if (call != CALL_TXN || b->done)
    return;
  b->done = true;
  if (b->change == NULL)
    put_head (b->p, 1, 1);
  else
    CU_ASSERT_EQUAL (submit_number (b->p, 1, b->change, &number), STEWARD_SUBMIT_DURABLE);
  if (b->after != FAULT_NONE)
    fake_platform_fault (b->p, b->after, CALL_TXN, 1);
}

/* The first transaction is lost, and another operator's patch is committed. Its row with the same
   number must not be mistaken for that of the first patch. */
static void
test_lost_call_reports_conflict_of_other_patch (void)
{
  Platform *p = platform_with_first ();
  HookState b = { .p = p, .change = withdraw_v2, .after = FAULT_LOSE_CALL };
  int64_t number;

  fake_platform_hook (p, change_before_transaction, &b);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_CONFLICT);
  CU_ASSERT_EQUAL (number, 2);
  CU_ASSERT_TRUE (newest_state (p, "v2", "withdrawn"));
  CU_ASSERT_TRUE (newest_state (p, "v1", "active"));
  platform_free (p);
}

/* Between the read of the head row and the write, another steward accepts the number before. No
   other patch came first, so the operator must not get a conflict. */
static void
test_concurrent_acceptance_is_no_conflict (void)
{
  Platform *p = platform_with_first ();
  HookState b = { .p = p };
  StewardHead head;
  int64_t number;

  fake_platform_hook (p, change_before_transaction, &b);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_DURABLE);
  CU_ASSERT_EQUAL (number, 2);
  CU_ASSERT_EQUAL (steward_head_read (p, 1000, &head, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (head.accepted, 1);
  platform_free (p);
}

static void
test_outage_is_unavailable (void)
{
  Platform *p = platform_with_first ();
  int64_t number;

  fake_platform_fault (p, FAULT_DOWN, CALL_ALL, 0);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_UNAVAILABLE);
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  fake_platform_fault (p, FAULT_DOWN, CALL_TXN, 0);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_UNAVAILABLE);
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  CU_ASSERT_EQUAL (head_number (p), 1);
  platform_free (p);
}

/* The reply is lost and then the service becomes unavailable: whether the transaction took effect
   can't be determined. */
static void
fail_after_first_call (void *context, FakeCall call)
{
  HookState *b = context;

  if (call == CALL_TXN && !b->done)
    b->done = true;
  else if (b->done)
    fake_platform_fault (b->p, FAULT_DOWN, CALL_ALL, 0);
}

static void
test_lost_reply_in_outage_is_unknown (void)
{
  Platform *p = platform_with_first ();
  HookState b = { .p = p };
  int64_t number;

  fake_platform_fault (p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  fake_platform_hook (p, fail_after_first_call, &b);
  CU_ASSERT_EQUAL (submit_number (p, 1, withdraw_v1, &number), STEWARD_SUBMIT_UNKNOWN);
  fake_platform_hook (p, NULL, NULL);
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  CU_ASSERT_EQUAL (head_number (p), 2);
  platform_free (p);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "numbers_rise_by_one", test_numbers_rise_by_one },
    { "concurrent_patches_have_one_winner", test_concurrent_patches_have_one_winner },
    { "invalid_patch_changes_nothing", test_invalid_patch_changes_nothing },
    { "lost_reply_is_found_durable", test_lost_reply_is_found_durable },
    { "lost_call_is_repeated", test_lost_call_is_repeated },
    { "late_write_makes_no_second_version", test_late_write_makes_no_second_version },
    { "lost_call_reports_conflict_of_other_patch", test_lost_call_reports_conflict_of_other_patch },
    { "concurrent_acceptance_is_no_conflict", test_concurrent_acceptance_is_no_conflict },
    { "outage_is_unavailable", test_outage_is_unavailable },
    { "lost_reply_in_outage_is_unknown", test_lost_reply_in_outage_is_unknown },
  };

  return suite_main (argc, argv, "steward_submit", cases, SUITE_COUNT (cases));
}
