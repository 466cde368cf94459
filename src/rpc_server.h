/**
 * Takes sealed messages by ONC RPC, over TCP and UDP on one port of one address, without a port
 * mapper, in one thread of its own. The RPC library keeps its state per process, so a process has
 * at most one server at a time. The program must ignore SIGPIPE.
 */
#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include "rpc_seal.h"
#include <netinet/in.h>
#include <stddef.h>

/** Who sent a message. */
typedef struct
{
  uint64_t sender;            /**< incarnation, covered by the MAC */
  struct sockaddr_in address; /**< where the message came from; not covered */
} RpcPeer;

/** One procedure. A one-way procedure is taken over UDP, one with a result over TCP. */
typedef struct
{
  unsigned number;
  xdrproc_t arg_proc;
  size_t arg_size;
  xdrproc_t result_proc; /**< NULL: one way */
  size_t result_size;
  /** Runs in the server's thread and must not block. The result starts zeroed and is freed with
   *  xdr_free; false: no answer can be given. */
  bool (*handle) (void *context, const RpcPeer *peer, const void *arg, void *result);
} RpcProcedure;

typedef struct
{
  const SiteKey *key;
  uint64_t sender; /**< incarnation of this process */
  const char *address;
  int port; /**< 0: any free one, see rpc_server_port */
  const RpcProcedure *procedures;
  size_t procedure_count;
  void *context;
} RpcServerOptions;

typedef struct RpcServer RpcServer;

/** Binds the sockets; messages are taken from rpc_server_start on. */
RpcServer *rpc_server_new (const RpcServerOptions *options, Status *st);
int rpc_server_port (const RpcServer *server);
/** Starts the thread. */
void rpc_server_start (RpcServer *server);
/** Stops the thread: no message is taken any more; rpc_server_send still works. */
void rpc_server_stop (RpcServer *server);
/** Stops the thread and closes all. */
void rpc_server_free (RpcServer *server);

/** Sends a one-way message over UDP from the server's own port, without waiting. Thread-safe. A
 *  message that can't be sent is lost, as any datagram may be. */
StatusCode rpc_server_send (RpcServer *server,
                            const struct sockaddr_in *to,
                            unsigned procedure,
                            xdrproc_t proc,
                            void *value,
                            Status *st);
/** Fills *out from an IP number; false if it is none. */
bool rpc_address (const char *address, int port, struct sockaddr_in *out);

#endif
