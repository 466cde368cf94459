/**
 * Copies usage records that cannot be made durable at the platform now to stewards in other
 * failure domains. The grant names these stewards (peers).
 */
#ifndef GATE_REPLICAS_H
#define GATE_REPLICAS_H

#include "bill.h"
#include "rpc_client.h"
#include <pthread.h>

struct Gate;

typedef struct
{
  char address[LOVAGE_ADDRESS_MAX + 1];
  char failure_domain[LOVAGE_NAME_MAX + 1];
  int port;
  RpcClient *client; /**< used by the bill writer only; NULL until needed */
} GatePeer;

typedef struct
{
  pthread_mutex_t lock;               /**< guards granted */
  GatePeer granted[LOVAGE_PEERS_MAX]; /**< peers named by the last grant */
  size_t granted_count;
  GatePeer peers[LOVAGE_PEERS_MAX]; /**< used by the bill writer only; updated from granted */
  size_t peer_count;
} GateReplicas;

void gate_replicas_init (GateReplicas *replicas);
void gate_replicas_clear (GateReplicas *replicas);
/** Sets the peers that a new grant names. */
void gate_replicas_set_peers (GateReplicas *replicas, const rpc_peer *peers, size_t count);
/** For BillReplicator.copy; context is the Gate. Returns the number of other failure domains in
 * which a steward has accepted all of the records. */
int gate_replicas_copy (void *context, const char *const *records, size_t count);

#endif
