/**
 * Conversion of heartbeats between the protocol logic's ClusterHeartbeat and the RPC message.
 */
#ifndef STEWARD_MESSAGE_H
#define STEWARD_MESSAGE_H

#include "cluster_state.h"
#include "lovage.h"

/** *out borrows the ages of h; everything else is freed with steward_message_clear. Address, gates,
 * brakes and deaths are left empty. */
void steward_message_encode (ClusterHeartbeat *h, rpc_heartbeat *out);
void steward_message_clear (rpc_heartbeat *message);
/** False if the message's incarnation is 0. */
bool steward_message_decode (const rpc_heartbeat *message, ClusterHeartbeat *out);

#endif
