/**
 * lovage-steward: the parts of the process. Each part has its own lock; where two are held, the
 * cluster's is taken last.
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

#define STEWARD_TABLE_TIMEOUT_MS 1000 /**< of one call of the table service */

/** What is known of the other members. */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed; /**< broadcast when news may matter to one who waits */
  ClusterState *state;
  bool granted;           /**< at the last look, for the log */
  bool member_left;       /**< a view was taken over that lacks an address of the one before, and
                             it is not established yet */
  int64_t member_left_at; /**< last time that such a view was taken over or established; 0: never */
  StewardSuspicion suspicion; /**< at the last look */
  /** A member that asked us while we knew no view: who to fetch one from. Port 0: none. */
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
  int64_t started_at;       /**< boot-time clock */
  int64_t next_recovery_at; /**< next pass over the object store; of the table's thread */
  atomic_bool platform_up;  /**< the last read of the head row had an answer */
} Steward;

#endif
