/**
 * State shared by the modules of lovage-steward. Each module has its own lock; where two locks are
 * held at once, the cluster's is taken last.
 */
#ifndef STEWARD_H
#define STEWARD_H

#include "bill_replica.h"
#include "cluster_state.h"
#include "rpc_server.h"
#include "settings.h"
#include "steward_audit.h"
#include "steward_brakes.h"
#include "steward_deaths.h"
#include "steward_document.h"
#include "steward_evidence.h"
#include "steward_gates.h"
#include "steward_head.h"
#include "steward_remote_gates.h"
#include "steward_suspicion.h"
#include <pthread.h>
#include <stdatomic.h>

#define STEWARD_TABLE_TIMEOUT_MS 1000 /**< time-out of one call of the table service */

/** This steward's state of the cluster protocol. */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed; /**< broadcast when a change may end a wait */
  ClusterState *state;
  bool granted;     /**< whether a grant could be given at the last check; a change is logged */
  bool member_left; /**< an adopted view lacks an address of the view before it, and it is not
                       established yet */
  int64_t member_left_at; /**< last time that such a view was adopted or established; 0: never */
  StewardSuspicion suspicion; /**< result of the last check */
  /** A member whose heartbeat arrived while this steward had no view: the source to fetch one from.
   * Port 0: none. */
  ClusterMember introducer;
} StewardCluster;

typedef struct StewardTable StewardTable;
typedef struct StewardHeartbeat StewardHeartbeat;
typedef struct StewardFetch StewardFetch;
typedef struct StewardHttp StewardHttp;
typedef struct StewardRollout StewardRollout;

typedef struct Steward
{
  SettingsSteward settings;
  SiteKey key;
  uint64_t incarnation;
  ClusterMember self;
  Platform *platform;
  StewardCluster cluster;
  StewardDocument document;
  StewardGates gates;
  StewardRemoteGates remote_gates; /**< guarded by the cluster's lock */
  StewardBrakes brakes;
  StewardAuditQueue audit;
  StewardEvidence evidence;
  StewardDeaths deaths;
  BillReplica *bills;
  RpcServer *rpc;
  StewardTable *table;
  StewardHeartbeat *heartbeat;
  StewardFetch *fetch;
  StewardHttp *http;
  StewardRollout *rollout;
  int64_t started_at;       /**< boot-time clock, ms */
  int64_t next_recovery_at; /**< time of the next recovery of usage records from the object store;
                               used by the table's thread only */
  atomic_bool platform_up;  /**< the last read of the head row was answered */
} Steward;

#endif
