/**
 * ONC RPC calls to a steward over TCP, by IP address and port (no port mapper).
 */
#ifndef RPC_CLIENT_H
#define RPC_CLIENT_H

#include "rpc_seal.h"

typedef struct RpcClient RpcClient;

/** Connects on the first call and reconnects after a failure. sender is this process's incarnation.
 *  Thread-safe: calls of one client are serialised. */
RpcClient *rpc_client_new (const SiteKey *key, uint64_t sender, const char *address, int port);
void rpc_client_free (RpcClient *client);

/** Makes one call, limited to timeout_ms including the connection. STATUS_UNAVAILABLE: not sent, or
 *  the peer does not have the procedure; STATUS_UNKNOWN: sent, but no answer; STATUS_DENIED: the
 *  peer refused the message, or the answer has a wrong MAC. The result is freed with xdr_free. */
StatusCode rpc_client_call (RpcClient *client,
                            unsigned procedure,
                            xdrproc_t arg_proc,
                            void *arg,
                            xdrproc_t result_proc,
                            void *result,
                            int timeout_ms,
                            Status *st);

#endif
