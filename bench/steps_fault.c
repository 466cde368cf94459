#include "steps.h"

#define FREEZE_MAX_MS 5000

typedef enum
{
  FAULT_FREEZE,
  FAULT_STOP_OR_START,
  FAULT_RESTART,
  FAULT_LOSE_VM,
  FAULT_START_VM,
  FAULT_LEAVE,
  FAULT_CONDITIONS,
  FAULT_PARTITION,
  FAULT_COUNT
} Fault;

/** How often faults occur, and which. With all kinds at once there is seldom a majority left that
 *  could make the same error; with a few kinds there is. */
typedef struct StepsFaultMix
{
  unsigned long every; /**< one step in this many has a fault */
  unsigned long weights[FAULT_COUNT];
} StepsFaultMix;

static void freeze (StepsSite *site, unsigned slot);
static void stop_or_start (StepsSite *site, unsigned slot);
static void restart (StepsSite *site, unsigned slot);
static void lose_vm (StepsSite *site, unsigned slot);
static void start_vm (StepsSite *site, unsigned slot);
static void leave (StepsSite *site, unsigned slot);
static void change_conditions (StepsSite *site, unsigned slot);
static void partition_majority (StepsSite *site, unsigned slot);

static void (*const faults[FAULT_COUNT]) (StepsSite *site, unsigned slot) = {
  [FAULT_FREEZE] = freeze,
  [FAULT_STOP_OR_START] = stop_or_start,
  [FAULT_RESTART] = restart,
  [FAULT_LOSE_VM] = lose_vm,
  [FAULT_START_VM] = start_vm,
  [FAULT_LEAVE] = leave,
  [FAULT_CONDITIONS] = change_conditions,
  [FAULT_PARTITION] = partition_majority,
};

static const StepsFaultMix fault_mixes[] = {
  { 150, { 4, 3, 2, 2, 3, 1, 2 } },    /* all kinds, frequent */
  { 1200, { 4, 3, 2, 2, 3, 1, 2 } },   /* all kinds, rare */
  { 300, { 0, 0, 4, 1, 4, 1, 4 } },    /* restarts and joins while the conditions change */
  { 800, { 0, 0, 0, 0, 0, 0, 1 } },    /* changing conditions only */
  { 500, { 1, 0, 1, 0, 0, 0, 1 } },    /* pauses and restarts while the conditions change */
  { 300, { 0, 0, 1, 0, 7, 0, 1, 0 } }, /* mostly joins */
  { 200, { 0, 0, 2, 0, 6, 0, 0, 1 } }, /* joins and restarts while a majority is partitioned off */
  { 200, { 0, 0, 3, 2, 5, 1, 0, 1 } }, /* membership changes while a majority is partitioned off */
  { 60, { 0, 0, 3, 2, 5, 0, 0, 1 } },  /* the same without leaving, more frequent */
  { 300, { 0, 0, 2, 4, 2, 1, 1 } },    /* mostly lost VMs */
};

/* Sets random conditions of the network and the table service. */
static void
change_conditions (StepsSite *site, unsigned slot)
{
  (void)slot;
  StepsConditions *conditions = &site->conditions;
  bool partitioned = steps_random (site, 2) == 0;

  site->counts.condition_changes++;
  conditions->loss = steps_random (site, 4) * 100;
  conditions->duplication = steps_random (site, 3) * 100;
  conditions->delay_max = (int64_t)(steps_random (site, 3) == 0 ? steps_random (site, 3000) : 20);
  conditions->op_loss = steps_random (site, 3) * 100;
  conditions->table_up = steps_random (site, 4) != 0;
  conditions->table_reachable[0] = true;
  conditions->table_reachable[1] = steps_random (site, 2) == 0;
  for (unsigned i = 0; i < STEPS_SLOTS; i++)
    conditions->partition[i] = partitioned ? (unsigned)steps_random (site, 2) : 0;
}

void
steps_faults_begin (StepsSite *site)
{
  site->fault_free = false;
  site->fault_mix = &fault_mixes[steps_random (site, sizeof fault_mixes / sizeof *fault_mixes)];
}

/* The case for which the rules of views exist: a majority of the members is partitioned off from
   the table service, while the others reach it and new members join them. */
static void
partition_majority (StepsSite *site, unsigned slot)
{
  StepsConditions *conditions = &site->conditions;
  const ClusterView *row = &site->table.view;

  (void)slot;
  site->counts.condition_changes++;
  *conditions
      = (StepsConditions){ .delay_max = 20, .table_up = true, .table_reachable = { true, false } };
  if (row->count == 0)
    return;
  size_t first = steps_random (site, row->count);
  for (size_t i = 0; i < row->count / 2 + 1; i++)
    {
      const ClusterMember *m = &row->members[(first + i) % row->count];
      conditions->partition[m->port - STEPS_PORT] = 1;
    }
}

static void
freeze (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];

  site->counts.freezes++;
  vm->frozen_until = site->now + (int64_t)steps_random (site, FREEZE_MAX_MS);
}

/* Stops the steward, or starts it again. The VM and its gate continue with the gate's grant. */
static void
stop_or_start (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];

  if (!vm->up)
    return;
  if (vm->state != NULL)
    {
      steps_steward_stop (site, slot);
      return;
    }
  site->counts.restarts++;
  vm->frozen_until = 0;
  steps_steward_start (site, slot);
}

static void
restart (StepsSite *site, unsigned slot)
{
  if (site->vms[slot].state != NULL)
    steps_steward_stop (site, slot);
  stop_or_start (site, slot);
}

/* The VM is lost with its gate. Another VM may start at its address later. */
static void
lose_vm (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];

  if (!vm->up)
    return;
  if (vm->state != NULL)
    steps_steward_stop (site, slot);
  vm->up = false;
  vm->lost_at = site->now;
  vm->gate_until = CLUSTER_NEVER;
  site->counts.vms_lost++;
}

static void
start_vm (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];

  if (vm->up)
    return;
  vm->up = true;
  vm->frozen_until = 0;
  vm->clock_offset = (int64_t)steps_random (site, 100000000);
  vm->clock_rate = (int64_t)steps_random (site, 1000) - 500;
  steps_steward_start (site, slot);
}

static void
leave (StepsSite *site, unsigned slot)
{
  if (site->vms[slot].state == NULL || cluster_state_leaving (site->vms[slot].state))
    return;
  site->counts.members_left++;
  site->vms[slot].gate_until = CLUSTER_NEVER;
  cluster_state_leave (site->vms[slot].state);
}

/* With few members one wrong vote has more weight, so each phase begins with another number of
   VMs. */
static void
set_vm_count (StepsSite *site, unsigned count)
{
  unsigned up = 0;

  for (unsigned i = 0; i < STEPS_SLOTS; i++)
    up += site->vms[i].up;
  for (; up > count; up--)
    {
      unsigned slot = (unsigned)steps_random (site, STEPS_SLOTS);
      while (!site->vms[slot].up)
        slot = (slot + 1) % STEPS_SLOTS;
      lose_vm (site, slot);
    }
  for (; up < count; up++)
    {
      unsigned slot = (unsigned)steps_random (site, STEPS_SLOTS);
      while (site->vms[slot].up)
        slot = (slot + 1) % STEPS_SLOTS;
      start_vm (site, slot);
    }
}

void
steps_recovery_begin (StepsSite *site)
{
  StepsConditions *conditions = &site->conditions;

  *conditions
      = (StepsConditions){ .delay_max = 5, .table_up = true, .table_reachable = { true, true } };
  site->fault_free = true;
  for (unsigned i = 0; i < STEPS_SLOTS; i++)
    {
      StepsVm *vm = &site->vms[i];
      vm->frozen_until = 0;
      if (vm->up && vm->state != NULL && cluster_state_leaving (vm->state))
        lose_vm (site, i);
      else if (vm->up && vm->state == NULL)
        steps_steward_start (site, i);
    }
  set_vm_count (site, 3 + (unsigned)steps_random (site, 6));
}

void
steps_fault (StepsSite *site)
{
  const unsigned long *weights = site->fault_mix->weights;
  unsigned long sum = 0;
  int fault = 0;

  if (site->fault_free || steps_random (site, site->fault_mix->every) != 0)
    return;
  for (int i = 0; i < FAULT_COUNT; i++)
    sum += weights[i];
  for (unsigned long left = steps_random (site, sum); left >= weights[fault]; fault++)
    left -= weights[fault];
  faults[fault](site, (unsigned)steps_random (site, STEPS_SLOTS));
}
