/**
 * The parts of ClusterState, for the cluster_*.c files only.
 */
#ifndef CLUSTER_STATE_PRIVATE_H
#define CLUSTER_STATE_PRIVATE_H

#include "cluster_progress.h"
#include "cluster_state.h"

/** as_of of our own entry: what we know of ourselves is true at any now. */
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
  int64_t wanted_number;
  int64_t accepted;
  int64_t table_proof;    /**< send time of the newest read that showed nothing above our number */
  ClusterTableRead unmet; /**< newest read that showed a number above ours */
  ClusterView view;
  size_t dropped_count;
  uint64_t dropped[CLUSTER_MEMBERS_MAX]; /**< those of view.previous that are no members of it */
  ClusterAsk asks[CLUSTER_ASKS_MAX];     /**< by nonce modulo their number */
  ClusterProgressTable known;            /**< with our own entry, whose as_of is CLUSTER_ALWAYS */
};

/** Our own entry; its number and view are ours. */
const ClusterProgress *cluster_state_own (const ClusterState *s);

/** Merges one piece of news; as_of is on our clock, or CLUSTER_NEVER. */
void cluster_state_merge (ClusterState *s,
                          uint64_t incarnation,
                          int64_t number,
                          int64_t view,
                          int64_t as_of);

#endif
