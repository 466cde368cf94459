/**
 * Sealed messages, replay protection, RPC server and RPC client: src/rpc_*.c.
 */
#include "rpc_client.h"
#include "rpc_replay.h"
#include "rpc_server.h"
#include "suite.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS       10000
#define DOCUMENT_SIZE 600000

typedef struct
{
  atomic_int heartbeats;
  atomic_ullong nonce;
} Seen;

static bool handle_config_get (void *context, const RpcPeer *peer, const void *arg, void *result);
static bool handle_heartbeat (void *context, const RpcPeer *peer, const void *arg, void *result);

static const RpcProcedure procedures[] = {
  { .number = LOVAGE_CONFIG_GET,
    .arg_proc = (xdrproc_t)xdr_rpc_number,
    .arg_size = sizeof (rpc_number),
    .result_proc = (xdrproc_t)xdr_rpc_document,
    .result_size = sizeof (rpc_document),
    .handle = handle_config_get },
  { .number = LOVAGE_HEARTBEAT_ASK,
    .arg_proc = (xdrproc_t)xdr_rpc_heartbeat,
    .arg_size = sizeof (rpc_heartbeat),
    .handle = handle_heartbeat },
};

static SiteKey key = { .bytes = { 1, 2, 3 } };
static SiteKey other_key = { .bytes = { 3, 2, 1 } };
static Seen seen;

static bool
handle_config_get (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  (void)context;
  const rpc_number *ask = arg;
  rpc_document *document = result;

  if (ask->number < 0)
    return false;
  document->number = ask->number;
  document->text = memory_alloc (DOCUMENT_SIZE + 1);
  memset (document->text, 'x', DOCUMENT_SIZE);
  return peer->sender == 7;
}

static bool
handle_heartbeat (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  const rpc_heartbeat *heartbeat = arg;

  (void)context;
  (void)peer;
  (void)result;
  atomic_store (&seen.nonce, heartbeat->nonce);
  atomic_fetch_add (&seen.heartbeats, 1);
  return true;
}

static RpcServer *
start_server (void)
{
  RpcServerOptions options = { .key = &key,
                               .sender = 9,
                               .address = "127.0.0.1",
                               .procedures = procedures,
                               .procedure_count = sizeof procedures / sizeof *procedures };
  RpcServer *server = rpc_server_new (&options, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  rpc_server_start (server);
  return server;
}

static void
wait_heartbeats (int count)
{
  int64_t end_ms = clock_boot_ms () + WAIT_MS;

  while (atomic_load (&seen.heartbeats) < count && clock_boot_ms () < end_ms)
    clock_sleep_ms (1);
}

static StatusCode
get_document (RpcClient *client, int64_t number, Status *st)
{
  rpc_number ask = { .number = number };
  rpc_document document = { 0 };
  StatusCode code = rpc_client_call (client, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &ask,
                                     (xdrproc_t)xdr_rpc_document, &document, WAIT_MS, st);

  if (code == STATUS_OK)
    {
      CU_ASSERT_EQUAL (document.number, number);
      CU_ASSERT_EQUAL (strlen (document.text), DOCUMENT_SIZE);
      xdr_free ((xdrproc_t)xdr_rpc_document, &document);
    }
  return code;
}

/* Guards against forged and altered messages: the MAC must cover key, sender, sequence number,
 * procedure and body. */
static void
test_altered_message_refused (void)
{
  rpc_number value = { .number = 42 };
  rpc_number out = { 0 };
  rpc_sealed sealed;

  CU_ASSERT_EQUAL (
      rpc_seal (&key, 7, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &value, &sealed, NULL),
      STATUS_OK);
  CU_ASSERT_EQUAL (
      rpc_unseal (&key, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &sealed, &out, NULL),
      STATUS_OK);
  CU_ASSERT_EQUAL (out.number, 42);
  CU_ASSERT_EQUAL (
      rpc_unseal (&other_key, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &sealed, &out, NULL),
      STATUS_DENIED);
  CU_ASSERT_EQUAL (
      rpc_unseal (&key, LOVAGE_VIEW_GET, (xdrproc_t)xdr_rpc_number, &sealed, &out, NULL),
      STATUS_DENIED);
  sealed.sender ^= 1;
  CU_ASSERT_EQUAL (
      rpc_unseal (&key, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &sealed, &out, NULL),
      STATUS_DENIED);
  sealed.sender ^= 1;
  sealed.sequence++;
  CU_ASSERT_EQUAL (
      rpc_unseal (&key, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &sealed, &out, NULL),
      STATUS_DENIED);
  sealed.sequence--;
  sealed.body.body_val[3] ^= 1;
  CU_ASSERT_EQUAL (
      rpc_unseal (&key, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &sealed, &out, NULL),
      STATUS_DENIED);
  rpc_sealed_clear (&sealed);
}

/* Guards against replayed answers: an attacker answers a gate's request for a grant with a recorded
 * older answer, whose MAC is still valid, and the gate would keep a grant that its steward has not
 * renewed. */
static void
test_old_answer_refused (void)
{
  rpc_number value = { .number = 1 };
  rpc_number out = { 0 };
  rpc_sealed first, second, answer;

  (void)rpc_seal (&key, 7, LOVAGE_GRANT, (xdrproc_t)xdr_rpc_number, &value, &first, NULL);
  (void)rpc_seal (&key, 7, LOVAGE_GRANT, (xdrproc_t)xdr_rpc_number, &value, &second, NULL);
  (void)rpc_seal_answer (&key, 9, LOVAGE_GRANT, &first, (xdrproc_t)xdr_rpc_number, &value, &answer,
                         NULL);
  CU_ASSERT_EQUAL (rpc_unseal_answer (&key, LOVAGE_GRANT, &first, (xdrproc_t)xdr_rpc_number,
                                      &answer, &out, NULL),
                   STATUS_OK);
  CU_ASSERT_EQUAL (rpc_unseal_answer (&key, LOVAGE_GRANT, &second, (xdrproc_t)xdr_rpc_number,
                                      &answer, &out, NULL),
                   STATUS_DENIED);
  CU_ASSERT_EQUAL (rpc_unseal (&key, LOVAGE_GRANT, (xdrproc_t)xdr_rpc_number, &answer, &out, NULL),
                   STATUS_DENIED);
  rpc_sealed_clear (&first);
  rpc_sealed_clear (&second);
  rpc_sealed_clear (&answer);
}

/* Datagrams can arrive twice and out of order; each must be accepted exactly once. */
static void
test_each_datagram_accepted_once (void)
{
  RpcReplay *replay = rpc_replay_new ();
  uint64_t sender;

  CU_ASSERT_TRUE (rpc_replay_accept (replay, 5, 10));
  CU_ASSERT_FALSE (rpc_replay_accept (replay, 5, 10));
  CU_ASSERT_TRUE (rpc_replay_accept (replay, 5, 9));
  CU_ASSERT_FALSE (rpc_replay_accept (replay, 5, 9));
  CU_ASSERT_TRUE (rpc_replay_accept (replay, 6, 10));
  CU_ASSERT_TRUE (rpc_replay_accept (replay, 5, 200));
  CU_ASSERT_FALSE (rpc_replay_accept (replay, 5, 10));
  CU_ASSERT_FALSE (rpc_replay_accept (replay, 5, 136));
  CU_ASSERT_TRUE (rpc_replay_accept (replay, 5, 137));
  CU_ASSERT_FALSE (rpc_replay_accept (replay, 5, 0));
  for (sender = 100; sender < 100 + 400; sender++)
    {
      CU_ASSERT_TRUE (rpc_replay_accept (replay, sender, 1));
      CU_ASSERT_FALSE (rpc_replay_accept (replay, sender, 1));
    }
  rpc_replay_free (replay);
}

static void
test_large_answers_are_received (void)
{
  RpcServer *server = start_server ();
  RpcClient *client = rpc_client_new (&key, 7, "127.0.0.1", rpc_server_port (server));
  int i;

  for (i = 1; i <= 20; i++)
    CU_ASSERT_EQUAL (get_document (client, i, NULL), STATUS_OK);
  rpc_client_free (client);
  rpc_server_free (server);
}

static void
test_refused_calls_fail (void)
{
  RpcServer *server = start_server ();
  RpcClient *other_key_client
      = rpc_client_new (&other_key, 7, "127.0.0.1", rpc_server_port (server));
  RpcClient *client = rpc_client_new (&key, 7, "127.0.0.1", rpc_server_port (server));
  Status st = { 0 };

  CU_ASSERT_EQUAL (get_document (other_key_client, 1, &st), STATUS_DENIED);
  CU_ASSERT_STRING_EQUAL (st.step, "rpc.call");
  CU_ASSERT_PTR_NOT_NULL (strstr (st.peer, "127.0.0.1:"));
  CU_ASSERT_NOT_EQUAL (get_document (client, -1, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (get_document (client, 2, NULL), STATUS_OK);
  rpc_client_free (other_key_client);
  rpc_client_free (client);
  rpc_server_free (server);
}

/* After a steward was replaced, a client's connection is dead; calls must reach the new one. */
static void
test_client_reconnects_after_restart (void)
{
  RpcServer *server = start_server ();
  int port = rpc_server_port (server);
  RpcClient *client = rpc_client_new (&key, 7, "127.0.0.1", port);
  RpcServerOptions options = { .key = &key,
                               .sender = 10,
                               .address = "127.0.0.1",
                               .port = port,
                               .procedures = procedures,
                               .procedure_count = 2 };

  CU_ASSERT_EQUAL (get_document (client, 1, NULL), STATUS_OK);
  rpc_server_free (server);
  CU_ASSERT_NOT_EQUAL (get_document (client, 1, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (get_document (client, 1, NULL), STATUS_UNAVAILABLE);
  server = rpc_server_new (&options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  rpc_server_start (server);
  CU_ASSERT_EQUAL (get_document (client, 1, NULL), STATUS_OK);
  rpc_client_free (client);
  rpc_server_free (server);
}

/* Guards against a peer that sends half a record and blocks the server's only thread, so that every
 * gate's grant would expire. */
static void
test_half_record_does_not_block (void)
{
  static const char half[] = { (char)0x80, 0, 1, 0, 'x', 'y' };
  RpcServer *server = start_server ();
  RpcClient *client = rpc_client_new (&key, 7, "127.0.0.1", rpc_server_port (server));
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_TRUE (rpc_address ("127.0.0.1", rpc_server_port (server), &address));
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (fd, half, sizeof half, 0), (ssize_t)sizeof half);
  CU_ASSERT_EQUAL (get_document (client, 3, NULL), STATUS_OK);
  (void)close (fd);
  rpc_client_free (client);
  rpc_server_free (server);
}

/* A peer that accepts connections but never answers: the call times out as STATUS_UNKNOWN. */
static void
test_silent_peer_times_out (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  rpc_number ask = { .number = 1 };
  rpc_document document = { 0 };
  RpcClient *client;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (listen (fd, 1), 0);
  CU_ASSERT_EQUAL (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  client = rpc_client_new (&key, 7, "127.0.0.1", ntohs (address.sin_port));
  CU_ASSERT_EQUAL (rpc_client_call (client, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &ask,
                                    (xdrproc_t)xdr_rpc_document, &document, 50, NULL),
                   STATUS_UNKNOWN);
  rpc_client_free (client);
  (void)close (fd);
}

static void
test_one_way_messages_are_handled (void)
{
  RpcServer *server = start_server ();
  rpc_heartbeat heartbeat = { .nonce = 0, .incarnation = 9, .address = "" };
  struct sockaddr_in address;
  int i;

  atomic_store (&seen.heartbeats, 0);
  (void)rpc_address ("127.0.0.1", rpc_server_port (server), &address);
  for (i = 1; i <= 10; i++)
    {
      heartbeat.nonce = (uint64_t)i;
      CU_ASSERT_EQUAL (rpc_server_send (server, &address, LOVAGE_HEARTBEAT_ASK,
                                        (xdrproc_t)xdr_rpc_heartbeat, &heartbeat, NULL),
                       STATUS_OK);
      wait_heartbeats (i);
    }
  CU_ASSERT_EQUAL (atomic_load (&seen.heartbeats), 10);
  CU_ASSERT_EQUAL (atomic_load (&seen.nonce), 10);
  rpc_server_free (server);
}

/* Guards against replayed datagrams: a datagram that arrives twice is handled once. */
static void
test_repeated_datagram_refused (void)
{
  RpcServer *server = start_server ();
  rpc_heartbeat heartbeat = { .nonce = 77, .incarnation = 5, .address = "" };
  struct timeval no_wait = { .tv_usec = 2000 };
  struct sockaddr_in address;
  struct netbuf to = { .maxlen = sizeof address, .len = sizeof address, .buf = &address };
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  rpc_sealed sealed;
  CLIENT *client;

  atomic_store (&seen.heartbeats, 0);
  (void)rpc_address ("127.0.0.1", rpc_server_port (server), &address);
  client = clnt_dg_create (fd, &to, LOVAGE_STEWARD, LOVAGE_STEWARD_V1, 8192, 8192);
  CU_ASSERT_PTR_NOT_NULL_FATAL (client);
  if (client == NULL)
    return;
  (void)rpc_seal (&key, 5, LOVAGE_HEARTBEAT_ASK, (xdrproc_t)xdr_rpc_heartbeat, &heartbeat, &sealed,
                  NULL);
  (void)clnt_call (client, LOVAGE_HEARTBEAT_ASK, (xdrproc_t)xdr_rpc_sealed, &sealed,
                   (xdrproc_t)xdr_rpc_sealed, NULL, no_wait);
  (void)clnt_call (client, LOVAGE_HEARTBEAT_ASK, (xdrproc_t)xdr_rpc_sealed, &sealed,
                   (xdrproc_t)xdr_rpc_sealed, NULL, no_wait);
  rpc_sealed_clear (&sealed);
  (void)rpc_seal (&key, 5, LOVAGE_HEARTBEAT_ASK, (xdrproc_t)xdr_rpc_heartbeat, &heartbeat, &sealed,
                  NULL);
  (void)clnt_call (client, LOVAGE_HEARTBEAT_ASK, (xdrproc_t)xdr_rpc_sealed, &sealed,
                   (xdrproc_t)xdr_rpc_sealed, NULL, no_wait);
  /* Datagrams of one socket over loopback keep their order: the third follows the repeat. */
  wait_heartbeats (2);
  CU_ASSERT_EQUAL (atomic_load (&seen.heartbeats), 2);
  rpc_sealed_clear (&sealed);
  clnt_destroy (client);
  (void)close (fd);
  rpc_server_free (server);
}

static void
test_key_file_is_checked (void)
{
  char path[] = "/tmp/test_rpc_key_XXXXXX";
  int fd = mkstemp (path);
  uint8_t one[SITE_KEY_SIZE], two[SITE_KEY_SIZE];
  SiteKey read_key;
  int i;

  for (i = 0; i < SITE_KEY_SIZE; i++)
    CU_ASSERT_EQUAL (write (fd, "a5", 2), 2);
  CU_ASSERT_EQUAL (write (fd, "\n", 1), 1);
  CU_ASSERT_EQUAL (site_key_read (path, &read_key, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (read_key.bytes[31], 0xa5);
  CU_ASSERT_EQUAL (write (fd, "a5", 2), 2);
  CU_ASSERT_EQUAL (site_key_read (path, &read_key, NULL), STATUS_INVALID);
  (void)close (fd);
  (void)unlink (path);
  CU_ASSERT_EQUAL (site_key_read (path, &read_key, NULL), STATUS_INVALID);
  site_key_derive (&key, "session", one);
  site_key_derive (&key, "other", two);
  CU_ASSERT_NOT_EQUAL (memcmp (one, two, sizeof one), 0);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "altered_message_refused", test_altered_message_refused },
    { "old_answer_refused", test_old_answer_refused },
    { "each_datagram_accepted_once", test_each_datagram_accepted_once },
    { "large_answers_are_received", test_large_answers_are_received },
    { "refused_calls_fail", test_refused_calls_fail },
    { "client_reconnects_after_restart", test_client_reconnects_after_restart },
    { "half_record_does_not_block", test_half_record_does_not_block },
    { "silent_peer_times_out", test_silent_peer_times_out },
    { "one_way_messages_are_handled", test_one_way_messages_are_handled },
    { "repeated_datagram_refused", test_repeated_datagram_refused },
    { "key_file_is_checked", test_key_file_is_checked },
  };

  (void)signal (SIGPIPE, SIG_IGN);
  return suite_main (argc, argv, "rpc", cases, SUITE_COUNT (cases));
}
