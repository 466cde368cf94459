/**
 * Heartbeats between stewards: a thread asks a few members in turn at each beat, and answers are
 * made in the RPC server's thread.
 */
#ifndef STEWARD_HEARTBEAT_H
#define STEWARD_HEARTBEAT_H

#include "steward.h"

/** Bytes a second that all heartbeats of one steward may take, sent and received: with more members
 *  each answer is longer, and fewer asks are sent. */
#define STEWARD_HEARTBEAT_BYTES_PER_S 9000
/** Most asks a second, however few members there are. */
#define STEWARD_HEARTBEAT_ASKS_PER_S_MAX 12

StewardHeartbeat *steward_heartbeat_start (Steward *s);
void steward_heartbeat_stop (StewardHeartbeat *h);
/** Asks all members that are not known to apply number, now: for a number that was just made
 *  durable here. */
void steward_heartbeat_ask_lagging (Steward *s, int64_t number);

/** Asks all members, now, with the brakes in the ask: for one that was just raised here. */
void steward_heartbeat_broadcast_brakes (Steward *s);

/** Asks all members, now, with the deaths of servers in the ask: for one that the gate here has
 * just seen. */
void steward_heartbeat_broadcast_deaths (Steward *s);

/** Handlers of the RPC server. */
bool
steward_heartbeat_handle_ask (void *context, const RpcPeer *peer, const void *arg, void *result);
bool
steward_heartbeat_handle_answer (void *context, const RpcPeer *peer, const void *arg, void *result);

/** Asks a second for that many members. */
double steward_heartbeat_rate (size_t members);

#endif
