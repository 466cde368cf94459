#include "cluster_grant.h"
#include "cluster_state_private.h"
#include "cluster_view.h"
#include "util_assert.h"
#include <stdlib.h>

/** Result of counting the votes of one set of members. */
typedef struct
{
  int64_t as_of; /**< newest time at which a majority supported the grant; CLUSTER_NEVER: none */
  size_t voters; /**< members that supported it within the last grant_ms */
  size_t needed;
} Quorum;

static int
compare_newest_first (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

/* A member that has applied a newer number or seen a newer view does not support our grant: its
   vote may have been counted to accept a patch that we have not applied. Any other member had not
   applied such a patch at its as_of time. */
static bool
supports (const ClusterState *s, const ClusterProgress *k)
{
  return k != NULL && k->as_of != CLUSTER_NEVER && k->number <= cluster_state_number (s)
         && k->view <= s->view.number;
}

static void
add_vote (const ClusterState *s, uint64_t incarnation, int64_t now, int64_t *times, size_t *count)
{
  const ClusterProgress *k = cluster_progress_find (&s->progress, incarnation);

  if (!supports (s, k))
    return;
  times[(*count)++] = k->as_of < now ? k->as_of : now;
}

static Quorum
quorum_of (const ClusterState *s, int64_t *times, size_t count, size_t members, int64_t now)
{
  Quorum q = { .as_of = CLUSTER_NEVER, .needed = cluster_majority (members) };

  qsort (times, count, sizeof *times, compare_newest_first);
  while (q.voters < count && times[q.voters] > now - s->grant_ms)
    q.voters++;
  if (q.needed > 0 && count >= q.needed)
    q.as_of = times[q.needed - 1];
  return q;
}

static Quorum
quorum_of_members (const ClusterState *s, int64_t now)
{
  int64_t times[CLUSTER_MEMBERS_MAX];
  size_t count = 0;

  for (size_t i = 0; i < s->view.count; i++)
    add_vote (s, s->view.members[i].incarnation, now, times, &count);
  return quorum_of (s, times, count, s->view.count, now);
}

static Quorum
quorum_of_previous (const ClusterState *s, int64_t now)
{
  int64_t times[CLUSTER_MEMBERS_MAX];
  size_t count = 0;

  for (size_t i = 0; i < s->view.previous_count; i++)
    add_vote (s, s->view.previous[i], now, times, &count);
  return quorum_of (s, times, count, s->view.previous_count, now);
}

/* Under a pending view either set may accept the next number: the previous members do now, and the
   new ones as soon as the view is established, which this steward may not see. So both majorities
   are needed. */
static Quorum
quorum_of_view (const ClusterState *s, int64_t now)
{
  Quorum members = quorum_of_members (s, now);

  if (s->view.established)
    return members;
  Quorum previous = quorum_of_previous (s, now);
  return previous.as_of < members.as_of ? previous : members;
}

ClusterGrant
cluster_grant (const ClusterState *s, int64_t now)
{
  ClusterGrant grant = { .until = CLUSTER_NEVER, .number = cluster_state_number (s) };

  if (s->view.number > 0)
    {
      Quorum q = quorum_of_view (s, now);
      grant.voters = q.voters;
      grant.needed = q.needed;
      if (q.as_of != CLUSTER_NEVER)
        {
          grant.until = q.as_of + s->grant_ms;
          grant.proof = CLUSTER_PROOF_PEERS;
        }
    }
  /* The caller may have read the clock before it took the lock on the state, so that a read sent by
     another thread in between is later than now. */
  int64_t read_at = s->table_proof < now ? s->table_proof : now;
  if (read_at != CLUSTER_NEVER && read_at + s->grant_ms >= grant.until)
    {
      grant.until = read_at + s->grant_ms;
      grant.proof = CLUSTER_PROOF_TABLE;
    }
  if (s->leaving)
    grant.until = CLUSTER_NEVER;
  if (grant.until <= now)
    grant.proof = CLUSTER_PROOF_NONE;
  INVARIANT (grant.until <= now + s->grant_ms, "until=\"%lld\" now=\"%lld\"",
             (long long)grant.until, (long long)now);
  return grant;
}

int64_t
cluster_grant_left (const ClusterGrant *grant, int64_t now)
{
  return grant->until > now ? grant->until - now : 0;
}

const char *
cluster_proof_name (ClusterProof proof)
{
  static const char *const names[] = {
    [CLUSTER_PROOF_NONE] = "none", [CLUSTER_PROOF_TABLE] = "table", [CLUSTER_PROOF_PEERS] = "peers"
  };

  return names[proof];
}
