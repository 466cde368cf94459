/** When a question for rows is given up for another one: src/front_store_watch.c and
 * front_peers_fetch.c, with a store on loopback that sends what the test tells it to. */
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

#define KNOWN   50 /* version of the rows that the front has */
#define NEWER   90 /* version that a neighbour knows */
#define LATE_MS 5000
#define LISTEN  8

typedef struct
{
  Front front;
  FrontStore store;
  FrontPeers peers;
  Watch *watch;
  int listener;
  int connection; /* of the open question; -1: none yet */
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

/* A front that follows the operator's table at the store, and one neighbour that knows more. */
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
  node->peers.front = &node->front;
  node->peers.own_domain = 1;
  node->peers.control_port = node->store.address.sin_port;
  node->store.front = &node->front;
  node->store.started_ms = clock_boot_ms () - age_ms;
  node->watch = &node->store.watches[STORE_OPERATOR];
  store_watch_init (node->watch, &node->store, STORE_OPERATOR);
  node->watch->loaded = true;
  node->watch->table.version = KNOWN;
  peer = peer_add (&node->peers, htonl (INADDR_LOOPBACK));
  peer->domain = 1;
  peer->heard_ms = clock_boot_ms () + LATE_MS;
  peer->newest[STORE_OPERATOR] = NEWER;
  return node;
}

static void
node_free (Node *node)
{
  store_watch_clear (node->watch);
  if (node->peers.fetches[STORE_OPERATOR].channel)
    front_channel_free (node->peers.fetches[STORE_OPERATOR].channel);
  event_base_free (node->front.base);
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

/* The store has begun to answer. */
static void
ask_and_receive (Node *node)
{
  static const char begin[] = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"Rows\":[";

  ask (node);
  CU_ASSERT_EQUAL (write (node->connection, begin, sizeof begin - 1), sizeof begin - 1);
  CU_ASSERT_FATAL (suite_wait (is_receiving, node));
}

/* Story: a configuration of some thousand routes arrives over a busy link. Neighbours that have it
   already say so, and the front drops the half that has come and asks somebody else for all of it:
   callers meet the routes of the version before for as long as that goes on. */
static void
test_neighbour_knows_more (void)
{
  Node *node = node_new (0);

  ask_and_receive (node);
  store_watch_hint (node->watch, NEWER, clock_boot_ms () + LATE_MS);
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  CU_ASSERT_EQUAL (node->watch->peer_failures, 0);
  node_free (node);
}

/* Story: what a store was asked before it fell silent is never answered. The front drops such a
   question when neighbours know more. */
static void
test_silent_store (void)
{
  Node *node = node_new (0);

  ask (node);
  node->watch->asked_ms -= LATE_MS;
  store_watch_hint (node->watch, NEWER, clock_boot_ms ());
  CU_ASSERT (front_channel_is_pending (node->watch->channel));
  CU_ASSERT (clock_boot_ms () - node->watch->asked_ms < LATE_MS);
  node_free (node);
}

/* Story: the same rows come twice over one link, from the store and from a neighbour that has them,
   and each takes twice as long. */
static void
test_no_second_transfer (void)
{
  Node *node = node_new (0);
  int64_t now_ms = clock_boot_ms ();

  ask_and_receive (node);
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms);
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms + LATE_MS);
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

/* Story: the store or a neighbour is frozen while its rows arrive. Another front has them, and is
   asked before the connection shows that it is dead. */
static void
test_transfer_stops (void)
{
  Node *node = node_new (0);
  int64_t now_ms = clock_boot_ms ();

  ask_and_receive (node);
  CU_ASSERT_FATAL (suite_wait (is_slow, node));
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms);
  peers_fetch_missing (&node->peers, STORE_OPERATOR, now_ms + LATE_MS);
  CU_ASSERT_PTR_NOT_NULL (node->peers.fetches[STORE_OPERATOR].channel);
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  node_free (node);
}

/* Story: a front has learned who lives while rows arrive from a neighbour, and drops them to ask
   the one whom the rows belong to; or it has become one of those that ask the store short
   questions. */
static void
test_place_found_meanwhile (void)
{
  Node *node = node_new (2 * (int64_t)FRONT_SETTLED_MS);

  ask_and_receive (node);
  node->watch->asked_peer = true;
  node->watch->is_short_poll = false;
  store_settle_tick (&node->store, clock_boot_ms ());
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  store_sentinel_tick (node->watch, clock_boot_ms ());
  CU_ASSERT (front_channel_is_receiving (node->watch->channel));
  node_free (node);
}

static const SuiteCase cases[] = {
  { "neighbour_knows_more", test_neighbour_knows_more },
  { "silent_store", test_silent_store },
  { "no_second_transfer", test_no_second_transfer },
  { "transfer_stops", test_transfer_stops },
  { "place_found_meanwhile", test_place_found_meanwhile },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_watch", cases, SUITE_COUNT (cases));
}
