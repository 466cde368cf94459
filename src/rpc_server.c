/**
 * The process's ONC RPC server, based on libtirpc.
 */
#include "rpc_server.h"
#include "rpc_replay.h"
#include "rpc_socket.h"
#include "util_assert.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc_com.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

/* Sizes in bytes. A datagram has room for a heartbeat with news of all members. */
#define DATAGRAM_MAX       32768
#define STREAM_BUFFER_SIZE 8192
#define RECORD_MAX         (LOVAGE_SEALED_MAX + 1024)

#define POLL_FDS_MAX    1024 /* connections and own sockets that are polled */
#define POLL_TIMEOUT_MS 1000

/* Bytes of the IP, UDP or TCP and RPC headers without credentials, for the byte counters. */
#define CALL_HEADER_SIZE          40
#define DATAGRAM_HEADERS_SIZE     (28 + 40)
#define STREAM_CALL_HEADERS_SIZE  (52 + 44)
#define STREAM_REPLY_HEADERS_SIZE (52 + 28)

struct RpcServer
{
  RpcServerOptions options;
  int port;
  int wake_fd; /**< eventfd, readable when the thread is to end */
  SVCXPRT *datagram;
  SVCXPRT *stream;
  RpcReplay *replay;
  pthread_t thread;
  bool running;
};

static bool server_open (RpcServer *server, Status *st);
static void connections_close (const RpcServer *server);
static size_t encode_call (unsigned procedure, rpc_sealed *sealed, char *data);
static void *server_thread (void *data);
static void dispatch (struct svc_req *request, SVCXPRT *transport);
static const RpcProcedure *find_procedure (const RpcServer *server, unsigned number);
static bool handle_message (RpcServer *server,
                            const RpcProcedure *procedure,
                            SVCXPRT *transport,
                            const rpc_sealed *sealed);
static bool run_procedure (RpcServer *server,
                           const RpcProcedure *procedure,
                           SVCXPRT *transport,
                           const RpcPeer *peer,
                           const rpc_sealed *sealed,
                           const void *arg);
static void refuse_message (SVCXPRT *transport, bool one_way);
static bool_t xdr_empty (XDR *xdrs, ...);

/* The library passes no context to its dispatch function. */
static RpcServer *the_server;
static atomic_uint next_xid = 1;

RpcServer *
rpc_server_new (const RpcServerOptions *options, Status *st)
{
  RpcServer *server = memory_alloc (sizeof *server);

  INVARIANT (the_server == NULL, "a process has one RPC server");
  server->options = *options;
  server->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  server->replay = rpc_replay_new ();
  the_server = server;
  if (!server_open (server, st))
    {
      rpc_server_free (server);
      return NULL;
    }
  return server;
}

int
rpc_server_port (const RpcServer *server)
{
  return server->port;
}

void
rpc_server_start (RpcServer *server)
{
  int error = pthread_create (&server->thread, NULL, server_thread, server);

  INVARIANT (error == 0, "the RPC thread can't start: %s", strerror (error));
  server->running = true;
}

void
rpc_server_stop (RpcServer *server)
{
  uint64_t one = 1;

  if (!server->running)
    return;
  if (write (server->wake_fd, &one, sizeof one) == sizeof one)
    (void)pthread_join (server->thread, NULL);
  server->running = false;
}

void
rpc_server_free (RpcServer *server)
{
  if (server == NULL)
    return;
  rpc_server_stop (server);
  connections_close (server);
  svc_unreg (LOVAGE_STEWARD, LOVAGE_STEWARD_V1);
  if (server->stream != NULL)
    svc_destroy (server->stream);
  if (server->datagram != NULL)
    svc_destroy (server->datagram);
  (void)close (server->wake_fd);
  rpc_replay_free (server->replay);
  the_server = NULL;
  free (server);
}

/** Shuts the connections down; the library frees each one when it reads the end of its stream. */
static void
connections_close (const RpcServer *server)
{
  int fd;
  int i;

  for (i = 0; i < svc_max_pollfd; i++)
    {
      fd = svc_pollfd[i].fd;
      if (fd < 0 || server->stream == NULL || fd == server->stream->xp_fd
          || fd == server->datagram->xp_fd)
        continue;
      (void)shutdown (fd, SHUT_RDWR);
      svc_getreq_common (fd);
    }
}

bool
rpc_address (const char *address, int port, struct sockaddr_in *out)
{
  *out = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  return inet_pton (AF_INET, address, &out->sin_addr) == 1;
}

StatusCode
rpc_server_send (RpcServer *server,
                 const struct sockaddr_in *to,
                 unsigned procedure,
                 xdrproc_t proc,
                 void *value,
                 Status *st)
{
  rpc_sealed sealed;
  StatusCode code;
  char *data;
  size_t len;
  ssize_t sent;

  code
      = rpc_seal (server->options.key, server->options.sender, procedure, proc, value, &sealed, st);
  if (code != STATUS_OK)
    return code;
  data = memory_alloc (DATAGRAM_MAX);
  len = encode_call (procedure, &sealed, data);
  rpc_sealed_clear (&sealed);
  sent = -1;
  errno = EMSGSIZE;
  if (len > 0)
    sent = sendto (server->datagram->xp_fd, data, len, MSG_DONTWAIT, (const struct sockaddr *)to,
                   sizeof *to);
  free (data);
  if (sent < 0)
    return status_set (st, STATUS_UNAVAILABLE, "rpc.send", NULL, "procedure %u: %s", procedure,
                       strerror (errno));
  counter_add (COUNTER_RPC_SENT_BYTES, (int64_t)len + DATAGRAM_HEADERS_SIZE);
  return status_ok (st);
}

/**
 * Encodes a call message in the format of the library's datagram client. That client cannot be
 * used: with a time-out of zero it returns before it sends, and otherwise it would read replies
 * from the server's socket and so consume other peers' calls.
 */
static size_t
encode_call (unsigned procedure, rpc_sealed *sealed, char *data)
{
  struct rpc_msg call = { .rm_xid = atomic_fetch_add (&next_xid, 1), .rm_direction = CALL };
  size_t len = 0;
  XDR xdrs;

  call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  call.rm_call.cb_prog = LOVAGE_STEWARD;
  call.rm_call.cb_vers = LOVAGE_STEWARD_V1;
  call.rm_call.cb_proc = procedure;
  call.rm_call.cb_cred = _null_auth;
  call.rm_call.cb_verf = _null_auth;
  xdrmem_create (&xdrs, data, DATAGRAM_MAX, XDR_ENCODE);
  if (xdr_callmsg (&xdrs, &call) && xdr_rpc_sealed (&xdrs, sealed))
    len = xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  return len;
}

static bool
server_open (RpcServer *server, Status *st)
{
  int record_max = RECORD_MAX;
  int stream_fd = -1;
  int datagram_fd
      = rpc_socket_bind_pair (server->options.address, server->options.port, &stream_fd);

  if (datagram_fd < 0)
    {
      (void)status_set (st, STATUS_UNAVAILABLE, "rpc.bind", NULL, "%s:%d: %s",
                        server->options.address, server->options.port, strerror (errno));
      return false;
    }
  server->port = rpc_socket_port (datagram_fd);
  /* Makes the library's streams non-blocking, so that a peer that sends an incomplete record cannot
   * block the thread, and limits the memory of one record. */
  (void)rpc_control (RPC_SVC_CONNMAXREC_SET, &record_max);
  server->datagram = svc_dg_create (datagram_fd, DATAGRAM_MAX, DATAGRAM_MAX);
  server->stream = svc_vc_create (stream_fd, STREAM_BUFFER_SIZE, STREAM_BUFFER_SIZE);
  if (server->datagram == NULL || server->stream == NULL
      || !svc_reg (server->datagram, LOVAGE_STEWARD, LOVAGE_STEWARD_V1, dispatch, NULL)
      || !svc_reg (server->stream, LOVAGE_STEWARD, LOVAGE_STEWARD_V1, dispatch, NULL))
    {
      (void)status_set (st, STATUS_INTERNAL, "rpc.register", NULL, "the RPC library refused");
      return false;
    }
  return true;
}

static void *
server_thread (void *data)
{
  RpcServer *server = data;
  struct pollfd pollfds[POLL_FDS_MAX];
  int count, ready;

  for (;;)
    {
      count = svc_max_pollfd < POLL_FDS_MAX - 1 ? svc_max_pollfd : POLL_FDS_MAX - 1;
      memcpy (pollfds, svc_pollfd, (size_t)count * sizeof *pollfds);
      pollfds[count] = (struct pollfd){ .fd = server->wake_fd, .events = POLLIN };
      ready = poll (pollfds, (nfds_t)count + 1, POLL_TIMEOUT_MS);
      if (ready <= 0)
        continue;
      if (pollfds[count].revents != 0)
        return NULL;
      svc_getreq_poll (pollfds, ready);
    }
}

static void
dispatch (struct svc_req *request, SVCXPRT *transport)
{
  RpcServer *server = the_server;
  const RpcProcedure *procedure;
  bool datagram = transport->xp_fd == server->datagram->xp_fd;
  rpc_sealed sealed = { 0 };

  if (request->rq_proc == NULLPROC && !datagram)
    {
      (void)svc_sendreply (transport, xdr_empty, NULL);
      return;
    }
  procedure = find_procedure (server, request->rq_proc);
  if (procedure == NULL || datagram != (procedure->result_proc == NULL))
    {
      if (!datagram)
        svcerr_noproc (transport);
      return;
    }
  if (!svc_getargs (transport, (xdrproc_t)xdr_rpc_sealed, (void *)&sealed))
    {
      refuse_message (transport, datagram);
      return;
    }
  if (!handle_message (server, procedure, transport, &sealed))
    refuse_message (transport, datagram);
  (void)svc_freeargs (transport, (xdrproc_t)xdr_rpc_sealed, (void *)&sealed);
}

static const RpcProcedure *
find_procedure (const RpcServer *server, unsigned number)
{
  size_t i;

  for (i = 0; i < server->options.procedure_count; i++)
    {
      if (server->options.procedures[i].number == number)
        return &server->options.procedures[i];
    }
  return NULL;
}

static bool
handle_message (RpcServer *server,
                const RpcProcedure *procedure,
                SVCXPRT *transport,
                const rpc_sealed *sealed)
{
  const struct netbuf *from = svc_getrpccaller (transport);
  RpcPeer peer = { .sender = sealed->sender };
  bool one_way = procedure->result_proc == NULL;
  bool handled = false;
  void *arg;

  counter_add (COUNTER_RPC_RECEIVED_BYTES, (int64_t)rpc_sealed_size (sealed)
                                               + (one_way ? DATAGRAM_HEADERS_SIZE + CALL_HEADER_SIZE
                                                          : STREAM_CALL_HEADERS_SIZE));
  if (from->len >= sizeof peer.address)
    memcpy (&peer.address, from->buf, sizeof peer.address);
  arg = memory_alloc (procedure->arg_size);
  if (rpc_unseal (server->options.key, procedure->number, procedure->arg_proc, sealed, arg, NULL)
      == STATUS_OK)
    {
      counter_add (COUNTER_RPC_CALLS, 1);
      if (rpc_replay_accept (server->replay, sealed->sender, sealed->sequence))
        handled = run_procedure (server, procedure, transport, &peer, sealed, arg);
      xdr_free (procedure->arg_proc, arg);
    }
  free (arg);
  return handled;
}

static bool
run_procedure (RpcServer *server,
               const RpcProcedure *procedure,
               SVCXPRT *transport,
               const RpcPeer *peer,
               const rpc_sealed *sealed,
               const void *arg)
{
  rpc_sealed answer;
  StatusCode code;
  void *result;

  if (procedure->result_proc == NULL)
    return procedure->handle (server->options.context, peer, arg, NULL);
  result = memory_alloc (procedure->result_size);
  code = STATUS_INTERNAL;
  if (procedure->handle (server->options.context, peer, arg, result))
    code = rpc_seal_answer (server->options.key, server->options.sender, procedure->number, sealed,
                            procedure->result_proc, result, &answer, NULL);
  xdr_free (procedure->result_proc, result);
  free (result);
  if (code != STATUS_OK)
    return false;
  counter_add (COUNTER_RPC_SENT_BYTES,
               (int64_t)rpc_sealed_size (&answer) + STREAM_REPLY_HEADERS_SIZE);
  (void)svc_sendreply (transport, (xdrproc_t)xdr_rpc_sealed, (void *)&answer);
  rpc_sealed_clear (&answer);
  return true;
}

static void
refuse_message (SVCXPRT *transport, bool one_way)
{
  counter_add (COUNTER_RPC_REFUSED, 1);
  if (!one_way)
    svcerr_auth (transport, AUTH_FAILED);
}

/** An empty result. The library's xdr_void does not have the type that svc_sendreply expects. */
static bool_t
xdr_empty (XDR *xdrs, ...)
{
  (void)xdrs;
  return TRUE;
}
