/**
 * The grant: the steward's time-limited word that this gate's configuration is fresh. Counted from
 * the moment before the ask was sent, on the boot-time clock, so that neither a slow answer nor a
 * suspended VM lengthens it.
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
  pthread_mutex_t lock; /**< guards what follows to completed */
  pthread_cond_t changed;
  bool stop;
  uint64_t requested;    /**< asks requested at once, counted */
  uint64_t completed;    /**< of them, those whose ask has ended */
  int64_t until_ms;      /**< atomic; boot-time clock; 0: none */
  int64_t members;       /**< atomic; VMs in the view; 0: not known */
  int64_t rank;          /**< atomic; of this VM among them; -1: not a member */
  ClusterBrakes *brakes; /**< the grant thread's own */
} GateGrant;

void gate_grant_start (struct Gate *gate);
void gate_grant_stop (struct Gate *gate);
/** Asks now, not at the next interval: there is news for the steward. */
void gate_grant_renew (struct Gate *gate);
/** Asks now and waits for the end of that ask, at most max_ms: for news of other VMs. */
void gate_grant_renew_and_wait (struct Gate *gate, int64_t max_ms);
/** True while new work may be taken. */
bool gate_grant_valid (struct Gate *gate);

#endif
