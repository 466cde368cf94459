#include "steward_recover.h"
#include "bill_recover.h"
#include "cluster_view.h"
#include "steward_cluster.h"
#include "util_clock.h"

/* Interval between recoveries from the object store; each costs a scan of the gates' rows. */
#define RECOVERY_INTERVAL_MS 60000
/* Delay between attempts at a graceful stop while the table service is unavailable. */
#define LEAVE_RETRY_MS 100

/* The cluster's lock is held. */
static bool
all_alive (const Steward *s, int64_t now)
{
  const ClusterView *view = cluster_state_view (s->cluster.state);
  int64_t age_ms;

  for (size_t i = 0; i < view->count; i++)
    {
      StewardMemberState state = steward_cluster_member_state (s, &view->members[i], now, &age_ms);
      if (state != STEWARD_MEMBER_SELF && state != STEWARD_MEMBER_ALIVE)
        return false;
    }
  return view->count > 0;
}

/* The VM of a steward that is silent but still registered may still run, and its gate with it: a
   steward stays registered until the platform's list lacks its VM or another takes its slot
   (steward_removal.h). The cluster's lock is held. */
static bool
vm_may_run (const Steward *s, const StewardRemoteGate *entry, int64_t now)
{
  const ClusterView *view = cluster_state_view (s->cluster.state);
  int index = cluster_view_find (view, entry->steward);
  int64_t age_ms;

  if (now - entry->reported_at <= STEWARD_GATE_TERMINATED_MS)
    return true;
  /* The steward was replaced; its successor reports the gate if it still runs. */
  if (index < 0)
    return !all_alive (s, now);
  return steward_cluster_member_state (s, &view->members[index], now, &age_ms)
         != STEWARD_MEMBER_ALIVE;
}

bool
steward_recover_gate_alive (Steward *s, uint64_t gate, int64_t now)
{
  const StewardRemoteGate *entry;
  uint64_t own[STEWARD_GATES_MAX];
  size_t count = steward_gates_alive (&s->gates, now, own, STEWARD_GATES_MAX);
  bool alive;

  for (size_t i = 0; i < count; i++)
    if (own[i] == gate)
      return true;
  pthread_mutex_lock (&s->cluster.lock);
  entry = steward_remote_gates_find (&s->remote_gates, gate);
  if (entry != NULL)
    alive = vm_may_run (s, entry, now);
  else
    alive = now - s->started_at <= STEWARD_GATE_TERMINATED_MS || !all_alive (s, now);
  pthread_mutex_unlock (&s->cluster.lock);
  return alive;
}

static bool
gate_alive (void *context, uint64_t gate)
{
  return steward_recover_gate_alive (context, gate, clock_boot_ms ());
}

void
steward_recover (Steward *s, int64_t now)
{
  BillRecovery recovery = { 0 };
  size_t written = 0;

  do
    if (bill_replica_flush (s->bills, s->platform, gate_alive, s, now, &written, NULL) != STATUS_OK)
      return;
  while (written > 0);
  if (now < s->next_recovery_at || !steward_cluster_is_first_alive (s, now))
    return;
  s->next_recovery_at = now + RECOVERY_INTERVAL_MS;
  (void)bill_recover_objects (s->platform, gate_alive, s, &recovery, NULL);
}

static bool
no_gate_alive (void *context, uint64_t gate)
{
  (void)context;
  (void)gate;
  return false;
}

/* Copies are written although their gate may still run. If they waited STEWARD_GATE_TERMINATED_MS,
   a VM could fail and the two VMs that hold its copies be replaced within that minute, and its
   answers would never be billed. A record that its gate writes as well is stored once, since it is
   inserted only if absent. */
size_t
steward_recover_at_stop (Steward *s, int64_t timeout_ms)
{
  int64_t end = clock_boot_ms () + timeout_ms;
  BillReplicaSize size;

  for (;;)
    {
      size_t written = 0;
      StatusCode code = bill_replica_flush (s->bills, s->platform, no_gate_alive, NULL,
                                            clock_boot_ms (), &written, NULL);

      bill_replica_size (s->bills, &size);
      if (size.count == 0 || clock_boot_ms () >= end)
        return size.count;
      if (code != STATUS_OK || written == 0)
        clock_sleep_ms (LEAVE_RETRY_MS);
    }
}
