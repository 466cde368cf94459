/**
 * Decides which version of a service a request runs on, and when a roll-out has succeeded or
 * failed. All fronts apply the same rules to the same data: the order with its row version, the
 * stored status, and the answers counted by all fronts. No I/O; front_store writes the status.
 */
#ifndef FRONT_ROLLOUTS_H
#define FRONT_ROLLOUTS_H

#include "front_domain.h"
#include "front_evidence.h"
#include "front_pace.h"
#include "front_rollout_order.h"
#include "front_servers.h"
#include "front_sessions.h"
#include <urcu/list.h>

/** Maximum other fronts of this front's failure domain, by incarnation, whose evidence is kept for
 *  one roll-out: six times those of a domain at 2,000 fronts in six, as some restart meanwhile. */
#define ROLLOUT_PEERS_MAX 2048

/** Another front of the same failure domain, and what it has counted itself. */
typedef struct
{
  uint64_t incarnation;
  FrontEvidence evidence;
} RolloutPeer;

/** Evidence of a whole failure domain: the largest counts that any front has summed up for it. */
typedef struct
{
  uint32_t domain; /**< hash of its name */
  FrontEvidence evidence;
} RolloutDomain;

/** Another front's report on a roll-out. */
typedef struct
{
  bool is_bad;         /**< it found the new version bad, or got such a report */
  int64_t old_busy_ms; /**< when a request on the old version was last known to run anywhere, on
                          this front's clock; 0: never */
  uint64_t peer;       /**< its incarnation if it is in this front's failure domain; 0: it is not */
  FrontEvidence evidence; /**< its own counts; used only if peer is not 0 */
  uint32_t domain_count;
  const RolloutDomain *domains;
} RolloutUpdate;

/** The versions of one service. */
typedef struct
{
  struct cds_list_head node;
  char service[ROLLOUT_TEXT_MAX];
  uint64_t service_hash;
  uint32_t own_domain;         /**< hash of this front's failure domain's name */
  char base[ROLLOUT_TEXT_MAX]; /**< version outside a roll-out; "" until known */
  bool ordered;                /**< order is valid */
  RolloutOrder order;
  FrontRolloutState state;
  int64_t learned_ms;     /**< when this front read the order */
  int64_t started_ms;     /**< on this front's clock; may be before this process started */
  int64_t status_version; /**< row version of the status; 0: none written for this order */
  bool is_replaced;       /**< a status of a later order is known, which has not been read yet */
  RolloutStatus
      base_status; /**< newest one that named the base version, maybe of an earlier order */
  int64_t base_status_version; /**< its row version; 0: there is none */
  bool is_bad; /**< found bad by this front or another one, whether or not a status says so */
  EvidenceFinding finding; /**< what this front last found */
  bool has_verdict;        /**< verdict has to be written */
  FrontRolloutState verdict;
  int64_t verdict_ms; /**< when verdict was reached */
  int64_t logged_ms;  /**< when the evidence was last logged */
  bool logged_bad;    /**< it was logged since the version was found bad */
  unsigned servers;   /**< number of the service's servers when it was ordered, without those of the
                         new version */
  double running_sum; /**< this front's requests of the service in progress, summed over samples */
  unsigned running_samples;
  uint64_t canary_hash_max; /**< front_canary: the servers that get the new version's work */
  int64_t canary_chosen_ms; /**< when they were chosen; 0: not yet */
  EvidenceLoaded loaded;    /**< answers of these servers that are known from all fronts */
  unsigned held_cursor;     /**< start of the next list of held sessions */
  int64_t old_busy_ms;      /**< when a request on the old version was last known to run anywhere */
  FrontEvidence evidence;   /**< counted by this front */
  FrontPace pace;           /**< of the old version's streams at this front */
  unsigned peer_count;
  RolloutPeer *peers; /**< peer_count entries */
  unsigned domain_count;
  RolloutDomain domains[FRONT_DOMAINS_MAX];
} FrontRollout;

typedef struct FrontRollouts FrontRollouts;

/** sessions must outlive the object; domain: hash of this front's failure domain's name. */
FrontRollouts *front_rollouts_new (FrontSessions *sessions, uint32_t domain);
void front_rollouts_free (FrontRollouts *rollouts);
/** The entry of a service, created on first use. */
FrontRollout *front_rollouts_get (FrontRollouts *rollouts, const char *service);
/** All FrontRollout, linked by node. */
struct cds_list_head *front_rollouts_list (FrontRollouts *rollouts);

/** Applies an order that was read; false if it is not newer. servers gives the size of the
 *  service. */
bool front_rollouts_apply_order (FrontRollouts *rollouts,
                                 FrontServers *servers,
                                 const RolloutOrder *order,
                                 int64_t now_ms);
/** The order was read after the store came back from a copy. True if it is the known one, read or
 *  written again, whose status then has to be written again if it was lost. */
bool front_rollouts_repeat_order (FrontRollouts *rollouts, const RolloutOrder *order);
/** The status that was reported is lost. */
void front_rollouts_status_removed (FrontRollouts *rollouts, const char *service);
/** The order's row was removed. */
void front_rollouts_order_removed (FrontRollouts *rollouts, const char *service);
/** Applies a status that this front read or wrote, or received from another one. A status older
 *  than the order belongs to an earlier order, and names the base version only; one of a later
 *  order ends this one. The start is on this front's clock. True if the state changes. */
bool front_rollouts_apply_status (FrontRollout *rollout,
                                  const RolloutStatus *status,
                                  int64_t row_version);
/** The status by which the verdict is reported. */
void front_rollout_status (const FrontRollout *rollout, RolloutStatus *out);
/** Sets missing base versions to the one that most servers have; called once the whole list is
 *  known. */
void front_rollouts_find_base (FrontRollouts *rollouts, FrontServers *servers);
/** Version for a request of a session. If none may be used, returns one that no server has. */
const char *front_rollouts_choose (FrontRollouts *rollouts,
                                   FrontServers *servers,
                                   const char *service,
                                   uint64_t session,
                                   int64_t now_ms);
/** Share of the sessions that begin on the new version now, 0 to 1. */
double front_rollout_share (const FrontRollout *rollout, int64_t now_ms);
bool front_rollout_is_running (const FrontRollout *rollout);
/** True while only a small share of the sessions begins on the new version. */
bool front_rollout_is_first_half (const FrontRollout *rollout, int64_t now_ms);
/** True while few of the new version's servers get all of its work: from the second stage on, until
 *  enough answers of these are known or all work has moved. */
bool front_rollout_is_loading (const FrontRollout *rollout, int64_t now_ms);
/** Lists sessions that stay on the old version although new ones like them would begin on the new
 *  one. Other fronts must know of them, as a session's requests may reach any front. */
unsigned front_rollouts_held_sessions (const FrontRollouts *rollouts,
                                       FrontRollout *rollout,
                                       SessionUpdate *out,
                                       unsigned max,
                                       int64_t now_ms);
/** Another front holds this session on the old version. */
void front_rollouts_hold_session (FrontRollouts *rollouts,
                                  const FrontRollout *rollout,
                                  const SessionUpdate *update,
                                  int64_t now_ms);
/** Merges another front's report on this order. */
void front_rollout_merge (FrontRollout *rollout, const RolloutUpdate *update);
/** The evidence of all fronts, as far as this one knows it. */
FrontEvidence front_rollout_all_evidence (FrontRollout *rollout);
/** Logs the evidence of each running roll-out once a second, and when its version is found bad. */
void front_rollouts_log_evidence (FrontRollouts *rollouts, int64_t now_ms);
/** Sums up what this front knows of its failure domain's evidence. */
void front_rollout_sum_domain (FrontRollout *rollout);
/** Evaluates a running roll-out by all evidence and updates is_bad and verdict. A bad version gets
 *  no more requests from this front at once, whether or not the store is reachable. */
void front_rollout_update_verdict (FrontRollout *rollout, int64_t now_ms);

#endif
