/**
 * The grant: the time until which a steward may let new work start on the configuration that it
 * applies. It ensures that a withdrawn version gets no new work later than grant_ms after the
 * withdrawal is accepted. See docs/design/configuration.md.
 */
#ifndef CLUSTER_GRANT_H
#define CLUSTER_GRANT_H

#include "cluster_state.h"

typedef enum
{
  CLUSTER_PROOF_NONE,
  CLUSTER_PROOF_TABLE, /**< a read of the head row returned no number newer than ours */
  CLUSTER_PROOF_PEERS  /**< a majority of the members has applied no number newer than ours */
} ClusterProof;

typedef struct
{
  int64_t until;      /**< end, on the caller's boot-time clock; CLUSTER_NEVER: no proof */
  int64_t number;     /**< configuration number that the grant is for */
  ClusterProof proof; /**< the proof that gives `until`; NONE once it has passed */
  size_t voters;      /**< members whose state within the last grant_ms supports the grant */
  size_t needed;      /**< members needed for a majority; 0: no view known */
} ClusterGrant;

/** Returns the grant at now, from whichever proof lasts longer. */
ClusterGrant cluster_grant (const ClusterState *s, int64_t now);

/** Milliseconds left of the grant; 0 if it has ended. Sent in rpc_grant; the gate counts them from
 *  the time at which it sent its request. */
int64_t cluster_grant_left (const ClusterGrant *grant, int64_t now);

const char *cluster_proof_name (ClusterProof proof);

#endif
