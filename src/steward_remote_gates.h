/**
 * Gates of other VMs, as their stewards report them in heartbeats. Used to decide whether a gate
 * may still write its usage records itself.
 */
#ifndef STEWARD_REMOTE_GATES_H
#define STEWARD_REMOTE_GATES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STEWARD_REMOTE_GATES_MAX 1024

typedef struct
{
  uint64_t gate;    /**< incarnation of the gate; 0: free entry */
  uint64_t steward; /**< incarnation of the steward that reported it last */
  int64_t reported_at;
} StewardRemoteGate;

/** Guarded by the cluster's lock. */
typedef struct
{
  StewardRemoteGate gates[STEWARD_REMOTE_GATES_MAX];
} StewardRemoteGates;

/** Records the gates that a steward reported. If there is no room, the entry that was reported
 * longest ago is replaced. */
void steward_remote_gates_update (StewardRemoteGates *remote,
                                  uint64_t steward,
                                  const uint64_t *gates,
                                  size_t count,
                                  int64_t now);
/** The entry of a gate, or NULL if it was not reported. */
const StewardRemoteGate *steward_remote_gates_find (const StewardRemoteGates *remote,
                                                    uint64_t gate);

#endif
