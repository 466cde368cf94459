/**
 * Snapshot of the configuration in force in this gate, with brakes and backend servers, published
 * by RCU. A request keeps the snapshot that it started with; immediately before its last byte is
 * sent it is checked against the newest one.
 */
#ifndef GATE_SNAPSHOT_H
#define GATE_SNAPSHOT_H

#include "choose_index.h"
#include "config.h"
#include "gate_servers.h"
#include <stdbool.h>

typedef struct
{
  int refs; /**< atomic; see gate_snapshot_get and gate_snapshot_put */
  Config *config;
  bool *braked;         /**< by version index */
  GateServer **servers; /**< by server index */
  ServerIndex *index;   /**< the servers that this gate watches */
} GateSnapshot;

typedef struct
{
  GateSnapshot
      *newest; /**< read under rcu_read_lock; NULL until the first configuration is in force */
} GateSnapshots;

/** Takes over the caller's reference to config and copies braked (version_count entries). */
GateSnapshot *gate_snapshot_new (Config *config, const bool *braked, GateServers *servers);
/** Makes snapshot the newest and releases the previous one, whose configuration number must not be
 * higher. Called by one thread only. */
void gate_snapshot_publish (GateSnapshots *snapshots, GateSnapshot *snapshot);
/** Returns the newest snapshot with a new reference, or NULL. */
GateSnapshot *gate_snapshot_get (GateSnapshots *snapshots);
/** Takes another reference to a snapshot that the caller holds. */
GateSnapshot *gate_snapshot_ref (GateSnapshot *snapshot);
void gate_snapshot_put (GateSnapshot *snapshot);
/** Registers the calling thread with RCU until it ends; may be called again. */
void gate_rcu_register (void);

#endif
