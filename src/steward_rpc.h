/**
 * The RPC procedures that the steward serves.
 */
#ifndef STEWARD_RPC_H
#define STEWARD_RPC_H

#include "steward.h"

/** Binds the sockets and creates s->rpc; messages are handled from rpc_server_start on. */
bool steward_rpc_open (Steward *s, Status *st);

#endif
