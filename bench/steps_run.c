#include "steps.h"
#include "util_memory.h"
#include <stdlib.h>

#define FAULT_STEPS    16000 /* of a phase with faults */
#define RECOVERY_STEPS 10000 /* of a fault-free phase */
#define FIRST_VMS      7

unsigned long
steps_random (StepsSite *site, unsigned long n)
{
  return gsl_rng_uniform_int (site->rng, n);
}

static void
start (StepsSite *site)
{
  site->now = 1;
  site->next_incarnation = 1;
  site->table.head = 1;
  site->table.head_version = 1;
  site->conditions
      = (StepsConditions){ .delay_max = 20, .table_up = true, .table_reachable = { true, true } };
  for (unsigned i = 0; i < STEPS_SLOTS; i++)
    {
      site->vms[i].gate_until = CLUSTER_NEVER;
      site->vms[i].up = i < FIRST_VMS;
      site->vms[i].clock_offset = (int64_t)steps_random (site, 100000000);
      site->vms[i].clock_rate = (int64_t)steps_random (site, 1000) - 500;
      if (site->vms[i].up)
        steps_steward_start (site, i);
    }
}

static void
step (StepsSite *site)
{
  unsigned slot = (unsigned)steps_random (site, STEPS_SLOTS);

  site->counts.steps++;
  site->now += (int64_t)steps_random (site, 6);
  steps_table_step (site);
  steps_deliver (site);
  if (steps_is_running (site, slot))
    {
      if (!site->fault_free && steps_random (site, 20) == 0)
        steps_steward_submit (site, slot);
      steps_steward_act (site, slot);
    }
  steps_fault (site);
  steps_oracle_check (site, slot);
}

/* Runs phases with faults, each followed by a fault-free one at whose end all VMs must agree. */
StepsCounts
steps_run (unsigned long seed, int64_t steps)
{
  StepsSite *site = memory_alloc (sizeof *site);

  site->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (site->rng, seed);
  site->accepted_at = memory_array (STEPS_NUMBERS_MAX, sizeof *site->accepted_at);
  start (site);
  while (site->counts.steps < steps)
    {
      steps_faults_begin (site);
      for (int i = 0; i < FAULT_STEPS; i++)
        step (site);
      steps_recovery_begin (site);
      for (int i = 0; i < RECOVERY_STEPS; i++)
        step (site);
      steps_oracle_check_recovered (site);
    }
  StepsCounts counts = site->counts;
  for (unsigned i = 0; i < STEPS_SLOTS; i++)
    cluster_state_free (site->vms[i].state);
  free (site->accepted_at);
  gsl_rng_free (site->rng);
  free (site);
  return counts;
}
