/**
 * steps SEED STEPS: runs the randomised simulation of the cluster protocol. Exit status 1 if the
 * oracle found a violation.
 */
#include "steps.h"
#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  unsigned long seed = argc > 1 ? strtoul (argv[1], NULL, 10) : 1;
  long long steps = argc > 2 ? strtoll (argv[2], NULL, 10) : 1000000;
  StepsCounts c = steps_run (seed, steps);

  printf ("seed %lu: %lld steps, %lld patches, %lld acceptances, %lld views (%lld established)\n",
          seed, (long long)c.steps, (long long)c.patches, (long long)c.acceptances,
          (long long)c.views, (long long)c.established);
  printf ("faults: %lld restarts, %lld VM losses, %lld departures, %lld freezes, %lld of the "
          "network or the table service\n",
          (long long)c.restarts, (long long)c.vms_lost, (long long)c.members_left,
          (long long)c.freezes, (long long)c.condition_changes);
  printf ("grants: %lld by the table, %lld by peers, %lld refused; %lld fault-free phases\n",
          (long long)c.grants_by_table, (long long)c.grants_by_peers, (long long)c.refusals,
          (long long)c.recoveries);
  printf ("%lld violations\n", (long long)c.violations);
  return c.violations != 0;
}
