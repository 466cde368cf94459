/**
 * Which version of a service a request runs on, and when a roll-out has succeeded or failed. Each
 * node decides by the same rule on the same news: the order with its row version, the status that
 * was written, the answers counted by all nodes. No I/O; the status is written by front_store.
 */
#ifndef FRONT_ROLLOUTS_H
#define FRONT_ROLLOUTS_H

#include "front_evidence.h"
#include "front_rollout_order.h"
#include "front_servers.h"
#include "front_sessions.h"
#include <urcu/list.h>

/** Incarnations of nodes of the own failure domain whose evidence is kept for one roll-out: the
 * target has 120 nodes a domain at most, half of which may be restarted meanwhile. */
#define ROLLOUT_PEERS_MAX   192
#define ROLLOUT_DOMAINS_MAX 16

/** A process of our failure domain and what it has counted itself. */
typedef struct
{
  uint64_t incarnation;
  FrontEvidence evidence;
} RolloutPeer;

/** Evidence of a whole failure domain: the most that any node has summed up for it. */
typedef struct
{
  uint32_t domain; /**< hash */
  FrontEvidence evidence;
} RolloutDomain;

/** What another node says of a roll-out. */
typedef struct
{
  bool is_bad;            /**< it has found the new version bad, or was told so */
  int64_t old_busy_ms;    /**< when a request on the old version was last known to run anywhere, on
                             our clock; 0: never */
  uint64_t peer;          /**< its incarnation if it is of our failure domain; 0: it is not */
  FrontEvidence evidence; /**< its own; read of neighbours only */
  uint32_t domain_count;
  const RolloutDomain *domains;
} RolloutUpdate;

/** One service's versions. */
typedef struct
{
  struct cds_list_head node;
  char service[ROLLOUT_TEXT_MAX];
  uint64_t service_hash;
  uint32_t own_domain;         /**< hash */
  char base[ROLLOUT_TEXT_MAX]; /**< version outside of a roll-out; "" until it is known */
  bool ordered;                /**< order holds one */
  RolloutOrder order;
  FrontRolloutState state;
  int64_t learned_ms;     /**< when the order was read here */
  int64_t started_ms;     /**< on our clock; may be before this process began */
  int64_t status_version; /**< row version of the status; 0: none written for this order */
  bool is_bad;            /**< found so here or at another node; holds though no status says so */
  bool has_verdict;       /**< verdict is to be written */
  FrontRolloutState verdict;
  int64_t verdict_ms;     /**< since when */
  unsigned servers;       /**< of the service, but for the new version's, when it was ordered */
  unsigned held_cursor;   /**< where the next list of held sessions begins */
  int64_t old_busy_ms;    /**< when a request on the old version was last known to run anywhere */
  FrontEvidence evidence; /**< our own */
  unsigned peer_count;
  RolloutPeer peers[ROLLOUT_PEERS_MAX];
  unsigned domain_count;
  RolloutDomain domains[ROLLOUT_DOMAINS_MAX];
} FrontRollout;

typedef struct FrontRollouts FrontRollouts;

/** sessions is borrowed; domain: hash of our failure domain. */
FrontRollouts *front_rollouts_new (FrontSessions *sessions, uint32_t domain);
void front_rollouts_free (FrontRollouts *rollouts);
/** The entry of a service, made if it isn't there. */
FrontRollout *front_rollouts_get (FrontRollouts *rollouts, const char *service);
struct cds_list_head *front_rollouts_list (FrontRollouts *rollouts);

/** An order was read; false if it is no news. servers tells how large the service is. */
bool front_rollouts_order (FrontRollouts *rollouts,
                           FrontServers *servers,
                           const RolloutOrder *order,
                           int64_t now_ms);
/** The order's row is gone. */
void front_rollouts_order_removed (FrontRollouts *rollouts, const char *service);
/** A status was read or written, or another node told it. A status older than the order is of an
 *  earlier one. started_ms 0: not known. True if it is news. */
bool front_rollouts_status (FrontRollout *rollout,
                            const char *target,
                            FrontRolloutState state,
                            int64_t row_version,
                            int64_t started_ms);
/** The version of the base is that of most servers; called once the whole list is known. */
void front_rollouts_find_base (FrontRollouts *rollouts, FrontServers *servers);
/** Version for a request of a session; one that no server has if none may be used. */
const char *front_rollouts_choose (FrontRollouts *rollouts,
                                   FrontServers *servers,
                                   const char *service,
                                   uint64_t session,
                                   int64_t now_ms);
/** Share of the sessions that begin on the new version now, 0 to 1. */
double front_rollout_share (const FrontRollout *rollout, int64_t now_ms);
/** True while a roll-out is running. */
bool front_rollout_is_running (const FrontRollout *rollout);
/** Sessions that run on the old version though new ones like them would begin on the new one: other
 *  nodes must know of them, as a session may come to any node. */
unsigned front_rollouts_held_sessions (const FrontRollouts *rollouts,
                                       FrontRollout *rollout,
                                       SessionUpdate *out,
                                       unsigned max,
                                       int64_t now_ms);
/** Another node holds this session on the old version. */
void front_rollouts_hold_session (FrontRollouts *rollouts,
                                  const FrontRollout *rollout,
                                  const SessionUpdate *update,
                                  int64_t now_ms);
/** News of another node about this order. */
void front_rollout_merge (FrontRollout *rollout, const RolloutUpdate *update);
/** Sums up our failure domain's evidence as far as it is known here. */
void front_rollout_sum_domain (FrontRollout *rollout);
/** Judges a running roll-out by all evidence and updates is_bad and verdict. A bad version gets no
 *  more work from here at once, whether or not the store can be told. */
void front_rollout_update_verdict (FrontRollout *rollout, int64_t now_ms);

#endif
