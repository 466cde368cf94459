/**
 * The grant: a lease from the steward which confirms that this gate's configuration is current.
 * While it is valid, new requests may be admitted. It runs from the moment before the renewal was
 * sent, on the boot-time clock, so that neither a slow answer nor a suspended VM extends it.
 */
#ifndef GATE_GRANT_H
#define GATE_GRANT_H

#include "cluster_brake.h"
#include "rpc_client.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct Gate;

typedef struct
{
  RpcClient *steward;
  pthread_t thread;
  bool running;
  pthread_mutex_t lock; /**< guards the members up to completed */
  pthread_cond_t changed;
  bool stop;
  uint64_t requested;    /**< number of renewals requested ahead of the interval */
  uint64_t completed;    /**< value of requested when the last finished renewal began */
  int64_t until_ms;      /**< atomic; boot-time clock; end of the grant; 0: none */
  int64_t members;       /**< atomic; VMs in the membership view; 0: unknown */
  int64_t rank;          /**< atomic; position of this VM among them; -1: not a member */
  ClusterBrakes *brakes; /**< used by the grant thread only */
} GateGrant;

void gate_grant_start (struct Gate *gate);
void gate_grant_stop (struct Gate *gate);
/** Renews now instead of at the next interval, to send a death report to the steward. */
void gate_grant_renew (struct Gate *gate);
/** Renews now and waits at most max_ms for the end of that renewal, to get the death reports of
 * other VMs. */
void gate_grant_renew_and_wait (struct Gate *gate, int64_t max_ms);
/** True while new requests may be admitted. */
bool gate_grant_valid (struct Gate *gate);

#endif
