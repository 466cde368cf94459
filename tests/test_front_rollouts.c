/** Versions during roll-outs: src/front_rollouts.c, front_sessions.c. */
#include "rollouts_world.h"
#include "suite.h"
#include "util_span.h"
#include <string.h>

static void
run_request (uint64_t session, const char *version, int64_t now_ms)
{
  front_sessions_begin (sessions, session, span_hash (span_of (version)), now_ms);
  front_sessions_end (sessions, session, now_ms);
}

/* Engines of a new version register before the operator has ordered it; they must get no
 * requests. */
static void
test_version_unused_without_order (void)
{
  setup ();
  add ("c", "v2");
  add ("d", "v2");
  add ("e", "v2");
  for (uint64_t session = 1; session < 1000; session++)
    CU_ASSERT_STRING_EQUAL (chosen (session, NOW), "v1");
}

static void
test_share_grows (void)
{
  unsigned count[3] = { 0 };
  static const int64_t at_ms[3] = { 2000, 11000, 20000 };

  setup ();
  add ("c", "v2");
  order (10, NOW);
  for (unsigned i = 0; i < 3; i++)
    {
      for (uint64_t session = 1; session <= 10000; session++)
        count[i] += strcmp (chosen (session, NOW + at_ms[i]), "v2") == 0;
    }
  CU_ASSERT (count[0] > 500 && count[0] < 1000);
  CU_ASSERT_EQUAL (count[1], count[0]);
  CU_ASSERT_EQUAL (count[2], 10000);
}

/* A session runs on the old version when the roll-out begins, and its next request reaches another
 * front. It must stay on that version during the first half, at every front. */
static void
test_sessions_stay_on_old_version (void)
{
  SessionUpdate news[4];
  unsigned count;

  setup ();
  add ("c", "v2");
  run_request (SESSION_IN_SHARE, "v1", NOW - 1000);
  /* This session begins on the old version anyway, so it is not reported. */
  run_request (9999, "v1", NOW - 1000);
  order (10, NOW);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + 2000), "v1");
  count = front_rollouts_held_sessions (rollouts, rollout, news, 4, NOW + 100);
  CU_ASSERT_EQUAL (count, 1);
  CU_ASSERT_EQUAL (news[0].session, SESSION_IN_SHARE);
  CU_ASSERT_EQUAL (news[0].age_ms, 1100);

  setup (); /* another front, which has not seen the session */
  add ("c", "v2");
  order (10, NOW);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + 100), "v1");
  front_rollouts_hold_session (rollouts, rollout, &news[0], NOW + 150);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + 2000), "v1");
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + 7000), "v2");
}

/* Another front reports a session while its stream runs on the old version, and again after the
 * stream has ended, five seconds later. The session lasts from that end, so its next request
 * seconds later must stay on the old version; counted from the first report, it would move. */
static void
test_session_expires_after_last_end (void)
{
  SessionUpdate running = { .session = SESSION_IN_SHARE }, ended = { .session = SESSION_IN_SHARE };
  int64_t end_ms = NOW + SESSION_MS - 1000;

  setup ();
  add ("c", "v2");
  order (100, NOW);
  front_rollouts_hold_session (rollouts, rollout, &running, NOW + 100);
  front_rollouts_hold_session (rollouts, rollout, &ended, end_ms);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, end_ms + SESSION_MS - 1000), "v1");
  /* A late report that is older must not undo that. */
  ended.age_ms = SESSION_MS - 500;
  front_rollouts_hold_session (rollouts, rollout, &ended, end_ms + 100);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, end_ms + SESSION_MS - 1000), "v1");
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, end_ms + SESSION_MS + 1000), "v2");
}

static void
test_sessions_never_go_back (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW);
  run_request (9999, "v2", NOW + 17000);
  CU_ASSERT_STRING_EQUAL (chosen (9999, NOW + 17500), "v2");
}

/* A version that was rolled back is ordered again. The old status, which names the same version,
 * must not end the new roll-out. */
static void
test_ignores_status_of_earlier_order (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW);
  CU_ASSERT (apply_status ("v2", FRONT_ROLLOUT_ROLLED_BACK, 12));
  order (20, NOW + 30000);
  CU_ASSERT (!apply_status ("v2", FRONT_ROLLOUT_ROLLED_BACK, 12));
  CU_ASSERT (front_rollout_is_running (rollout));
  CU_ASSERT (!apply_status ("v3", FRONT_ROLLOUT_ROLLED_BACK, 22));
  CU_ASSERT (front_rollout_is_running (rollout));
}

static void
test_final_state_does_not_change (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW);
  CU_ASSERT (apply_status ("v2", FRONT_ROLLOUT_ROLLED_BACK, 12));
  apply_status ("v2", FRONT_ROLLOUT_RUNNING, 13);
  CU_ASSERT_EQUAL (rollout->state, FRONT_ROLLOUT_ROLLED_BACK);
}

/* All processes are killed in the second half. The new ones must read the start time of the
 * roll-out from the status, and not start it again. */
static void
test_restart_takes_start_from_status (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW + 15000);
  front_rollouts_apply_status (
      rollout,
      &(RolloutStatus){ .target = "v2", .state = FRONT_ROLLOUT_RUNNING, .started_ms = NOW }, 11);
  CU_ASSERT (front_rollout_share (rollout, NOW + 18500) >= 1);
}

/* All engines of the new version crash; requests must continue on the old one. */
static void
test_uses_old_version_without_new_servers (void)
{
  setup ();
  order (10, NOW);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + 20000), "v1");
}

static void
drain (const char *id, const char *version)
{
  ServerEntry entry = front_servers_find (servers, id)->entry;
  bool changed;

  CU_ASSERT_STRING_EQUAL (entry.version, version);
  entry.draining = true;
  front_servers_set (servers, &entry, NOW, &changed);
}

/* A front restarts while servers of an earlier version drain, and there are more of them than of
 * the version in use. If it took the draining version for the one in use, it would refuse all
 * requests for lack of a server after these servers have ended (soak, seeds 2 and 1002). */
static void
test_base_ignores_draining_servers (void)
{
  setup ();
  add ("e", "v1");
  add ("c", "v2");
  add ("d", "v2");
  drain ("a", "v1");
  drain ("b", "v1");
  drain ("e", "v1");
  rollout->base[0] = '\0';
  order (10, NOW);
  rollout->order.target[1] = '3';
  rollout->state = FRONT_ROLLOUT_ROLLED_BACK;
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "v2");
}

/* A front starts when most servers are of an earlier version, and have not reported yet that they
 * drain. When they are removed, it must use the version of the remaining servers. */
static void
test_base_follows_remaining_servers (void)
{
  setup ();
  add ("c", "v2");
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "v1");
  front_servers_remove (servers, "a", NOW, 0);
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "v1");
  front_servers_remove (servers, "b", NOW, 0);
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "v2");
  /* A version that was rolled back is never used. */
  order (10, NOW);
  CU_ASSERT (apply_status ("v2", FRONT_ROLLOUT_ROLLED_BACK, 11));
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "");
}

/* Guards against a front that goes on with the old version for good, as all servers of the new one
 * were down for a moment after the roll-out, and entries of old ones are left. */
static void
test_completed_version_is_used_again (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW);
  CU_ASSERT (apply_status ("v2", FRONT_ROLLOUT_COMPLETED, 11));
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "v2");
  front_servers_remove (servers, "c", NOW, 0);
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "v1");
  add ("d", "v2");
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW), "v2");
}

static const SuiteCase cases[] = {
  { "version_unused_without_order", test_version_unused_without_order },
  { "share_grows", test_share_grows },
  { "sessions_stay_on_old_version", test_sessions_stay_on_old_version },
  { "session_expires_after_last_end", test_session_expires_after_last_end },
  { "sessions_never_go_back", test_sessions_never_go_back },
  { "ignores_status_of_earlier_order", test_ignores_status_of_earlier_order },
  { "final_state_does_not_change", test_final_state_does_not_change },
  { "restart_takes_start_from_status", test_restart_takes_start_from_status },
  { "base_ignores_draining_servers", test_base_ignores_draining_servers },
  { "base_follows_remaining_servers", test_base_follows_remaining_servers },
  { "completed_version_is_used_again", test_completed_version_is_used_again },
  { "uses_old_version_without_new_servers", test_uses_old_version_without_new_servers },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_rollouts", cases, SUITE_COUNT (cases));
}
