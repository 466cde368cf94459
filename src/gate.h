/**
 * State of one lovage-gate process: settings, policies, and the modules that admit callers'
 * requests, send them to backend servers, relay the answers and record usage. See
 * docs/design/requests.md.
 */
#ifndef GATE_H
#define GATE_H

#include "bill.h"
#include "choose_estimate.h"
#include "choose_retry.h"
#include "choose_server.h"
#include "claim.h"
#include "gate_evidence.h"
#include "gate_grant.h"
#include "gate_limit.h"
#include "gate_memory.h"
#include "gate_rating.h"
#include "gate_replicas.h"
#include "gate_sample.h"
#include "gate_servers.h"
#include "gate_snapshot.h"
#include "gate_watch.h"
#include "platform.h"
#include "platform_group.h"
#include "rpc_client.h"
#include "session_named.h"
#include "settings.h"

typedef struct Gate
{
  SettingsGate settings;
  SiteKey site_key;
  uint8_t session_key[SESSION_KEY_SIZE];
  uint64_t incarnation; /**< drawn at random at process start */
  const ServerPolicy *policy;
  Platform *platform;
  PlatformGroup *group;
  BillWriter *bill;
  ClaimReleaser *releaser;
  RetryBudget *retries;
  Estimates *estimates;
  GateRating rating;
  GateLimit limit;
  GateMemory memory; /**< of what is held for callers */
  SessionNamed *sessions;
  GateEvidence *evidence;
  GateSampler *sampler;
  GateReplicas replicas;
  GateWatch watch;
  GateServers servers;
  GateSnapshots snapshots;
  GateGrant grant;
  int64_t in_flight; /**< atomic: requests admitted and not yet finished */
  bool stopping;     /**< atomic */
} Gate;

/** REASON_NONE if new requests may be admitted now; otherwise the Reason to refuse them with. */
int gate_admission (Gate *gate);

#endif
