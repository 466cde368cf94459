/**
 * Brakes: a set of (model, version) pairs that get no new work. Gates raise a brake on strong
 * evidence of failures, operators by command. Merging is a union, idempotent and independent of the
 * order, so brakes spread by heartbeat without agreement, also while the table service is
 * unavailable. See docs/design/brakes.md.
 *
 * A brake records `since`, the configuration number in force where it was raised. A later
 * configuration releases it: the version's entry in the document has a number `released`, and
 * brakes with since <= released are no longer active. A brake raised again under the new
 * configuration has a greater since and is active. Of two brakes on one version the one with the
 * greater since is kept.
 *
 * Not thread-safe: the caller locks.
 */
#ifndef CLUSTER_BRAKE_H
#define CLUSTER_BRAKE_H

#include "cluster.h"

#define CLUSTER_BRAKES_MAX 256 /**< versions that have a brake or a release */
#define CLUSTER_WHY_MAX    129 /**< bytes of a reason, including the NUL */

typedef struct
{
  char model[CLUSTER_NAME_MAX + 1];
  char version[CLUSTER_NAME_MAX + 1];
  int64_t since;                 /**< configuration number in force where it was raised */
  char by[CLUSTER_NAME_MAX + 1]; /**< VM of the gate, or the operator */
  char why[CLUSTER_WHY_MAX];
} ClusterBrake;

typedef struct ClusterBrakes ClusterBrakes;

typedef enum
{
  CLUSTER_BRAKE_ADDED,
  CLUSTER_BRAKE_KNOWN,    /**< the set has this brake or a later one */
  CLUSTER_BRAKE_RELEASED, /**< released by the applied configuration */
  CLUSTER_BRAKE_INVALID,  /**< an empty name, an unterminated text, or a since below 0 */
  CLUSTER_BRAKE_FULL      /**< the set has CLUSTER_BRAKES_MAX versions already */
} ClusterBrakeResult;

ClusterBrakes *cluster_brakes_new (void);
void cluster_brakes_free (ClusterBrakes *b);

ClusterBrakeResult cluster_brakes_add (ClusterBrakes *b, const ClusterBrake *brake);
/** Adds each brake; returns how many were new to the set, for the caller to log and audit. */
size_t cluster_brakes_merge (ClusterBrakes *b, const ClusterBrake *brakes, size_t count);

/** Sets the version's `released` number from the applied configuration (0: none). The number kept
 *  never decreases. */
void
cluster_brakes_release (ClusterBrakes *b, const char *model, const char *version, int64_t released);
/** Removes the versions for which exists() is false: those no longer in the applied
 *  configuration. */
void cluster_brakes_prune (ClusterBrakes *b,
                           bool (*exists) (void *context, const char *model, const char *version),
                           void *context);

/** Returns the version's active brake or NULL. Valid until the next call that changes the set. */
const ClusterBrake *
cluster_brakes_find (const ClusterBrakes *b, const char *model, const char *version);
/** Copies the active brakes to out, sorted by model and version; returns their number. */
size_t cluster_brakes_list (const ClusterBrakes *b, ClusterBrake out[CLUSTER_BRAKES_MAX]);

/** Hash of the active brakes, equal on all VMs that have the same ones; 0 for the empty set. Peers
 *  with equal digests do not exchange their sets. */
uint64_t cluster_brakes_digest (const ClusterBrakes *b);

#endif
