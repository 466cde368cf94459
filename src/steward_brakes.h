/**
 * This steward's set of brakes, under its lock, with their form in messages and in the table.
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
  uint64_t digest; /**< of the set */
  size_t next;     /**< where the next message's share of the set begins */
  bool unwritten;  /**< one that was raised here may be missing in the table */
} StewardBrakes;

/** Most brakes in one datagram. */
#define STEWARD_BRAKES_PER_MESSAGE 64

void steward_brakes_init (StewardBrakes *b);
void steward_brakes_clear (StewardBrakes *b);

/** Adds one that was heard of; logs it if it is new. */
ClusterBrakeResult steward_brakes_add (StewardBrakes *b, const ClusterBrake *brake);
/** Adds one that is raised here, by our gate or an operator: we see to it that the table has it. */
ClusterBrakeResult steward_brakes_raise (StewardBrakes *b, const ClusterBrake *brake);
/** Reads a brake of a message. */
void steward_brakes_decode (const rpc_brake *from, ClusterBrake *out);
/** True if one that was raised here isn't known to be in the table. */
bool steward_brakes_unwritten (StewardBrakes *b);
/** Adds those of a message; returns how many were new. */
size_t steward_brakes_merge (StewardBrakes *b, const rpc_brake *brakes, size_t count);
uint64_t steward_brakes_digest (StewardBrakes *b);
/** A share of the set, at most max, a different one each time if there are more; freed with
 *  xdr_free of the message that it goes into. */
void steward_brakes_fill (StewardBrakes *b, size_t max, rpc_brake **out, u_int *count);
/** A new configuration: forgets what it releases and versions that are no more. */
void steward_brakes_apply_config (StewardBrakes *b, const Config *config);
/** [{"version","since","by","why"}], the caller's. */
struct json_object *steward_brakes_json (StewardBrakes *b);

/** Merges the table's brakes and writes those that it lacks. */
StatusCode steward_brakes_sync (StewardBrakes *b, Platform *p, int timeout_ms, Status *st);

#endif
