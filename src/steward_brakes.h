/**
 * This steward's set of brakes with its lock, and the conversion of brakes to and from messages and
 * table rows.
 */
#ifndef STEWARD_BRAKES_H
#define STEWARD_BRAKES_H

#include "cluster_brake.h"
#include "config.h"
#include "lovage.h"
#include "platform.h"
#include <json-c/json.h>
#include <pthread.h>

typedef struct
{
  pthread_mutex_t lock;
  ClusterBrakes *set;
  uint64_t digest; /**< digest of the set, to compare it with other members' */
  size_t next;     /**< index of the first brake that the next message carries */
  bool unwritten;  /**< a brake that was raised here may be missing in the table */
} StewardBrakes;

/** Upper bound on the brakes in one datagram. */
#define STEWARD_BRAKES_PER_MESSAGE 64

void steward_brakes_init (StewardBrakes *b);
void steward_brakes_clear (StewardBrakes *b);

/** Adds a brake that was received or read; logs it if it is new. */
ClusterBrakeResult steward_brakes_add (StewardBrakes *b, const ClusterBrake *brake);
/** Adds a brake that is raised here, by this VM's gate or an operator; steward_brakes_sync then
 * writes it to the table. */
ClusterBrakeResult steward_brakes_raise (StewardBrakes *b, const ClusterBrake *brake);
/** Decodes a brake of a message; strings that are too long are cut. */
void steward_brakes_decode (const rpc_brake *from, ClusterBrake *out);
/** True if a brake that was raised here isn't known to be in the table. */
bool steward_brakes_unwritten (StewardBrakes *b);
/** Adds the brakes of a message; returns how many were new. */
size_t steward_brakes_merge (StewardBrakes *b, const rpc_brake *brakes, size_t count);
uint64_t steward_brakes_digest (StewardBrakes *b);
/** Puts at most max brakes of the set into a message. If there are more, successive calls continue
 * where the previous one ended. Freed with xdr_free of the message. */
void steward_brakes_fill (StewardBrakes *b, size_t max, rpc_brake **out, u_int *count);
/** Applies a new configuration: removes the brakes that it releases, and those of versions that no
 * longer exist. */
void steward_brakes_apply_config (StewardBrakes *b, const Config *config);
/** The set as [{"version","since","by","why"}], which the caller releases. */
struct json_object *steward_brakes_json (StewardBrakes *b);

/** Merges the table's brakes into the set and writes the brakes that the table lacks. */
StatusCode steward_brakes_sync (StewardBrakes *b, Platform *p, int timeout_ms, Status *st);

#endif
