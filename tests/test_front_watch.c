/** When a request for rows is abandoned for another one: src/front_store_watch.c and
 *  front_peers_fetch.c, with a store on loopback that the test controls. */
#include "front_compress.h"
#include "front_peers_private.h"
#include "front_socket.h"
#include "front_store_private.h"
#include "suite.h"
#include "util_clock.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define OWN_VERSION     50   /* version of the rows that the front has */
#define PEER_VERSION    90   /* version that a front of the same domain has */
#define LATER_MS        5000 /* above all intervals of these modules */
#define LISTEN          8    /* backlog */
#define CONFIG_APPLY_MS 2000
#define SILENT_FRONTS   6
#define STALL_US        500000 /* longer than an answer may make no progress */
#define FETCHES         16     /* in a row, each from a front that is drawn anew */

typedef struct
{
  Front front;
  FrontStore store;
  FrontPeers peers;
  Watch *watch;
  int listener;
  int connection; /* of the pending request; -1: none yet */
} Node;

static int
listen_on (struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  char text[32];

  snprintf (text, sizeof text, "127.0.0.1:%d", suite_free_port ());
  CU_ASSERT_FATAL (front_socket_parse_address (text, address));
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)address, sizeof *address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, LISTEN), 0);
  return fd;
}

/* A front that follows the operator's table at the store, and another front of its domain that is
 * ahead. */
static Node *
node_new (int64_t age_ms)
{
  Node *node = memory_alloc (sizeof *node);
  Peer *peer;

  memset (node, 0, sizeof *node);
  node->connection = -1;
  node->listener = listen_on (&node->store.address);
  node->front.base = event_base_new ();
  node->front.store = &node->store;
  node->front.peers = &node->peers;
  node->front.rollouts = front_rollouts_new (NULL, 1);
  node->front.servers = front_servers_new ("here");
  node->front.is_open = true;
  node->peers.front = &node->front;
  node->peers.own.sin_family = AF_INET;
  node->peers.own_domain = 1;
  node->peers.control_port = node->store.address.sin_port;
  node->store.front = &node->front;
  node->store.started_ms = clock_boot_ms () - age_ms;
  node->watch = &node->store.watches[STORE_OPERATOR];
  front_table_init (&node->store.watches[STORE_STATUS].table);
  store_watch_init (node->watch, &node->store, STORE_OPERATOR);
  node->watch->loaded = true;
  node->watch->table.version = OWN_VERSION;
  node->front.settings.config_apply_ms = CONFIG_APPLY_MS;
  front_confirm_note (&node->watch->confirm, clock_boot_ms () + LATER_MS);
  peer = peer_add (&node->peers, htonl (INADDR_LOOPBACK), 1, clock_boot_ms ());
  peer->seen_ms = clock_boot_ms () + LATER_MS;
  peer->newest[STORE_OPERATOR] = PEER_VERSION;
  return node;
}

static void
node_free (Node *node)
{
  store_watch_clear (node->watch);
  if (node->peers.fetches[STORE_OPERATOR].channel)
    front_channel_free (node->peers.fetches[STORE_OPERATOR].channel);
  store_answer_clear (&node->peers.fetches[STORE_OPERATOR].parts);
  front_rollouts_free (node->front.rollouts);
  front_servers_free (node->front.servers);
  event_base_free (node->front.base);
  peers_clear (&node->peers);
  if (node->connection >= 0)
    close (node->connection);
  close (node->listener);
  free (node);
}

static bool
is_asked (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  if (node->connection < 0)
    node->connection = accept (node->listener, NULL, NULL);
  return node->connection >= 0;
}

static bool
is_receiving (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return front_channel_is_receiving (node->watch->channel);
}

static void
ask (Node *node)
{
  store_watch_poll (node->watch);
  CU_ASSERT_FATAL (suite_wait (is_asked, node));
}

/* Polls the store, which begins to answer. */
static void
ask_and_receive (Node *node)
{
  static const char begin[] = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"Rows\":[";

  ask (node);
  CU_ASSERT_EQUAL (write (node->connection, begin, sizeof begin - 1), sizeof begin - 1);
  CU_ASSERT_FATAL (suite_wait (is_receiving, node));
}

/* A configuration of some thousand routes arrives over a congested link, while other fronts that
 * have it report its version. The transfer must not be cancelled and started again elsewhere:
 * callers would be served by the previous routes all that time. */
static void
test_hint_keeps_transfer (void)
{
  Node *node = node_new (0);

  ask_and_receive (node);
  store_watch_hint (node->watch, PEER_VERSION, clock_boot_ms () + LATER_MS);
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  CU_ASSERT_EQUAL (node->watch->peer_failures, 0);
  node_free (node);
}

/* A request that the store received before it hung is never answered. It must be sent again when
 * other fronts are ahead. */
static void
test_hint_restarts_unanswered_poll (void)
{
  Node *node = node_new (0);

  ask (node);
  node->watch->asked_ms -= LATER_MS;
  store_watch_hint (node->watch, PEER_VERSION, clock_boot_ms ());
  CU_ASSERT (front_channel_is_pending (node->watch->channel));
  CU_ASSERT (clock_boot_ms () - node->watch->asked_ms < LATER_MS);
  node_free (node);
}

/* While rows arrive from the store, the same rows must not be fetched from another front over the
 * same link: each transfer would take twice as long. */
static void
test_no_second_transfer (void)
{
  Node *node = node_new (0);
  int64_t now_ms = clock_boot_ms ();

  ask_and_receive (node);
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms);
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms + LATER_MS);
  CU_ASSERT_PTR_NULL (node->peers.fetches[STORE_OPERATOR].channel);
  node_free (node);
}

static bool
is_slow (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return front_channel_is_slow (node->watch->channel);
}

/* The store or a front freezes in the middle of its rows. Another front that has them must be asked
 * before the connection is found to be dead. */
static void
test_stalled_transfer_is_fetched_elsewhere (void)
{
  Node *node = node_new (0);
  int64_t now_ms = clock_boot_ms ();

  ask_and_receive (node);
  CU_ASSERT_FATAL (suite_wait (is_slow, node));
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms);
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms + LATER_MS);
  CU_ASSERT_PTR_NOT_NULL (node->peers.fetches[STORE_OPERATOR].channel);
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  node_free (node);
}

static bool
is_fetched (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return node->peers.fetches[STORE_OPERATOR].done;
}

/* Fetches what has been lacking for long. */
static void
fetch (Node *node)
{
  node->peers.lacked_since_ms[STORE_OPERATOR] = clock_boot_ms () - LATER_MS;
  node->peers.lacked_version[STORE_OPERATOR] = PEER_VERSION;
  peers_fetch_missing (&node->peers, STORE_OPERATOR, clock_boot_ms ());
}

/* Of two fronts that are ahead one has just ended. Guards against asking it again and again, while
 * a server that leaves goes on getting requests. */
static void
test_front_without_answer_is_not_asked_again (void)
{
  Node *node = node_new (0);
  Fetch *fetched = &node->peers.fetches[STORE_OPERATOR];
  Peer *sound = node->peers.list[0];
  Peer *ended = peer_add (&node->peers, htonl (INADDR_LOOPBACK + 1), 1, clock_boot_ms ());

  ended->seen_ms = sound->seen_ms;
  ended->newest[STORE_OPERATOR] = PEER_VERSION;
  sound->newest[STORE_OPERATOR] = 0;
  ask (node);
  fetch (node);
  CU_ASSERT_EQUAL_FATAL (fetched->source.sin_addr.s_addr, ended->address.sin_addr.s_addr);
  CU_ASSERT_FATAL (suite_wait (is_fetched, node));
  sound->newest[STORE_OPERATOR] = PEER_VERSION;
  for (unsigned i = 0; i < FETCHES; i++)
    {
      fetched->done = true;
      fetch (node);
      CU_ASSERT_EQUAL (fetched->source.sin_addr.s_addr, sound->address.sin_addr.s_addr);
    }
  sound->newest[STORE_OPERATOR] = 0;
  fetched->done = true;
  fetch (node);
  CU_ASSERT_EQUAL (fetched->source.sin_addr.s_addr, ended->address.sin_addr.s_addr);
  node_free (node);
}

/* Servers register by hundreds a second, and another front is always some changes ahead, while each
 * change arrives here within 300 ms. No front may fetch rows for that: each of a thousand did, for
 * as long as servers registered. */
static void
test_changes_in_time_are_not_fetched (void)
{
  Node *node = node_new (0);
  Peer *peer = peer_find (&node->peers, htonl (INADDR_LOOPBACK));
  int64_t now_ms = clock_boot_ms ();

  ask (node);
  for (unsigned i = 0; i < 10; i++)
    {
      peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms + (int64_t)i * 200);
      node->watch->table.version = peer->newest[STORE_OPERATOR];
      peer->newest[STORE_OPERATOR] += 100;
    }
  CU_ASSERT_PTR_NULL (node->peers.fetches[STORE_OPERATOR].channel);
  CU_ASSERT_EQUAL (node->watch->peer_failures, 0);
  node_free (node);
}

/* The same stream of changes, and one that never arrives: it has to be fetched, although the peer's
 * newest change is another one each time. */
static void
test_change_lacked_too_long_is_fetched (void)
{
  Node *node = node_new (0);
  Peer *peer = peer_find (&node->peers, htonl (INADDR_LOOPBACK));
  int64_t now_ms = clock_boot_ms ();

  ask (node);
  for (unsigned i = 0; i < 3; i++)
    {
      peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms + (int64_t)i * 200);
      peer->newest[STORE_OPERATOR] += 100;
    }
  CU_ASSERT_PTR_NOT_NULL (node->peers.fetches[STORE_OPERATOR].channel);
  node_free (node);
}

/* A front that learns which fronts are alive while rows arrive, and so has another source now or
 * has become a sentinel, must not cancel the transfer. */
static void
test_new_role_keeps_transfer (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);

  ask_and_receive (node);
  node->watch->asked_peer = true;
  node->watch->is_short_poll = false;
  store_settle_tick (&node->store, clock_boot_ms ());
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  node_free (node);
}

/* A starting front asks another one that is still reading the table. If it didn't ask that front to
 * wait, it would be refused at once and, after a few others, read the table at the store: so did
 * all fronts of a site that start at one moment. */
static void
test_starting_front_waits_for_peer (void)
{
  Node *node = node_new (0);
  char text[256] = { 0 };

  node->watch->loaded = false;
  node->watch->table.version = 0;
  ask (node);
  while (!strstr (text, "\r\n"))
    {
      event_base_loop (node->front.base, EVLOOP_NONBLOCK);
      if (read (node->connection, text, sizeof text - 1) == 0)
        break;
    }
  CU_ASSERT (node->watch->asked_peer);
  CU_ASSERT_EQUAL (strncmp (text, "GET /rows/0/0/0/wait ", 21), 0);
  node_free (node);
}

/* Reads the request that has arrived at the listener. */
static void
read_asked (Node *node, char *text, size_t size)
{
  size_t len = 0;

  while (!strstr (text, "\r\n\r\n") && len + 1 < size)
    {
      ssize_t got;

      event_base_loop (node->front.base, EVLOOP_NONBLOCK);
      got = recv (node->connection, text + len, size - 1 - len, MSG_DONTWAIT);
      if (got > 0)
        len += (size_t)got;
      text[len] = '\0';
    }
}

/* A front of the same failure domain that accepts connections and never answers. */
static int
add_silent_fronts (Node *node)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  uint64_t lowest = UINT64_MAX;

  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, len), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, LISTEN), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  node->peers.control_port = address.sin_port;
  for (unsigned i = 1; i <= SILENT_FRONTS; i++)
    {
      struct sockaddr_in other = { .sin_addr.s_addr = htonl (INADDR_LOOPBACK + i) };
      uint64_t hash = peers_rank_hash (&other, STORE_OPERATOR);

      peer_add (&node->peers, other.sin_addr.s_addr, 1, clock_boot_ms ())->seen_ms
          = clock_boot_ms () + LATER_MS;
      lowest = hash < lowest ? hash : lowest;
    }
  /* This front comes after all of them. */
  while (peers_rank_hash (&node->peers.own, STORE_OPERATOR) >= lowest)
    node->peers.own.sin_addr.s_addr++;
  return fd;
}

/* The front's connection to one that add_silent_fronts has added. */
static int
accept_at (Node *node, int listener)
{
  int fd;

  while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK)) < 0)
    event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return fd;
}

/* Guards against a front that relies on another one, which is frozen, cut off, or turned away by
 * the store, and so misses a change that it could read at the store itself. */
static void
test_unconfirmed_table_is_checked_at_the_store (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node);
  char text[1024] = { 0 };

  store_watch_poll (node->watch);
  CU_ASSERT (node->watch->asked_peer);
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (node->watch->asked_peer);
  node->watch->confirm.at_ms = clock_boot_ms () - CONFIG_APPLY_MS;
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (!node->watch->asked_peer);
  CU_ASSERT_FATAL (suite_wait (is_asked, node));
  read_asked (node, text, sizeof text);
  CU_ASSERT (strstr (text, "/v1/rows-feed") && strstr (text, "WaitMs=0"));
  node_free (node);
  close (silent);
}

static bool
is_peer_asked (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return node->watch->asked_peer;
}

/* Guards against a front that calls the store again and again while it turns all fronts away, and
 * against one that no longer asks the others then. */
static void
test_check_that_fails_is_followed_by_a_pause (void)
{
  static const char refusal[] = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node);

  node->watch->confirm.at_ms = clock_boot_ms () - CONFIG_APPLY_MS;
  ask (node);
  CU_ASSERT (node->watch->is_check);
  CU_ASSERT_EQUAL (write (node->connection, refusal, sizeof refusal - 1), sizeof refusal - 1);
  CU_ASSERT_FATAL (suite_wait (is_peer_asked, node));
  CU_ASSERT (node->store.next_check_ms >= clock_boot_ms () + CONFIG_APPLY_MS / 4);
  CU_ASSERT (node->store.next_check_ms <= clock_boot_ms () + CONFIG_APPLY_MS);
  CU_ASSERT (!node->watch->lost);
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (node->watch->asked_peer);
  node_free (node);
  close (silent);
}

/* Guards against a front that waits for the rest of another one's answer, which was frozen amidst
 * it, though it could read the change at the store. */
static void
test_stalled_answer_is_given_up_for_a_check (void)
{
  static const char begin[] = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"Rows\":[";
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node), fd;
  char text[1024] = { 0 };

  store_watch_poll (node->watch);
  CU_ASSERT (node->watch->asked_peer);
  fd = accept_at (node, silent);
  CU_ASSERT_EQUAL (write (fd, begin, sizeof begin - 1), sizeof begin - 1);
  CU_ASSERT_FATAL (suite_wait (is_receiving, node));
  node->watch->confirm.at_ms = clock_boot_ms () - CONFIG_APPLY_MS;
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (node->watch->asked_peer);
  usleep (STALL_US);
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (node->watch->is_check);
  CU_ASSERT_FATAL (suite_wait (is_asked, node));
  read_asked (node, text, sizeof text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "WaitMs=0"));
  node_free (node);
  close (fd);
  close (silent);
}

static bool
is_read_again (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return !node->watch->loaded;
}

/* Guards against a front that asks silent fronts for the whole table, after the store has dropped
 * the changes since its own version. */
static void
test_dropped_changes_are_read_at_the_store (void)
{
  static const char gone[] = "HTTP/1.1 410 X\r\nContent-Length: 0\r\n\r\n";
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node);

  node->watch->confirm.at_ms = clock_boot_ms () - CONFIG_APPLY_MS;
  ask (node);
  CU_ASSERT (node->watch->is_check);
  CU_ASSERT_EQUAL (write (node->connection, gone, sizeof gone - 1), sizeof gone - 1);
  CU_ASSERT_FATAL (suite_wait (is_read_again, node));
  CU_ASSERT (!node->watch->asked_peer);
  node_free (node);
  close (silent);
}

/* Another front lacks the changes since this one's version, so that all rows are read at others. */
static void
read_again_at_peers (Node *node)
{
  node->watch->loaded = false;
  node->watch->reads_again_at_peers = true;
  store_watch_poll (node->watch);
}

/* A front of the same domain gives the rows up to a version; one is named "a". */
static void
answer_with_part (int fd, int version, bool has_more)
{
  Buffer body = { 0 };
  char head[128];

  buffer_printf (&body,
                 "{\"Rows\":[{\"Key\":\"a\",\"Value\":\"\",\"Ver\":10}],\"MorePages\":%s,"
                 "\"Ver\":%d}",
                 has_more ? "true" : "false", version);
  CU_ASSERT_FATAL (front_compress (&body));
  snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", body.len);
  CU_ASSERT_EQUAL (write (fd, head, strlen (head)), (ssize_t)strlen (head));
  CU_ASSERT_EQUAL (write (fd, body.data, body.len), (ssize_t)body.len);
  buffer_free (&body);
}

static void
answer_with_all_rows (int fd, int version)
{
  answer_with_part (fd, version, false);
}

static bool
is_loaded (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return node->watch->loaded;
}

/* Guards against a front that takes the rows of another one, which is behind, for those of now, and
 * so misses a change for longer than allowed. */
static void
test_rows_of_another_front_confirm_nothing (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node), fd;
  int64_t confirmed_ms = clock_boot_ms () - CONFIG_APPLY_MS / 2;

  node->watch->confirm.at_ms = confirmed_ms;
  read_again_at_peers (node);
  CU_ASSERT_FATAL (node->watch->asked_peer);
  fd = accept_at (node, silent);
  answer_with_all_rows (fd, PEER_VERSION);
  CU_ASSERT_FATAL (suite_wait (is_loaded, node));
  CU_ASSERT_EQUAL (node->watch->confirm.at_ms, confirmed_ms);
  node_free (node);
  close (fd);
  close (silent);
}

static bool
is_given_up (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return node->watch->loaded || node->watch->peer_failures > 0;
}

/* Guards against a server that has left, and comes back for good with the rows of a front that is
 * behind. */
static void
test_older_rows_of_a_front_are_not_taken (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node), fd;

  read_again_at_peers (node);
  fd = accept_at (node, silent);
  answer_with_all_rows (fd, OWN_VERSION - 1);
  CU_ASSERT_FATAL (suite_wait (is_given_up, node));
  CU_ASSERT_PTR_NULL (front_table_find (&node->watch->table, "a"));
  CU_ASSERT_FALSE (node->watch->loaded);
  CU_ASSERT_EQUAL (node->watch->peer_failures, 1);
  node_free (node);
  close (fd);
  close (silent);
}

static bool
is_next_part_asked (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return node->watch->parts_version != 0 && front_channel_is_pending (node->watch->channel);
}

/* Guards against a front that asks another one for the same part of a table without end. */
static void
test_repeated_part_is_requested_elsewhere (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node), fd;
  struct sockaddr_in source;

  read_again_at_peers (node);
  source = node->watch->source;
  fd = accept_at (node, silent);
  answer_with_part (fd, OWN_VERSION, true);
  CU_ASSERT_FATAL (suite_wait (is_next_part_asked, node));
  answer_with_part (fd, OWN_VERSION, true);
  CU_ASSERT_FATAL (suite_wait (is_given_up, node));
  CU_ASSERT_FALSE (node->watch->loaded);
  CU_ASSERT_EQUAL (node->watch->pages.count, 0);
  CU_ASSERT_NOT_EQUAL (node->watch->source.sin_addr.s_addr, source.sin_addr.s_addr);
  node_free (node);
  close (fd);
  close (silent);
}

static bool
is_part_fetched (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return node->peers.fetches[STORE_OPERATOR].parts.count > 0;
}

static unsigned
requests_at (int fd)
{
  char text[4096] = { 0 };
  unsigned count = 0;

  CU_ASSERT (read (fd, text, sizeof text - 1) > 0);
  for (const char *at = text; (at = strstr (at, "GET /rows/")); at++)
    count++;
  return count;
}

/* The same while rows that the store has not reported are fetched. */
static void
test_repeated_part_ends_a_fetch (void)
{
  Node *node = node_new (0);
  Fetch *fetched = &node->peers.fetches[STORE_OPERATOR];
  int fd;

  ask (node);
  fetched->needs_all = true;
  fetch (node);
  fd = accept_at (node, node->listener);
  answer_with_part (fd, OWN_VERSION, true);
  CU_ASSERT_FATAL (suite_wait (is_part_fetched, node));
  answer_with_part (fd, OWN_VERSION, true);
  CU_ASSERT_FATAL (suite_wait (is_fetched, node));
  CU_ASSERT_EQUAL (requests_at (fd), 2);
  CU_ASSERT (peer_has_failed (node->peers.list[0], LATER_MS, clock_boot_ms ()));
  CU_ASSERT_PTR_NULL (front_table_find (&node->watch->table, "a"));
  node_free (node);
  close (fd);
}

static void
answer_with_page (Node *node, bool has_more)
{
  char text[512], body[256];

  snprintf (body, sizeof body,
            "{\"Rows\":[{\"Key\":\"%s\",\"Value\":\"\",\"Ver\":60}],\"MorePages\":%s,"
            "\"Ver\":90}",
            has_more ? "a" : "b", has_more ? "true" : "false");
  snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body),
            body);
  CU_ASSERT_EQUAL (write (node->connection, text, strlen (text)), (ssize_t)strlen (text));
}

static bool
is_next_page_asked (void *user)
{
  Node *node = user;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  return node->watch->last_key.data != NULL;
}

/* Guards against a front that takes a long table for complete as of its last page, and so misses
 * for longer than allowed a change that was made after the first one. */
static void
test_pages_are_as_old_as_the_first_one (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int64_t first_ms;

  node->watch->confirm.at_ms = 1;
  node->watch->loaded = false;
  ask (node);
  first_ms = node->watch->asked_ms;
  usleep (STALL_US);
  answer_with_page (node, true);
  CU_ASSERT_FATAL (suite_wait (is_next_page_asked, node));
  CU_ASSERT (node->watch->asked_ms > first_ms);
  answer_with_page (node, false);
  CU_ASSERT_FATAL (suite_wait (is_loaded, node));
  CU_ASSERT_EQUAL (node->watch->confirm.at_ms, first_ms);
  node_free (node);
}

/* Guards against a front that reads the whole table at another one, which is frozen, and so misses
 * a change that it could read at the store. */
static void
test_late_read_at_a_front_is_made_at_the_store (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node);

  read_again_at_peers (node);
  CU_ASSERT (node->watch->asked_peer);
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (node->watch->asked_peer);
  node->watch->confirm.at_ms = clock_boot_ms () - CONFIG_APPLY_MS;
  store_poll_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (!node->watch->asked_peer);
  CU_ASSERT_FATAL (suite_wait (is_asked, node));
  node_free (node);
  close (silent);
}

/* Guards against a front that gives up reading a table at others, as the store turns it away. */
static void
test_read_that_the_store_refuses_is_made_at_a_front (void)
{
  static const char refusal[] = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);
  int silent = add_silent_fronts (node);

  node->watch->loaded = false;
  node->watch->reads_again_at_peers = true;
  node->watch->confirm.at_ms = clock_boot_ms () - CONFIG_APPLY_MS;
  ask (node);
  CU_ASSERT (!node->watch->asked_peer);
  CU_ASSERT_EQUAL (write (node->connection, refusal, sizeof refusal - 1), sizeof refusal - 1);
  CU_ASSERT_FATAL (suite_wait (is_peer_asked, node));
  CU_ASSERT (!node->watch->loaded);
  node_free (node);
  close (silent);
}

static bool
is_asked_again (void *user)
{
  Node *node = user;
  char text[512];
  ssize_t len;

  event_base_loop (node->front.base, EVLOOP_NONBLOCK);
  len = read (node->connection, text, sizeof text);
  return len > 0 && memmem (text, (size_t)len, "GET /rows/", 10);
}

/* All fronts start at one moment, and the one that is asked reads 10,000 rows from the store over a
 * slow link, for seconds. If each second of that counted as a failure, all others would read the
 * table at the store as well after six of them. */
static void
test_pending_rows_are_no_failure (void)
{
  static const char pending[] = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  Node *node = node_new (0);

  node->watch->loaded = false;
  node->watch->table.version = 0;
  ask (node);
  CU_ASSERT (suite_wait (is_asked_again, node));
  for (unsigned i = 0; i < 10; i++)
    {
      CU_ASSERT_EQUAL (write (node->connection, pending, sizeof pending - 1), sizeof pending - 1);
      CU_ASSERT (suite_wait (is_asked_again, node));
      CU_ASSERT (node->watch->asked_peer);
      CU_ASSERT_EQUAL (node->watch->peer_failures, 0);
    }
  node_free (node);
}

static const SuiteCase cases[] = {
  { "hint_keeps_transfer", test_hint_keeps_transfer },
  { "hint_restarts_unanswered_poll", test_hint_restarts_unanswered_poll },
  { "no_second_transfer", test_no_second_transfer },
  { "stalled_transfer_is_fetched_elsewhere", test_stalled_transfer_is_fetched_elsewhere },
  { "front_without_answer_is_not_asked_again", test_front_without_answer_is_not_asked_again },
  { "changes_in_time_are_not_fetched", test_changes_in_time_are_not_fetched },
  { "change_lacked_too_long_is_fetched", test_change_lacked_too_long_is_fetched },
  { "starting_front_waits_for_peer", test_starting_front_waits_for_peer },
  { "pending_rows_are_no_failure", test_pending_rows_are_no_failure },
  { "new_role_keeps_transfer", test_new_role_keeps_transfer },
  { "unconfirmed_table_is_checked_at_the_store", test_unconfirmed_table_is_checked_at_the_store },
  { "stalled_answer_is_given_up_for_a_check", test_stalled_answer_is_given_up_for_a_check },
  { "dropped_changes_are_read_at_the_store", test_dropped_changes_are_read_at_the_store },
  { "rows_of_another_front_confirm_nothing", test_rows_of_another_front_confirm_nothing },
  { "older_rows_of_a_front_are_not_taken", test_older_rows_of_a_front_are_not_taken },
  { "repeated_part_is_requested_elsewhere", test_repeated_part_is_requested_elsewhere },
  { "repeated_part_ends_a_fetch", test_repeated_part_ends_a_fetch },
  { "pages_are_as_old_as_the_first_one", test_pages_are_as_old_as_the_first_one },
  { "late_read_at_a_front_is_made_at_the_store", test_late_read_at_a_front_is_made_at_the_store },
  { "read_that_the_store_refuses_is_made_at_a_front",
    test_read_that_the_store_refuses_is_made_at_a_front },
  { "check_that_fails_is_followed_by_a_pause", test_check_that_fails_is_followed_by_a_pause },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_watch", cases, SUITE_COUNT (cases));
}
