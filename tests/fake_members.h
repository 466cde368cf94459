/**
 * Steward states and views for tests of the cluster protocol. The tests choose all times.
 */
#ifndef FAKE_MEMBERS_H
#define FAKE_MEMBERS_H

#include "cluster_state.h"

#define FAKE_GRANT_MS 4000

/** A state of that incarnation that applies number and has adopted view (NULL: none). */
ClusterState *fake_member_new (uint64_t incarnation, int64_t number, const ClusterView *view);

/** An established view; the member of incarnation i is at 10.0.0.i. */
ClusterView fake_view (int64_t number, int64_t head, const uint64_t *members, size_t count);
ClusterView fake_pending_view (int64_t number,
                               int64_t head,
                               const uint64_t *members,
                               size_t count,
                               const uint64_t *previous,
                               size_t previous_count);
/** A member as fake_view makes it, at the address of slot. */
ClusterMember fake_member (uint64_t incarnation, int slot);

/** Sends an ask at sent_at and its answer at answered_at; the answer is merged at once. Returns the
 *  result of cluster_state_handle_answer, or false if there was no answer. */
bool
fake_exchange (ClusterState *asker, ClusterState *answerer, int64_t sent_at, int64_t answered_at);

#endif
