#include "fake_members.h"
#include "util_assert.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>

#define FAKE_PORT 7000

static uint64_t next_nonce = 1;

ClusterState *
fake_member_new (uint64_t incarnation, int64_t number, const ClusterView *view)
{
  ClusterState *s = cluster_state_new (incarnation, FAKE_GRANT_MS);

  cluster_state_apply (s, number);
  if (view != NULL)
    INVARIANT (cluster_state_adopt_view (s, view), "number=\"%lld\"", (long long)number);
  return s;
}

ClusterMember
fake_member (uint64_t incarnation, int slot)
{
  ClusterMember m = { .port = FAKE_PORT, .incarnation = incarnation };

  snprintf (m.vm, sizeof m.vm, "vm-%d", slot);
  snprintf (m.address, sizeof m.address, "10.0.0.%d", slot);
  snprintf (m.failure_domain, sizeof m.failure_domain, "fd-%d", slot % 3);
  return m;
}

ClusterView
fake_view (int64_t number, int64_t head, const uint64_t *members, size_t count)
{
  ClusterView v = { .number = number, .head = head, .established = true, .count = count };

  for (size_t i = 0; i < count; i++)
    v.members[i] = fake_member (members[i], (int)members[i]);
  return v;
}

ClusterView
fake_pending_view (int64_t number,
                   int64_t head,
                   const uint64_t *members,
                   size_t count,
                   const uint64_t *previous,
                   size_t previous_count)
{
  ClusterView v = fake_view (number, head, members, count);

  v.established = false;
  v.previous_count = previous_count;
  for (size_t i = 0; i < previous_count; i++)
    v.previous[i] = previous[i];
  return v;
}

bool
fake_exchange (ClusterState *asker, ClusterState *answerer, int64_t sent_at, int64_t answered_at)
{
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);

  cluster_state_make_ask (asker, next_nonce++, sent_at, ask);
  bool merged = cluster_state_handle_ask (answerer, ask, answered_at, answer)
                && cluster_state_handle_answer (asker, answer, answered_at);
  free (ask);
  free (answer);
  return merged;
}
