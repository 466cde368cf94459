#include "cluster_lease.h"
#include "cluster_state.h"
#include "util_assert.h"
#include <stdio.h>
#include <string.h>

/* How far two VMs' clocks may drift apart within ms, and 1 ms for truncation. */
static int64_t
drift_over (int64_t ms)
{
  return (ms + CLUSTER_DRIFT_PARTS - 1) / CLUSTER_DRIFT_PARTS + 1;
}

void
cluster_lease_init (ClusterLease *l, const ClusterLeaseOptions *options)
{
  INVARIANT (options->renew_ms > 0 && 2 * options->renew_ms < options->lease_ms
                 && options->flight_ms >= 0 && 2 * options->flight_ms < options->lease_ms,
             "lease_ms=\"%lld\" renew_ms=\"%lld\" flight_ms=\"%lld\"", (long long)options->lease_ms,
             (long long)options->renew_ms, (long long)options->flight_ms);
  *l = (ClusterLease){ .options = *options,
                       .next_io_at = CLUSTER_NEVER,
                       .held_from = CLUSTER_NEVER };
  snprintf (l->holder, sizeof l->holder, "%s", options->holder);
  l->options.holder = NULL;
}

static bool
is_ours (const ClusterLease *l, const ClusterLeaseRow *row)
{
  return row->version > 0 && strcmp (row->holder, l->holder) == 0;
}

/* When the lease in the row last seen has certainly expired and the last order under it has
   arrived. The holder counts from the send of the write of row.version, which was before we first
   saw it; so counting from row_first_seen is safe. A released row has lease_ms 0. */
static int64_t
expires_at (const ClusterLease *l)
{
  int64_t wait = l->row.lease_ms + l->options.flight_ms;

  if (l->row.version == 0)
    return CLUSTER_NEVER;
  return l->row_first_seen + wait + drift_over (wait);
}

static ClusterLeaseStep
prepare_write (ClusterLease *l, int64_t fence, ClusterLeaseRow *row)
{
  *row = (ClusterLeaseRow){ .fence = fence,
                            .lease_ms = l->options.lease_ms,
                            .version = l->row.version };
  memcpy (row->holder, l->holder, sizeof row->holder);
  if (!l->attempted || l->attempt.version != row->version)
    {
      l->attempted = false;
      l->attempt = *row;
    }
  return CLUSTER_LEASE_WRITE;
}

ClusterLeaseStep
cluster_lease_next (ClusterLease *l, int64_t now, ClusterLeaseRow *row)
{
  if (l->released || now < l->next_io_at)
    return CLUSTER_LEASE_IDLE;
  if (!l->row_known || l->outcome_unknown)
    return CLUSTER_LEASE_READ;
  if (l->held)
    return now >= l->held_from + l->options.renew_ms ? prepare_write (l, l->row.fence, row)
                                                     : CLUSTER_LEASE_IDLE;
  if (now >= expires_at (l))
    return prepare_write (l, l->row.fence + 1, row);
  return CLUSTER_LEASE_READ;
}

/* Stores the row read. If it has our name and the version after the one that our write checked, the
   write took effect although its reply was lost. The lease then counts from the first send of that
   write, because any of its copies may be the one that took effect. */
static void
accept_row (ClusterLease *l, int64_t received_at, const ClusterLeaseRow *row)
{
  if (l->row_known && row->version == l->row.version)
    return;
  INVARIANT (!l->row_known || row->fence >= l->row.fence, "fence=\"%lld\" before=\"%lld\"",
             (long long)row->fence, (long long)l->row.fence);
  bool ours = l->attempted && is_ours (l, row) && row->version == l->attempt.version + 1
              && row->fence == l->attempt.fence;
  l->row = *row;
  l->row_known = true;
  l->row_first_seen = received_at;
  l->held = ours;
  l->held_from = ours ? l->attempt_sent : CLUSTER_NEVER;
  l->attempted = false;
}

void
cluster_lease_read (ClusterLease *l,
                    int64_t sent_at,
                    int64_t received_at,
                    const ClusterLeaseRow *row)
{
  l->next_io_at = sent_at + l->options.read_ms;
  /* Versions only rise: a reply with a lower one arrived after a newer reply. */
  if (l->row_known && row->version < l->row.version)
    return;
  accept_row (l, received_at, row);
  l->outcome_unknown = false;
  if (l->held)
    l->next_io_at = CLUSTER_NEVER;
}

void
cluster_lease_read_failed (ClusterLease *l, int64_t sent_at)
{
  l->next_io_at = sent_at + l->options.read_ms;
}

static void
write_took_effect (ClusterLease *l, int64_t sent_at, int64_t version)
{
  INVARIANT (version == l->attempt.version + 1, "version=\"%lld\" expected=\"%lld\"",
             (long long)version, (long long)l->attempt.version + 1);
  l->row = l->attempt;
  l->row.version = version;
  l->row_known = true;
  l->row_first_seen = sent_at;
  l->held = !l->released;
  l->held_from = sent_at;
  l->attempted = false;
  l->next_io_at = CLUSTER_NEVER;
}

void
cluster_lease_written (ClusterLease *l, int64_t sent_at, StatusCode code, int64_t version)
{
  switch (code)
    {
    case STATUS_OK:
      write_took_effect (l, sent_at, version);
      return;
    case STATUS_CONFLICT:
      l->outcome_unknown = true;
      l->next_io_at = CLUSTER_NEVER;
      return;
    case STATUS_UNAVAILABLE:
    case STATUS_INVALID:
    case STATUS_DENIED:
    case STATUS_FULL:
      l->next_io_at = sent_at + l->options.read_ms;
      return;
    default:
      if (!l->attempted)
        l->attempt_sent = sent_at;
      l->attempted = true;
      l->outcome_unknown = true;
      l->next_io_at = CLUSTER_NEVER;
    }
}

int64_t
cluster_lease_left (const ClusterLease *l, int64_t now)
{
  if (!l->held || l->released)
    return 0;
  int64_t lease = l->options.lease_ms - drift_over (l->options.lease_ms);
  int64_t until = l->held_from + lease - l->options.flight_ms;
  return until > now ? until - now : 0;
}

bool
cluster_lease_may_order (const ClusterLease *l, int64_t now)
{
  return cluster_lease_left (l, now) > 0;
}

int64_t
cluster_lease_fence (const ClusterLease *l, int64_t now)
{
  return cluster_lease_may_order (l, now) ? l->row.fence : 0;
}

bool
cluster_lease_release (ClusterLease *l, ClusterLeaseRow *row)
{
  bool held = l->held;

  l->released = true;
  if (!held)
    return false;
  *row = l->row;
  row->holder[0] = '\0';
  row->lease_ms = 0;
  return true;
}
