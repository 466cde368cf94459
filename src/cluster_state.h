/**
 * The state of one steward in the cluster protocol: the number that it applies, its view, and the
 * progress of the other members, merged from heartbeats. A heartbeat is an ask (request) or the
 * answer to one; an answer also relays news, which is the progress of third members as its sender
 * has it. docs/design/configuration.md shows why the merge is correct.
 *
 * What is known of an incarnation is (number, view, as_of) and states two bounds:
 * - a lower bound from now on: it has applied `number` and has seen `view`;
 * - an upper bound at the time as_of: by then it had applied no number above `number` and seen no
 *   view newer than `view`.
 *
 * Number and view of a running incarnation never decrease, so merging by the maximum of each of the
 * three values keeps both bounds, in any order and with duplicates.
 *
 * In comments of cluster_*.h and cluster_*.c "we" and "our" mean the steward whose state it is.
 *
 * Not thread-safe: the caller holds its own lock around each call.
 */
#ifndef CLUSTER_STATE_H
#define CLUSTER_STATE_H

#include "cluster.h"

/** age_ms of news that is a lower bound only. */
#define CLUSTER_AGE_UNKNOWN UINT32_MAX

/** Upper bound on the outstanding asks; a new ask replaces the one with the same nonce modulo this
 *  number. */
#define CLUSTER_ASKS_MAX 2048

/** The clocks of two VMs drift apart by at most one part in this many. */
#define CLUSTER_DRIFT_PARTS 1000

/** Packed ages (cluster_heartbeat_pack) are counted in units of this, rounded up. */
#define CLUSTER_AGE_UNIT_MS 32
/** Packed age of a member whose news is not sent in packed form. */
#define CLUSTER_AGE_SKIP 255

/** What a heartbeat says of a member other than its sender: rpc_news. */
typedef struct
{
  uint64_t incarnation;
  int64_t number;  /**< newest configuration number applied */
  int64_t view;    /**< newest view number seen */
  uint32_t age_ms; /**< time since as_of, or CLUSTER_AGE_UNKNOWN */
} ClusterNews;

/** A heartbeat message, ask or answer: rpc_heartbeat without the brakes. */
typedef struct
{
  uint64_t nonce;       /**< of the ask; the answer repeats it */
  uint64_t incarnation; /**< of the sender */
  int64_t view;         /**< newest view number that the sender has seen */
  int64_t number;       /**< newest configuration number that the sender applies */
  int64_t accepted;     /**< newest accepted number that the sender has seen */
  int64_t ages_view;    /**< 0: no packed ages */
  size_t ages_count;
  uint8_t ages[CLUSTER_MEMBERS_MAX]; /**< indexed as the members of view ages_view */
  size_t news_count;
  ClusterNews news[CLUSTER_MEMBERS_MAX];
} ClusterHeartbeat;

/** What is known of one incarnation: see the bounds at the top. */
typedef struct
{
  uint64_t incarnation;
  int64_t number;
  int64_t view;
  int64_t as_of; /**< on our own clock, or CLUSTER_NEVER */
} ClusterProgress;

typedef struct ClusterState ClusterState;

/** incarnation is our own, not 0. grant_ms is how long a grant lasts after its proof. Freed with
 *  cluster_state_free. */
ClusterState *cluster_state_new (uint64_t incarnation, int64_t grant_ms);
void cluster_state_free (ClusterState *s);

uint64_t cluster_state_incarnation (const ClusterState *s);
int64_t cluster_state_grant_ms (const ClusterState *s);

/** Fills an ask and records its nonce with now as the send time. To be called directly before the
 *  send, with a new random nonce for each ask. */
void cluster_state_make_ask (ClusterState *s, uint64_t nonce, int64_t now, ClusterHeartbeat *ask);

/** Merges an ask, as lower bounds only, since it can be arbitrarily old, and fills the answer.
 *  False after cluster_state_leave: no answer may be sent then. */
bool cluster_state_handle_ask (ClusterState *s,
                               const ClusterHeartbeat *ask,
                               int64_t now,
                               ClusterHeartbeat *answer);

/** Merges an answer; its ages count back from the send time of our ask. False if there is no
 *  outstanding ask with its nonce; the answer is then merged as lower bounds only. */
bool cluster_state_handle_answer (ClusterState *s, const ClusterHeartbeat *answer, int64_t now);

/**
 * Packs the news of an answer that was just filled. For members of our view with the same number
 * and view as ours only the age is sent, one byte each: 360 members take 360 bytes instead of 10
 * KB. Only for a transport that carries the packed ages; without this call all news is in `news`.
 */
void cluster_heartbeat_pack (const ClusterState *s, ClusterHeartbeat *h);

/** Records that we now apply this durable number. False, without effect, if it isn't higher. */
bool cluster_state_apply (ClusterState *s, int64_t number);
int64_t cluster_state_number (const ClusterState *s);

/** Newest durable number seen, from the table or from peers. The caller fetches it if it is
 *  above cluster_state_number. */
int64_t cluster_state_wanted_number (const ClusterState *s);

/** Merges the result of a read of the head row that was sent at sent_at. */
void cluster_state_table_read (ClusterState *s, int64_t sent_at, int64_t head, int64_t accepted);
int64_t cluster_state_accepted (const ClusterState *s);

/** Makes view our own. It was read from the table or from a peer that has adopted it; a view whose
 *  write is not known to be committed must not be adopted. False if it is not newer than ours, or
 *  if our applied number is below view->head: the caller applies that first and tries again. Its
 *  number counts as seen in any case. */
bool cluster_state_adopt_view (ClusterState *s, const ClusterView *view);
/** The view adopted last; its number is 0 if there is none. */
const ClusterView *cluster_state_view (const ClusterState *s);
/** Newest view number seen. The caller fetches it if it is above that of cluster_state_view. */
int64_t cluster_state_wanted_view (const ClusterState *s);

/** What is known of an incarnation, or of our own; NULL if nothing is. Valid until the next call
 *  that changes the state. */
const ClusterProgress *cluster_state_progress (const ClusterState *s, uint64_t incarnation);

/** Begins a graceful stop: no answers and no grant from now on, so that our removal from the view
 *  counts as a proof of death. To be called before the removal's transaction is sent. */
void cluster_state_leave (ClusterState *s);
bool cluster_state_leaving (const ClusterState *s);

#endif
