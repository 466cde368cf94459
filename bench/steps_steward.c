#include "cluster_accept.h"
#include "cluster_view.h"
#include "steps.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>

int64_t
steps_clock (const StepsSite *site, unsigned slot)
{
  const StepsVm *vm = &site->vms[slot];

  return vm->clock_offset + site->now + site->now * vm->clock_rate / 1000000;
}

bool
steps_is_running (const StepsSite *site, unsigned slot)
{
  const StepsVm *vm = &site->vms[slot];

  return vm->state != NULL && vm->frozen_until <= site->now;
}

void
steps_steward_start (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];

  vm->state = cluster_state_new (site->next_incarnation++, STEPS_GRANT_MS);
  vm->op_in_flight = false;
  vm->has_rows = false;
  vm->last_number = 0;
  vm->last_accepted = 0;
}

void
steps_steward_stop (StepsSite *site, unsigned slot)
{
  cluster_state_free (site->vms[slot].state);
  site->vms[slot].state = NULL;
}

static void
ask (StepsSite *site, unsigned slot)
{
  ClusterHeartbeat *h = memory_alloc (sizeof *h);
  unsigned to = (unsigned)steps_random (site, STEPS_SLOTS);

  if (to != slot)
    {
      cluster_state_make_ask (site->vms[slot].state, steps_random (site, 0x7ffffffe) + 1,
                              steps_clock (site, slot), h);
      steps_send (site, slot, to, false, h);
    }
  free (h);
}

/* Fetches the number and the view from a random peer: takes no time, or fails. */
static void
fetch (StepsSite *site, unsigned slot)
{
  unsigned from = (unsigned)steps_random (site, STEPS_SLOTS);
  ClusterState *s = site->vms[slot].state;

  if (from == slot || !steps_is_running (site, from) || !steps_reaches (site, slot, from))
    return;
  if (cluster_state_wanted_number (s) > cluster_state_number (s))
    cluster_state_apply (s, cluster_state_number (site->vms[from].state));
  if (cluster_state_wanted_view (s) > cluster_state_view (s)->number)
    cluster_state_adopt_view (s, cluster_state_view (site->vms[from].state));
}

static void
send_op (StepsSite *site, unsigned slot, StepsOpKind kind, int64_t number, const ClusterView *view)
{
  StepsOp *op = steps_table_free_op (site);

  if (op == NULL)
    return;
  op->kind = kind;
  op->number = number;
  if (kind != STEPS_READ)
    op->rows = site->vms[slot].rows;
  if (view != NULL)
    op->rows.view = *view;
  steps_table_send (site, slot, op);
}

static ClusterMember
member_of (const StepsSite *site, unsigned slot)
{
  ClusterMember m = { .port = STEPS_PORT + (int)slot };

  m.incarnation = cluster_state_incarnation (site->vms[slot].state);
  snprintf (m.vm, sizeof m.vm, "vm-%u", slot);
  snprintf (m.address, sizeof m.address, "127.0.0.1");
  return m;
}

/* Finds the members whose VMs have been missing from the platform's list for longer than its
   lag. */
static size_t
find_lost_members (const StepsSite *site, const ClusterView *row, uint64_t *lost)
{
  size_t count = 0;

  for (size_t i = 0; i < row->count; i++)
    {
      const StepsVm *vm = &site->vms[row->members[i].port - STEPS_PORT];
      if (!vm->up && vm->lost_at + STEPS_LIST_LAG_MS < site->now)
        lost[count++] = row->members[i].incarnation;
    }
  return count;
}

/* The next view row that this steward should write, if any. */
static bool
next_view (const StepsSite *site, unsigned slot, ClusterView *out)
{
  const StepsVm *vm = &site->vms[slot];
  const ClusterView *row = &vm->rows.view;
  ClusterMember self = member_of (site, slot);
  uint64_t lost[CLUSTER_MEMBERS_MAX];

  if (cluster_state_leaving (vm->state))
    return cluster_view_remove (row, &self.incarnation, 1, vm->rows.head, out);
  if (cluster_view_register (row, &self, vm->rows.head, out))
    return true;
  if (cluster_view_establish (row, vm->state, vm->rows.head, out))
    return true;
  size_t count = find_lost_members (site, row, lost);
  return count > 0 && cluster_view_remove (row, lost, count, vm->rows.head, out);
}

static void
use_table (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];
  ClusterView *view = memory_alloc (sizeof *view);
  int64_t number = 0;

  if (vm->has_rows)
    number = cluster_accept_number (vm->state, &vm->rows.view, vm->rows.head, vm->rows.accepted);
  if (number > 0 && steps_random (site, 2) == 0)
    send_op (site, slot, STEPS_ACCEPT, number, NULL);
  else if (vm->has_rows && steps_random (site, 2) == 0 && next_view (site, slot, view))
    send_op (site, slot, STEPS_VIEW, 0, view);
  else
    send_op (site, slot, STEPS_READ, 0, NULL);
  /* Rows are used for one write only: after it they are out of date. */
  vm->has_rows = false;
  free (view);
}

void
steps_steward_submit (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];

  if (vm->op_in_flight || !vm->has_rows || cluster_state_leaving (vm->state))
    return;
  send_op (site, slot, STEPS_SUBMIT, 0, NULL);
  vm->has_rows = false;
}

static void
merge_read_rows (StepsSite *site, StepsVm *vm, const StepsOp *op)
{
  vm->rows = op->rows;
  vm->has_rows = true;
  cluster_state_table_read (vm->state, op->sent_at, op->rows.head, op->rows.accepted);
  /* The configuration document needs a second read, which may fail. */
  if (site->fault_free || steps_random (site, 4) != 0)
    cluster_state_apply (vm->state, op->rows.head);
  if (op->rows.view.number > 0)
    cluster_state_adopt_view (vm->state, &op->rows.view);
}

void
steps_steward_op_done (StepsSite *site, const StepsOp *op)
{
  StepsVm *vm = &site->vms[op->slot];

  if (vm->state == NULL || cluster_state_incarnation (vm->state) != op->incarnation)
    return;
  vm->op_in_flight = false;
  if (op->answer_lost || !op->committed)
    return;
  if (op->kind == STEPS_READ)
    merge_read_rows (site, vm, op);
  if (op->kind == STEPS_SUBMIT)
    cluster_state_apply (vm->state, op->number);
  if (op->kind == STEPS_VIEW)
    cluster_state_adopt_view (vm->state, &op->rows.view);
}

/* The gate requests a grant from its steward. It counts the grant from its own send time, because
   either process may be paused between the steward's clock reading and the receipt of the reply. */
static void
renew_gate (StepsSite *site, unsigned slot, int64_t asked_at)
{
  StepsVm *vm = &site->vms[slot];
  int64_t now = steps_clock (site, slot);
  ClusterGrant grant = cluster_grant (vm->state, now);
  int64_t left = cluster_grant_left (&grant, now);

  site->counts.grants_by_table += grant.proof == CLUSTER_PROOF_TABLE;
  site->counts.grants_by_peers += grant.proof == CLUSTER_PROOF_PEERS;
  site->counts.refusals += left == 0;
  vm->gate_number = grant.number;
  vm->gate_until = left > 0 ? asked_at + left : CLUSTER_NEVER;
}

void
steps_steward_act (StepsSite *site, unsigned slot)
{
  StepsVm *vm = &site->vms[slot];

  switch (steps_random (site, 8))
    {
    case 0:
    case 1:
    case 2:
    case 3:
      ask (site, slot);
      return;
    case 4:
      fetch (site, slot);
      return;
    case 5:
    case 6:
      if (!vm->op_in_flight)
        use_table (site, slot);
      return;
    default:
      renew_gate (site, slot, steps_clock (site, slot));
    }
}
