/** When a new version is found good or bad: src/front_rollouts_verdict.c. */
#include "rollouts_world.h"
#include "suite.h"

static void
add_answers (FrontEvidence *evidence, unsigned route, unsigned bad, unsigned good, bool slow)
{
  EvidenceAnswer answer = { .side = EVIDENCE_NEW, .route = route, .predicted_ms = 60 };

  answer.failed = !slow;
  answer.first_ms = slow ? 900 : 50;
  for (unsigned i = 0; i < bad; i++)
    front_evidence_add (evidence, &answer);
  answer.failed = false;
  answer.first_ms = 70;
  for (unsigned i = 0; i < good; i++)
    front_evidence_add (evidence, &answer);
  answer.side = EVIDENCE_OLD;
  for (unsigned i = 0; i < 200; i++)
    {
      answer.failed = i % 50 == 0;
      front_evidence_add (evidence, &answer);
    }
}

/* Each of six fronts sees two failures of a bad version, which alone could be chance. Together they
 * must stop it, everywhere and at once, even if the store is unreachable. */
static void
test_evidence_of_all_peers_counts (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW);
  for (unsigned i = 0; i < 6; i++)
    {
      RolloutUpdate update = { .peer = i + 1 };

      add_answers (&update.evidence, 0, 2, 3, false);
      front_rollout_merge (rollout, &update);
      front_rollout_merge (rollout, &update); /* a repeated update counts once */
    }
  CU_ASSERT_EQUAL (rollout->peer_count, 6);
  front_rollout_update_verdict (rollout, NOW + 2000);
  CU_ASSERT (rollout->is_bad);
  CU_ASSERT (rollout->has_verdict);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_ROLLED_BACK);
  CU_ASSERT_STRING_EQUAL (chosen (SESSION_IN_SHARE, NOW + 2000), "v1");
}

/* A bad version fails requests at hundreds of fronts of three failure domains, each of which sees
 * too few of them. The sums of the domains, relayed from front to front in any order, must stop it,
 * and nothing may be counted twice. */
static void
test_evidence_of_all_domains_counts (void)
{
  RolloutDomain domains[2] = { { .domain = OTHER_DOMAIN }, { .domain = OTHER_DOMAIN + 1 } };
  RolloutUpdate update = { .domain_count = 2, .domains = domains };
  RolloutUpdate older_update = { .domain_count = 1, .domains = domains };

  setup ();
  add ("c", "v2");
  order (10, NOW);
  add_answers (&domains[0].evidence, 0, 2, 20, false);
  front_rollout_merge (rollout, &older_update);
  front_rollout_update_verdict (rollout, NOW + 1000);
  CU_ASSERT (!rollout->is_bad);
  domains[0].evidence = (FrontEvidence){ 0 };
  add_answers (&domains[0].evidence, 0, 4, 40, false);
  front_rollout_merge (rollout, &update);
  domains[0].evidence = (FrontEvidence){ 0 };
  front_rollout_merge (rollout, &update); /* late, with smaller counts */
  front_rollout_update_verdict (rollout, NOW + 1200);
  CU_ASSERT_EQUAL (rollout->domain_count, 3);
  CU_ASSERT_EQUAL (front_evidence_answers (&rollout->domains[0].evidence, EVIDENCE_NEW), 44);
  CU_ASSERT (!rollout->is_bad);
  add_answers (&domains[1].evidence, 0, 12, 0, false);
  front_rollout_merge (rollout, &update);
  front_rollout_update_verdict (rollout, NOW + 1400);
  CU_ASSERT (rollout->is_bad);
}

/* A domain's sum must hold what each of its fronts has counted, including dead ones. */
static void
test_domain_sum_includes_dead_fronts (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW);
  add_answers (&rollout->evidence, 0, 1, 9, false);
  for (unsigned i = 0; i < ROLLOUT_PEERS_MAX + 10; i++)
    {
      RolloutUpdate update = { .peer = i + 1 };

      add_answers (&update.evidence, 0, 0, 2, false);
      front_rollout_merge (rollout, &update);
    }
  front_rollout_sum_domain (rollout);
  front_rollout_sum_domain (rollout);
  CU_ASSERT_EQUAL (rollout->peer_count, ROLLOUT_PEERS_MAX);
  CU_ASSERT_EQUAL (rollout->domain_count, 1);
  CU_ASSERT_EQUAL (rollout->domains[0].domain, OWN_DOMAIN);
  CU_ASSERT_EQUAL (front_evidence_answers (&rollout->domains[0].evidence, EVIDENCE_NEW),
                   10 + 2 * ROLLOUT_PEERS_MAX);
}

static void
test_completes_when_old_version_is_idle (void)
{
  RolloutUpdate update = { .old_busy_ms = NOW + 17900 };

  setup ();
  add ("c", "v2");
  order (10, NOW);
  add_answers (&rollout->evidence, 0, 0, 100, false);
  front_rollout_update_verdict (rollout, NOW + 1000);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_RUNNING);
  CU_ASSERT (apply_status ("v2", FRONT_ROLLOUT_RUNNING, 11) == false);
  front_rollout_update_verdict (rollout, NOW + 17000);
  CU_ASSERT (!rollout->has_verdict);
  front_rollout_merge (rollout, &update);
  front_rollout_update_verdict (rollout, NOW + 18100);
  CU_ASSERT (!rollout->has_verdict);
  update.old_busy_ms = NOW + 17000; /* an older update must not undo it */
  front_rollout_merge (rollout, &update);
  front_rollout_update_verdict (rollout, NOW + 19400);
  CU_ASSERT (!rollout->has_verdict);
  front_rollout_update_verdict (rollout, NOW + 19500);
  CU_ASSERT (rollout->has_verdict);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_COMPLETED);
  CU_ASSERT (apply_status ("v2", FRONT_ROLLOUT_COMPLETED, 12));
  CU_ASSERT_STRING_EQUAL (chosen (1, NOW + 19600), "v2");
}

/* A version that fails all its requests gets hardly any, as fronts are stopped and disconnected
 * during its roll-out. Two failures are too few for an early verdict, but at the end of its time
 * it must not be reported completed, which would stop the old version's servers (soak, seed
 * 2007). */
static void
test_doubtful_version_is_not_completed (void)
{
  setup ();
  add ("c", "v2");
  order (10, NOW);
  add_answers (&rollout->evidence, 0, 2, 1, false);
  front_rollout_update_verdict (rollout, NOW + 10000);
  CU_ASSERT (!rollout->is_bad);
  front_rollout_update_verdict (rollout, NOW + DURATION_MS - 1000);
  CU_ASSERT (rollout->is_bad);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_ROLLED_BACK);

  setup ();
  add ("c", "v2");
  order (10, NOW);
  add_answers (&rollout->evidence, 0, 1, 30, false);
  front_rollout_update_verdict (rollout, NOW + DURATION_MS - 1000);
  CU_ASSERT (!rollout->is_bad);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_COMPLETED);
}

/* A peer was killed with requests on the old version; its last update must not keep the roll-out
 * from being completed. */
static void
test_dead_peer_does_not_block_completion (void)
{
  RolloutUpdate update = { .old_busy_ms = NOW + 17000 };

  setup ();
  add ("c", "v2");
  order (10, NOW);
  add_answers (&rollout->evidence, 0, 0, 100, false);
  front_rollout_merge (rollout, &update);
  front_rollout_update_verdict (rollout, NOW + 19000);
  CU_ASSERT_EQUAL (rollout->verdict, FRONT_ROLLOUT_COMPLETED);
}

static const SuiteCase cases[] = {
  { "evidence_of_all_peers_counts", test_evidence_of_all_peers_counts },
  { "evidence_of_all_domains_counts", test_evidence_of_all_domains_counts },
  { "domain_sum_includes_dead_fronts", test_domain_sum_includes_dead_fronts },
  { "completes_when_old_version_is_idle", test_completes_when_old_version_is_idle },
  { "doubtful_version_is_not_completed", test_doubtful_version_is_not_completed },
  { "dead_peer_does_not_block_completion", test_dead_peer_does_not_block_completion },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_rollouts_verdict", cases, SUITE_COUNT (cases));
}
