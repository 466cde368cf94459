/**
 * ONC RPC client over TCP, based on libtirpc.
 */
#include "rpc_client.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Bytes of the IP and TCP headers plus the header of an RPC call or reply without credentials, for
 * the byte counters. */
#define STREAM_CALL_HEADERS_SIZE  (52 + 44)
#define STREAM_REPLY_HEADERS_SIZE (52 + 28)

struct RpcClient
{
  const SiteKey *key;
  uint64_t sender;
  char peer[STATUS_PEER_MAX];
  struct sockaddr_in address;
  bool address_valid;
  pthread_mutex_t lock; /**< held during a call: one at a time */
  CLIENT *client;       /**< NULL until connected */
  int fd;
};

static StatusCode client_connect (RpcClient *client, int timeout_ms, Status *st);
static int socket_connect (const struct sockaddr_in *address, int timeout_ms);
static bool socket_wait_connected (int fd, int timeout_ms);
static struct timeval timeval_of_ms (int timeout_ms);
static void socket_set_send_timeout (int fd, int timeout_ms);
static void client_disconnect (RpcClient *client);
static StatusCode client_exchange (RpcClient *client,
                                   unsigned procedure,
                                   rpc_sealed *ask,
                                   rpc_sealed *answer,
                                   int timeout_ms,
                                   Status *st);
static StatusCode call_status (enum clnt_stat stat);

RpcClient *
rpc_client_new (const SiteKey *key, uint64_t sender, const char *address, int port)
{
  RpcClient *client = memory_alloc (sizeof *client);

  client->key = key;
  client->sender = sender;
  client->fd = -1;
  client->address.sin_family = AF_INET;
  client->address.sin_port = htons ((uint16_t)port);
  client->address_valid = inet_pton (AF_INET, address, &client->address.sin_addr) == 1;
  (void)snprintf (client->peer, sizeof client->peer, "%s:%d", address, port);
  (void)pthread_mutex_init (&client->lock, NULL);
  return client;
}

void
rpc_client_free (RpcClient *client)
{
  if (client == NULL)
    return;
  client_disconnect (client);
  (void)pthread_mutex_destroy (&client->lock);
  free (client);
}

StatusCode
rpc_client_call (RpcClient *client,
                 unsigned procedure,
                 xdrproc_t arg_proc,
                 void *arg,
                 xdrproc_t result_proc,
                 void *result,
                 int timeout_ms,
                 Status *st)
{
  int64_t end_ms = clock_boot_ms () + timeout_ms;
  rpc_sealed ask, answer = { 0 };
  StatusCode code;
  int64_t left_ms;

  (void)pthread_mutex_lock (&client->lock);
  code = client_connect (client, timeout_ms, st);
  left_ms = end_ms - clock_boot_ms ();
  if (code == STATUS_OK && left_ms <= 0)
    code = status_set (st, STATUS_UNAVAILABLE, "rpc.call", client->peer, "no time is left");
  if (code == STATUS_OK)
    code = rpc_seal (client->key, client->sender, procedure, arg_proc, arg, &ask, st);
  if (code == STATUS_OK)
    {
      code = client_exchange (client, procedure, &ask, &answer, (int)left_ms, st);
      if (code == STATUS_OK)
        code = rpc_unseal_answer (client->key, procedure, &ask, result_proc, &answer, result, st);
      rpc_sealed_clear (&answer);
      rpc_sealed_clear (&ask);
    }
  (void)pthread_mutex_unlock (&client->lock);
  return code;
}

static StatusCode
client_exchange (RpcClient *client,
                 unsigned procedure,
                 rpc_sealed *ask,
                 rpc_sealed *answer,
                 int timeout_ms,
                 Status *st)
{
  struct timeval timeout = timeval_of_ms (timeout_ms);
  enum clnt_stat stat;

  INVARIANT (client->client != NULL, "a call without a connection to %s", client->peer);
  socket_set_send_timeout (client->fd, timeout_ms);
  stat = clnt_call (client->client, procedure, (xdrproc_t)xdr_rpc_sealed, ask,
                    (xdrproc_t)xdr_rpc_sealed, answer, timeout);
  counter_add (COUNTER_RPC_SENT_BYTES, (int64_t)rpc_sealed_size (ask) + STREAM_CALL_HEADERS_SIZE);
  if (stat == RPC_SUCCESS)
    {
      counter_add (COUNTER_RPC_RECEIVED_BYTES,
                   (int64_t)rpc_sealed_size (answer) + STREAM_REPLY_HEADERS_SIZE);
      return status_ok (st);
    }
  /* A late reply would be taken for the reply to the next call, so the connection is closed. */
  client_disconnect (client);
  return status_set (st, call_status (stat), "rpc.call", client->peer, "procedure %u: %s",
                     procedure, clnt_sperrno (stat));
}

static StatusCode
call_status (enum clnt_stat stat)
{
  switch (stat)
    {
    case RPC_CANTENCODEARGS:
      return STATUS_INVALID;
    case RPC_AUTHERROR:
      return STATUS_DENIED;
    case RPC_PROGUNAVAIL:
    case RPC_PROGVERSMISMATCH:
    case RPC_PROCUNAVAIL:
    case RPC_CANTDECODEARGS:
      return STATUS_UNAVAILABLE;
    default:
      return STATUS_UNKNOWN;
    }
}

static StatusCode
client_connect (RpcClient *client, int timeout_ms, Status *st)
{
  struct netbuf to = { .maxlen = sizeof client->address,
                       .len = sizeof client->address,
                       .buf = &client->address };

  if (client->client != NULL)
    return STATUS_OK;
  if (!client->address_valid)
    return status_set (st, STATUS_INVALID, "rpc.connect", client->peer, "not an IP number");
  client->fd = socket_connect (&client->address, timeout_ms);
  if (client->fd < 0)
    return status_set (st, STATUS_UNAVAILABLE, "rpc.connect", client->peer, "%s", strerror (errno));
  client->client = clnt_vc_create (client->fd, &to, LOVAGE_STEWARD, LOVAGE_STEWARD_V1, 0, 0);
  if (client->client == NULL)
    {
      client_disconnect (client);
      return status_set (st, STATUS_UNAVAILABLE, "rpc.connect", client->peer, "no RPC handle");
    }
  return status_ok (st);
}

static void
client_disconnect (RpcClient *client)
{
  if (client->client != NULL)
    clnt_destroy (client->client);
  if (client->fd >= 0)
    (void)close (client->fd);
  client->client = NULL;
  client->fd = -1;
}

static int
socket_connect (const struct sockaddr_in *address, int timeout_ms)
{
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd < 0)
    return -1;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) != 0
      && (errno != EINPROGRESS || !socket_wait_connected (fd, timeout_ms)))
    {
      int saved = errno;

      (void)close (fd);
      errno = saved;
      return -1;
    }
  /* The library uses write(2) and expects a blocking socket; socket_set_send_timeout limits its
   * waits. */
  (void)fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

static bool
socket_wait_connected (int fd, int timeout_ms)
{
  struct pollfd pollfd = { .fd = fd, .events = POLLOUT };
  int64_t end_ms = clock_boot_ms () + timeout_ms;
  socklen_t len = sizeof (int);
  int64_t left_ms;
  int error = 0;

  for (;;)
    {
      left_ms = end_ms - clock_boot_ms ();
      errno = ETIMEDOUT;
      if (left_ms <= 0)
        return false;
      if (poll (&pollfd, 1, (int)left_ms) == 1)
        break;
    }
  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    return false;
  errno = error;
  return error == 0;
}

/** A peer that does not read must not block the caller, so sends have a time-out too. */
static void
socket_set_send_timeout (int fd, int timeout_ms)
{
  struct timeval timeout = timeval_of_ms (timeout_ms);

  (void)setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

static struct timeval
timeval_of_ms (int timeout_ms)
{
  return (struct timeval){ .tv_sec = timeout_ms / 1000,
                           .tv_usec = (suseconds_t)(timeout_ms % 1000) * 1000 };
}
