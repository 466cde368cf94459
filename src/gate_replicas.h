/**
 * Copies usage records that can't be made durable at the platform now to stewards of other failure
 * domains, as the grant names them.
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
  RpcClient *client; /**< the bill writer's own; NULL until needed */
} GatePeer;

typedef struct
{
  pthread_mutex_t lock;               /**< guards granted */
  GatePeer granted[LOVAGE_PEERS_MAX]; /**< as the last grant said */
  size_t granted_count;
  GatePeer peers[LOVAGE_PEERS_MAX]; /**< the bill writer's own */
  size_t peer_count;
} GateReplicas;

void gate_replicas_init (GateReplicas *replicas);
void gate_replicas_clear (GateReplicas *replicas);
/** The peers of a new grant. */
void gate_replicas_set_peers (GateReplicas *replicas, const rpc_peer *peers, size_t count);
/** For BillReplicator.copy; context is the Gate. Returns the number of other failure domains in
 *  which a VM has taken all of the records. */
int gate_replicas_copy (void *context, const char *const *records, size_t count);

#endif
