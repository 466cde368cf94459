/**
 * Heartbeats between stewards. A thread asks a few members in turn in each round; answers are sent
 * by the RPC server's thread.
 */
#ifndef STEWARD_HEARTBEAT_H
#define STEWARD_HEARTBEAT_H

#include "steward.h"

/** Bytes per second that all heartbeats of one steward may take, sent and received. With more
 * members each answer is longer, so fewer asks are sent. */
#define STEWARD_HEARTBEAT_BYTES_PER_S 9000
/** Upper bound on the asks per second, with few members. */
#define STEWARD_HEARTBEAT_ASKS_PER_S_MAX 12

StewardHeartbeat *steward_heartbeat_start (Steward *s);
void steward_heartbeat_stop (StewardHeartbeat *h);
/** Asks all members that are not known to apply number, at once: for a number that has just become
 * durable here. */
void steward_heartbeat_ask_lagging (Steward *s, int64_t number);

/** Asks all members at once, with the brakes in the ask: for a brake that has just been raised
 * here. */
void steward_heartbeat_broadcast_brakes (Steward *s);

/** Asks all members at once, with the deaths of backend servers in the ask: for a death that this
 * VM's gate has just observed. Does nothing if the last such broadcast is too recent. */
void steward_heartbeat_broadcast_deaths (Steward *s);

/** Handlers of the RPC server, for LOVAGE_HEARTBEAT_ASK and LOVAGE_HEARTBEAT_ANSWER. */
bool
steward_heartbeat_handle_ask (void *context, const RpcPeer *peer, const void *arg, void *result);
bool
steward_heartbeat_handle_answer (void *context, const RpcPeer *peer, const void *arg, void *result);

/** Asks per second that one steward sends with that many members. */
double steward_heartbeat_rate (size_t members);

#endif
