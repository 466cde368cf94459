/**
 * A short run of the simulation (`make steps`) with fixed seeds, with checks that it did exercise
 * the protocol.
 */
#include "../bench/steps.h"
#include "suite.h"

/* Under all faults no VM takes work on a number that an accepted one replaced longer ago than the
   grant lasts, and after each fault-free phase all VMs agree. */
static void
no_work_on_replaced_numbers_under_faults (void)
{
  StepsCounts c = steps_run (1, 200000);

  CU_ASSERT_EQUAL (c.violations, 0);
  CU_ASSERT_TRUE (c.patches > 100 && c.acceptances > 50);
  CU_ASSERT_TRUE (c.views > 50 && c.established > 20);
  CU_ASSERT_TRUE (c.grants_by_table > 1000 && c.grants_by_peers > 500 && c.refusals > 500);
  CU_ASSERT_TRUE (c.restarts > 10 && c.vms_lost > 10 && c.freezes > 10);
}

/* A violation can be examined only if the same seed repeats the same run. */
static void
a_seed_repeats_the_same_run (void)
{
  StepsCounts a = steps_run (7, 30000);
  StepsCounts b = steps_run (7, 30000);

  CU_ASSERT_EQUAL (a.patches, b.patches);
  CU_ASSERT_EQUAL (a.acceptances, b.acceptances);
  CU_ASSERT_EQUAL (a.grants_by_peers, b.grants_by_peers);
  CU_ASSERT_EQUAL (a.refusals, b.refusals);
}

static const SuiteCase cases[] = {
  { "no_work_on_replaced_numbers_under_faults", no_work_on_replaced_numbers_under_faults },
  { "a_seed_repeats_the_same_run", a_seed_repeats_the_same_run },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_steps", cases, SUITE_COUNT (cases));
}
