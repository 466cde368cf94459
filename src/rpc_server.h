/**
 * ONC RPC server for sealed messages, over TCP and UDP on the same port, without a port mapper, in
 * its own thread. The RPC library keeps global state, so a process has at most one server at a
 * time. The program must ignore SIGPIPE.
 */
#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include "rpc_seal.h"
#include <netinet/in.h>
#include <stddef.h>

/** The sender of a message. */
typedef struct
{
  uint64_t sender;            /**< incarnation, covered by the MAC */
  struct sockaddr_in address; /**< source address of the message; not covered by the MAC */
} RpcPeer;

/** One procedure. A one-way procedure is called over UDP, one with a result over TCP. */
typedef struct
{
  unsigned number;
  xdrproc_t arg_proc;
  size_t arg_size;
  xdrproc_t result_proc; /**< NULL: one way */
  size_t result_size;
  /** Runs in the server's thread and must not block. result is zeroed before the call and freed
   * with xdr_free afterwards. Returning false refuses the message. */
  bool (*handle) (void *context, const RpcPeer *peer, const void *arg, void *result);
} RpcProcedure;

typedef struct
{
  const SiteKey *key;
  uint64_t sender; /**< incarnation of this process */
  const char *address;
  int port; /**< 0: any free port, see rpc_server_port */
  const RpcProcedure *procedures;
  size_t procedure_count;
  void *context;
} RpcServerOptions;

typedef struct RpcServer RpcServer;

/** Binds the sockets; rpc_server_start starts handling. NULL with *st filled on failure. */
RpcServer *rpc_server_new (const RpcServerOptions *options, Status *st);
int rpc_server_port (const RpcServer *server);
/** Starts the thread. */
void rpc_server_start (RpcServer *server);
/** Stops the thread: no more messages are handled; rpc_server_send still works. */
void rpc_server_stop (RpcServer *server);
/** Stops the thread and closes all sockets. NULL is allowed. */
void rpc_server_free (RpcServer *server);

/** Sends a one-way message over UDP from the server's port, without blocking. Thread-safe. A
 * message that cannot be sent is dropped, like any datagram may be. */
StatusCode rpc_server_send (RpcServer *server,
                            const struct sockaddr_in *to,
                            unsigned procedure,
                            xdrproc_t proc,
                            void *value,
                            Status *st);
/** Sets *out from an IPv4 address in text form; false if it is invalid. */
bool rpc_address (const char *address, int port, struct sockaddr_in *out);

#endif
