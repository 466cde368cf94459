#include "cluster_grant.h"
#include "cluster_view.h"
#include "steps.h"
#include <stdio.h>

/* Upper bound on the duration of a grant in true time: clocks drift and are truncated to
   milliseconds. */
#define BOUND_MS (STEPS_GRANT_MS + 2 * STEPS_GRANT_MS / CLUSTER_DRIFT_PARTS + 2)

static void
violation (StepsSite *site, unsigned slot, const char *what, int64_t number, int64_t other)
{
  if (site->counts.violations++ < 10)
    fprintf (stderr, "step %lld: vm %u: %s: %lld, %lld (time %lld)\n",
             (long long)site->counts.steps, slot, what, (long long)number, (long long)other,
             (long long)site->now);
}

/* The VM may start new work on number now: reports a violation if a later number was accepted more
   than BOUND_MS ago. */
static void
check_work (StepsSite *site, unsigned slot, const char *what, int64_t number)
{
  int64_t at = site->accepted_at[number + 1];

  if (at != 0 && at + BOUND_MS < site->now)
    violation (site, slot, what, number, site->now - at);
}

void
steps_oracle_check (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];
  int64_t now = steps_clock (site, slot);

  if (vm->gate_until > now)
    check_work (site, slot, "gate takes work on a number replaced this many ms ago",
                vm->gate_number);
  if (vm->state == NULL)
    return;
  int64_t number = cluster_state_number (vm->state);
  int64_t accepted = cluster_state_accepted (vm->state);
  ClusterGrant grant = cluster_grant (vm->state, now);
  if (cluster_grant_left (&grant, now) > 0)
    check_work (site, slot, "steward grants a number replaced this many ms ago", number);
  if (number < vm->last_number)
    violation (site, slot, "number in use went down", number, vm->last_number);
  if (accepted < vm->last_accepted)
    violation (site, slot, "accepted went down", accepted, vm->last_accepted);
  if (number > site->table.head)
    violation (site, slot, "applies a number that is not durable", number, site->table.head);
  if (accepted > site->table.accepted)
    violation (site, slot, "treats as accepted what is not", accepted, site->table.accepted);
  vm->last_number = number;
  vm->last_accepted = accepted;
}

/* After a fault-free phase all running VMs must agree and have a grant; a protocol that refused all
   work would be safe but useless. */
void
steps_oracle_check_recovered (StepsSite *site)
{
  site->counts.recoveries++;
  if (site->table.accepted != site->table.head)
    violation (site, 0, "fault-free phase, but not accepted: accepted, head", site->table.accepted,
               site->table.head);
  if (!site->table.view.established)
    violation (site, 0, "fault-free phase, but the view is pending", site->table.view.number, 0);
  for (unsigned i = 0; i < STEPS_SLOTS; i++)
    {
      StepsVm *vm = &site->vms[i];
      if (vm->state == NULL || cluster_state_leaving (vm->state))
        continue;
      if (cluster_state_number (vm->state) != site->table.head)
        violation (site, i, "fault-free phase, but an outdated number in use: number, head",
                   cluster_state_number (vm->state), site->table.head);
      if (cluster_grant (vm->state, steps_clock (site, i)).proof == CLUSTER_PROOF_NONE)
        violation (site, i, "fault-free phase, but no grant", cluster_state_number (vm->state), 0);
      if (cluster_view_find (&site->table.view, cluster_state_incarnation (vm->state)) < 0)
        violation (site, i, "fault-free phase, but not registered", 0, 0);
    }
}
