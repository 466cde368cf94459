/**
 * What one steward knows: its own applied number, its view, and news of the other members, merged
 * from asks and answers. See docs/design/configuration.md for the argument that the merge is sound.
 *
 * Each piece of news about an incarnation holds two facts. It is a lower bound from now on: the
 * incarnation has applied `number` and has heard of `view`. And it is an upper bound at the as-of
 * time: at that time the incarnation had applied no more than `number` and heard of no view newer
 * than `view`. Both counts only rise while an incarnation lives, so a merge by maximum of each of
 * the three parts keeps both facts, in any order, with any repetition.
 *
 * The state is not locked: the caller holds its own lock around each call.
 */
#ifndef CLUSTER_STATE_H
#define CLUSTER_STATE_H

#include "cluster.h"

/** age_ms of news that is only a lower bound. */
#define CLUSTER_AGE_UNKNOWN UINT32_MAX

/** Asks whose answers are still awaited; an older one is forgotten when there are more. */
#define CLUSTER_ASKS_MAX 2048

/** Clocks of different VMs run apart by at most one part in this many. */
#define CLUSTER_DRIFT_PARTS 1000

/** Packed ages (cluster_heartbeat_pack) are counted in units of this, rounded up. */
#define CLUSTER_AGE_UNIT_MS 32
/** Packed age of a member that is not told of in packed form. */
#define CLUSTER_AGE_SKIP 255

/** What is told of one incarnation: rpc_news. */
typedef struct
{
  uint64_t incarnation;
  int64_t number;  /**< newest configuration number applied */
  int64_t view;    /**< newest view number heard of */
  uint32_t age_ms; /**< since this was certainly an upper bound, or CLUSTER_AGE_UNKNOWN */
} ClusterNews;

/** An ask, or the answer to it: rpc_heartbeat without the brakes. */
typedef struct
{
  uint64_t nonce;       /**< of the ask; the answer repeats it */
  uint64_t incarnation; /**< of the sender */
  int64_t view;         /**< newest view number that the sender has heard of */
  int64_t number;       /**< newest configuration number that the sender applies */
  int64_t accepted;     /**< newest accepted number that the sender knows */
  int64_t ages_view;    /**< 0: no packed ages */
  size_t ages_count;
  uint8_t ages[CLUSTER_MEMBERS_MAX]; /**< by index of the member in view ages_view */
  size_t news_count;
  ClusterNews news[CLUSTER_MEMBERS_MAX];
} ClusterHeartbeat;

/** What is known of one incarnation. */
typedef struct
{
  uint64_t incarnation;
  int64_t number;
  int64_t view;
  int64_t as_of; /**< on our own clock, or CLUSTER_NEVER */
} ClusterProgress;

typedef struct ClusterState ClusterState;

/** incarnation is our own, not 0. grant_ms: how long a proof of freshness lasts. Freed with
 *  cluster_state_free. */
ClusterState *cluster_state_new (uint64_t incarnation, int64_t grant_ms);
void cluster_state_free (ClusterState *s);

uint64_t cluster_state_incarnation (const ClusterState *s);
int64_t cluster_state_grant_ms (const ClusterState *s);

/** Fills an ask and remembers its nonce with now as the send time. Call it directly before the
 *  send, one nonce (random, never used before) for each ask. */
void cluster_state_make_ask (ClusterState *s, uint64_t nonce, int64_t now, ClusterHeartbeat *ask);

/** Merges what an ask tells, as lower bounds only (an ask can be arbitrarily old), and fills the
 *  answer. False once we are leaving: send no answer then. */
bool cluster_state_handle_ask (ClusterState *s,
                               const ClusterHeartbeat *ask,
                               int64_t now,
                               ClusterHeartbeat *answer);

/** Merges an answer. Its ages count from the send time of our ask. False if the nonce is unknown or
 *  too old; the answer is then taken as lower bounds only. */
bool cluster_state_handle_answer (ClusterState *s, const ClusterHeartbeat *answer, int64_t now);

/**
 * Packs the news of an answer, just filled: of members of our view that apply the same number and
 * know the same view as we do, only the age is told, in one byte each; 360 members take 360 bytes
 * in place of 10 KB. Only for a transport that carries the packed ages; without a call there are
 * none, and all news is in `news`.
 */
void cluster_heartbeat_pack (const ClusterState *s, ClusterHeartbeat *h);

/** Our configuration is now this durable number. False (nothing done) if it isn't higher. */
bool cluster_state_apply (ClusterState *s, int64_t number);
int64_t cluster_state_number (const ClusterState *s);

/** Newest durable number heard of from the table or from peers: fetch it if it is above
 *  cluster_state_number. */
int64_t cluster_state_wanted_number (const ClusterState *s);

/** A read of the head row that was sent at sent_at gave these. */
void cluster_state_table_read (ClusterState *s, int64_t sent_at, int64_t head, int64_t accepted);
int64_t cluster_state_accepted (const ClusterState *s);

/** Takes a view over, read from the table or from a peer that has taken it over; never one whose
 *  write is not known to be committed. False if it is not newer than ours, or if our applied number
 *  is below view->head: apply that first, and try again. Its number counts as heard of either way.
 */
bool cluster_state_adopt_view (ClusterState *s, const ClusterView *view);
/** The view taken over last; its number is 0 if there is none. */
const ClusterView *cluster_state_view (const ClusterState *s);
/** Newest view number heard of: fetch it if it is above that of cluster_state_view. */
int64_t cluster_state_wanted_view (const ClusterState *s);

/** What is known of an incarnation, our own included (as of now); NULL if nothing is. The pointer
 * is valid until the next call that changes the state. */
const ClusterProgress *cluster_state_progress (const ClusterState *s, uint64_t incarnation);

/** A planned stop begins: from now on no answer and no grant, so that our own removal from the
 *  view is as good as a proof of death. Call it before the removal's transaction is sent. */
void cluster_state_leave (ClusterState *s);
bool cluster_state_leaving (const ClusterState *s);

#endif
