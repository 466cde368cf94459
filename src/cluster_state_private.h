/**
 * Definition of ClusterState, for the cluster_*.c files only.
 */
#ifndef CLUSTER_STATE_PRIVATE_H
#define CLUSTER_STATE_PRIVATE_H

#include "cluster_progress.h"
#include "cluster_state.h"

/** as_of of our own entry: our own state is current at any time. */
#define CLUSTER_ALWAYS INT64_MAX

typedef struct
{
  uint64_t nonce; /**< 0: empty */
  int64_t sent_at;
} ClusterAsk;

typedef struct
{
  int64_t sent_at; /**< CLUSTER_NEVER: none */
  int64_t head;
} ClusterTableRead;

struct ClusterState
{
  uint64_t incarnation;
  int64_t grant_ms;
  bool leaving;
  int64_t wanted_number; /**< newest durable number seen */
  int64_t accepted;      /**< newest accepted number seen */
  int64_t table_proof;   /**< send time of the newest head read without a number above ours */
  ClusterTableRead pending_read; /**< newest head read with a number above ours, not yet applied */
  ClusterView view;
  size_t dropped_count;
  uint64_t dropped[CLUSTER_MEMBERS_MAX]; /**< in view.previous, but not in view.members */
  ClusterAsk asks[CLUSTER_ASKS_MAX];     /**< indexed by nonce modulo CLUSTER_ASKS_MAX */
  ClusterProgressTable progress; /**< includes our own entry, whose as_of is CLUSTER_ALWAYS */
};

/** Our own entry: the number that we apply and the newest view that we have seen. */
const ClusterProgress *cluster_state_own (const ClusterState *s);

/** Merges what a message says of one incarnation; as_of is on our clock, or CLUSTER_NEVER for a
 *  lower bound only. */
void cluster_state_merge (ClusterState *s,
                          uint64_t incarnation,
                          int64_t number,
                          int64_t view,
                          int64_t as_of);

#endif
