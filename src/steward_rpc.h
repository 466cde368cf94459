/**
 * What the steward answers by RPC.
 */
#ifndef STEWARD_RPC_H
#define STEWARD_RPC_H

#include "steward.h"

/** Binds the sockets and makes s->rpc; it takes messages from rpc_server_start on. */
bool steward_rpc_open (Steward *s, Status *st);

#endif
