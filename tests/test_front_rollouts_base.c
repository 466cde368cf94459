/** The version beside that of a roll-out: src/front_rollouts_base.c. */
#include "front_request_private.h"
#include "front_row.h"
#include "rollouts_world.h"
#include "suite.h"
#include <stdio.h>

#define NOT_IN_SHARE                                                                               \
  9999 /* a session that stays on the base version in a roll-out's first half                      \
        */

static void
order_of (const char *target, int64_t row_version)
{
  RolloutOrder new_order
      = { .service = "drafts", .duration_ms = DURATION_MS, .row_version = row_version };

  snprintf (new_order.target, sizeof new_order.target, "%s", target);
  front_rollouts_apply_order (rollouts, servers, &new_order, NOW);
}

static void
read_status (const char *target, FrontRolloutState state, const char *base, int64_t row_version)
{
  RolloutStatus status = { .state = state, .started_ms = ROLLOUT_START_UNKNOWN };

  snprintf (status.target, sizeof status.target, "%s", target);
  snprintf (status.base, sizeof status.base, "%s", base);
  front_rollouts_apply_status (rollout, &status, row_version);
}

static void
remove_v1 (void)
{
  front_servers_remove (servers, "a", NOW, 0);
  front_servers_remove (servers, "b", NOW, 0);
}

static void
add_v2_and_v3 (void)
{
  add ("c", "v2");
  add ("d", "v2");
  add ("f", "v2");
  add ("e", "v3");
}

/* Guards against a front that reads an order before the status of the one before, and goes on with
 * the version that was replaced. */
static void
test_earlier_status_names_completed_version (void)
{
  setup ();
  add_v2_and_v3 ();
  order_of ("v2", 10);
  order_of ("v3", 20);
  read_status ("v2", FRONT_ROLLOUT_COMPLETED, "v1", 15);
  CU_ASSERT_STRING_EQUAL (chosen (NOT_IN_SHARE, NOW), "v2");
  CU_ASSERT (front_rollout_is_running (rollout));
}

/* Guards against sending all requests to the version on trial, as the servers of the version before
 * were stopped when a roll-out completed whose status is not known yet. */
static void
test_other_version_is_used_until_base_is_named (void)
{
  setup ();
  add_v2_and_v3 ();
  order_of ("v2", 10);
  order_of ("v3", 20);
  remove_v1 ();
  CU_ASSERT_STRING_EQUAL (chosen (NOT_IN_SHARE, NOW), "v2");
}

/* Guards against a front that starts after a rollback, while the version's servers are still listed
 * and more than those of the version in use. */
static void
test_started_front_takes_base_from_status (void)
{
  setup ();
  add_v2_and_v3 ();
  rollout->base[0] = '\0';
  order_of ("v3", 20);
  CU_ASSERT_STRING_EQUAL (chosen (NOT_IN_SHARE, NOW), "v2");
  read_status ("v3", FRONT_ROLLOUT_RUNNING, "v1", 21);
  CU_ASSERT_STRING_EQUAL (chosen (NOT_IN_SHARE, NOW), "v1");
}

/* The same before a status of the new order is written. */
static void
test_rolled_back_version_is_no_base (void)
{
  setup ();
  add_v2_and_v3 ();
  rollout->base[0] = '\0';
  read_status ("v2", FRONT_ROLLOUT_ROLLED_BACK, "", 15);
  order_of ("v3", 20);
  front_rollouts_find_base (rollouts, servers);
  CU_ASSERT_STRING_EQUAL (chosen (NOT_IN_SHARE, NOW), "v1");
}

/* Guards against a store that came back from a copy, whose status is from before the roll-out was
 * completed. */
static void
test_lost_status_changes_no_base (void)
{
  setup ();
  add_v2_and_v3 ();
  order_of ("v2", 10);
  read_status ("v2", FRONT_ROLLOUT_COMPLETED, "v1", 12);
  read_status ("v2", FRONT_ROLLOUT_RUNNING, "v1", 31);
  CU_ASSERT_STRING_EQUAL (rollout->base, "v2");
  order_of ("v3", 20);
  read_status ("v2", FRONT_ROLLOUT_RUNNING, "v1", store_version (1, 32));
  CU_ASSERT_STRING_EQUAL (rollout->base, "v2");
  CU_ASSERT (front_rollout_is_running (rollout));
}

/* Guards against a front that goes on with an order although a status of the next one is known. */
static void
test_status_of_later_order_ends_the_known_one (void)
{
  setup ();
  add_v2_and_v3 ();
  order_of ("v2", 10);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + DURATION_MS - 1), "v2");
  read_status ("v3", FRONT_ROLLOUT_RUNNING, "v1", 21);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + DURATION_MS - 1), "v1");
  front_rollout_update_verdict (rollout, NOW + DURATION_MS - 1);
  CU_ASSERT (!rollout->has_verdict);
  read_status ("v3", FRONT_ROLLOUT_COMPLETED, "v1", 22);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW), "v3");
  order_of ("v3", 20);
  CU_ASSERT_STRING_EQUAL (rollout->order.target, "v3");
}

/* The same where the known order was completed. */
static void
test_status_of_later_order_names_completed_version (void)
{
  setup ();
  add_v2_and_v3 ();
  order_of ("v2", 10);
  read_status ("v3", FRONT_ROLLOUT_RUNNING, "v2", 21);
  CU_ASSERT_STRING_EQUAL (chosen (NOT_IN_SHARE, NOW), "v2");
  order_of ("v3", 20);
  CU_ASSERT_STRING_EQUAL (chosen (NOT_IN_SHARE, NOW), "v2");
  CU_ASSERT (front_rollout_is_running (rollout));
}

/* Guards against ending an order by a status that was written on no condition, or that the store
 * has from a copy. */
static void
test_other_statuses_do_not_end_the_order (void)
{
  setup ();
  add_v2_and_v3 ();
  order_of ("v2", 10);
  read_status ("v3", FRONT_ROLLOUT_RUNNING, "", 21);
  CU_ASSERT (front_rollout_is_running (rollout));
  read_status ("v3", FRONT_ROLLOUT_RUNNING, "v1", store_version (1, 21));
  CU_ASSERT (front_rollout_is_running (rollout));
  read_status ("v3", FRONT_ROLLOUT_RUNNING, "v1", 9);
  CU_ASSERT (front_rollout_is_running (rollout));
}

/* Guards against a front that names a version without servers, for which others would send all
 * requests to the version on trial. */
static void
test_status_names_base_with_servers (void)
{
  RolloutStatus status;

  setup ();
  remove_v1 ();
  add ("c", "v2");
  order_of ("v3", 20);
  front_rollout_status (rollout, &status);
  CU_ASSERT_STRING_EQUAL (status.base, "v2");
  CU_ASSERT_STRING_EQUAL (status.target, "v3");
}

static void
answer_of (Front *front, const char *version, bool failed)
{
  static const FrontRoute route = { .objective_ms = 500 };
  FrontRequest request = { .front = front,
                           .route = &route,
                           .service = "drafts",
                           .version_hash = 1,
                           .server = front_servers_find (servers, "a") };

  snprintf (request.version, sizeof request.version, "%s", version);
  request_add_evidence (&request, failed, NOW);
}

/* Guards against failures of a version that was rolled back before, which make the new version look
 * good, as they count for the old one. */
static void
test_answers_of_other_versions_are_no_evidence (void)
{
  Front front = { 0 };
  FrontEvidence all;

  setup ();
  add_v2_and_v3 ();
  front.rollouts = rollouts;
  order_of ("v3", 20);
  answer_of (&front, "v1", false);
  answer_of (&front, "v2", true);
  answer_of (&front, "v3", false);
  all = front_rollout_all_evidence (rollout);
  CU_ASSERT_EQUAL (front_evidence_answers (&all, EVIDENCE_OLD), 1);
  CU_ASSERT_EQUAL (front_evidence_answers (&all, EVIDENCE_NEW), 1);
}

static const SuiteCase cases[] = {
  { "earlier_status_names_completed_version", test_earlier_status_names_completed_version },
  { "other_version_is_used_until_base_is_named", test_other_version_is_used_until_base_is_named },
  { "started_front_takes_base_from_status", test_started_front_takes_base_from_status },
  { "rolled_back_version_is_no_base", test_rolled_back_version_is_no_base },
  { "lost_status_changes_no_base", test_lost_status_changes_no_base },
  { "status_of_later_order_ends_the_known_one", test_status_of_later_order_ends_the_known_one },
  { "status_of_later_order_names_completed_version",
    test_status_of_later_order_names_completed_version },
  { "other_statuses_do_not_end_the_order", test_other_statuses_do_not_end_the_order },
  { "status_names_base_with_servers", test_status_names_base_with_servers },
  { "answers_of_other_versions_are_no_evidence", test_answers_of_other_versions_are_no_evidence },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_rollouts_base", cases, SUITE_COUNT (cases));
}
