/**
 * Heartbeats in the form of the protocol logic and in that of the messages.
 */
#ifndef STEWARD_MESSAGE_H
#define STEWARD_MESSAGE_H

#include "cluster_state.h"
#include "lovage.h"

/** *out borrows the ages of h; the rest is freed with steward_message_clear. Address, gates and
 *  brakes are left empty. */
void steward_message_encode (ClusterHeartbeat *h, rpc_heartbeat *out);
void steward_message_clear (rpc_heartbeat *message);
/** False if the message names an incarnation 0. */
bool steward_message_decode (const rpc_heartbeat *message, ClusterHeartbeat *out);

#endif
