/** Time-outs of requests: src/front_channel.c, over loopback connections to a server that sends its
 *  answer in pieces. */
#include "fake_heads.h"
#include "front_channel.h"
#include "front_socket.h"
#include "suite.h"
#include "util_memory.h"
#include "util_unused.h"
#include <event2/buffer.h>
#include <event2/listener.h>
#include <stdio.h>
#include <string.h>

#define PIECE_BYTES ((size_t)2000)
#define PIECES      24U
/* of an answer that is larger than the limit */
#define LARGE_PIECE_BYTES ((size_t)2 << 20)
#define LARGE_PIECES      12
#define PIECE_US          50000 /* between two pieces */
#define TIMEOUT_MS        300 /* time-out of the request; the complete answer takes four times as long */
#define US_PER_MS         1000
#define GIVE_UP_S         20 /* ends a test in which the callback is never called */

/* A server of one connection, and the result of the request to it. */
typedef struct
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct bufferevent *bev;
  struct event *timer;
  unsigned pieces;     /* sent so far */
  unsigned pieces_max; /* nothing is sent after these */
  size_t piece_bytes;
  size_t length;     /* Content-Length of the answer */
  bool has_answered; /* the request's callback was called */
  int status;
  size_t len;
  size_t received;
  FrontChannel *channel;
} Server;

static void
send_piece (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  static const struct timeval wait = { .tv_usec = PIECE_US };
  static const char piece[LARGE_PIECE_BYTES];
  Server *server = user;

  if (server->pieces == server->pieces_max)
    return;
  server->pieces++;
  bufferevent_write (server->bev, piece, server->piece_bytes);
  evtimer_add (server->timer, &wait);
}

static void
on_request (struct bufferevent *bev, void *user)
{
  struct evbuffer *input = bufferevent_get_input (bev);

  evbuffer_drain (input, evbuffer_get_length (input));
  if (((Server *)user)->pieces_max > 0)
    evbuffer_add_printf (bufferevent_get_output (bev),
                         "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
                         ((Server *)user)->length);
  send_piece (-1, 0, user);
}

static void
on_connection (struct evconnlistener *listener UNUSED,
               evutil_socket_t fd,
               struct sockaddr *address UNUSED,
               int len UNUSED,
               void *user)
{
  Server *server = user;

  server->bev = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (server->bev, on_request, NULL, NULL, server);
  bufferevent_enable (server->bev, EV_READ | EV_WRITE);
}

static void
on_answer (void *user, int status, const char *text UNUSED, size_t len)
{
  Server *server = user;

  server->has_answered = true;
  server->status = status;
  server->len = len;
  server->received = front_channel_received (server->channel);
  event_base_loopbreak (server->base);
}

/* Sends a request to a server that answers with so many pieces of this size and then stops. */
static Server
request_pieces (unsigned pieces_max, size_t piece_bytes, size_t length)
{
  static const struct timeval give_up = { .tv_sec = GIVE_UP_S };
  Server server = { .pieces_max = pieces_max, .piece_bytes = piece_bytes, .length = length };
  char text[32];
  struct sockaddr_in address;

  snprintf (text, sizeof text, "127.0.0.1:%d", suite_free_port ());
  CU_ASSERT_FATAL (front_socket_parse_address (text, &address));
  server.base = event_base_new ();
  server.timer = evtimer_new (server.base, send_piece, &server);
  server.listener = evconnlistener_new_bind (server.base, on_connection, &server,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&address, sizeof address);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server.listener);
  server.channel = front_channel_new (server.base, &address, on_answer, &server);
  front_channel_request (server.channel, "/rows", NULL, TIMEOUT_MS);
  event_base_loopexit (server.base, &give_up);
  event_base_dispatch (server.base);
  front_channel_free (server.channel);
  event_free (server.timer);
  if (server.bev)
    bufferevent_free (server.bev);
  evconnlistener_free (server.listener);
  event_base_free (server.base);
  return server;
}

/* An answer that takes longer than the request's time-out must not be abandoned while it arrives.
 * Over a slow link a large configuration would be requested and abandoned again and again: callers
 * would be served by the old one for seconds, and the wasted bytes slow other transfers. */
static void
test_slow_answer_is_received (void)
{
  Server server = request_pieces (PIECES, PIECE_BYTES, PIECES * PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 200);
  CU_ASSERT_EQUAL (server.len, PIECES * PIECE_BYTES);
}

static void
test_silent_server_fails_request (void)
{
  Server server = request_pieces (0, PIECE_BYTES, PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT_EQUAL (server.received, 0);
}

/* A front that freezes in the middle of its answer keeps its connection open. The request must
 * fail, so that the rows can be requested elsewhere. */
static void
test_stalled_answer_fails_request (void)
{
  Server server = request_pieces (PIECES / 2, PIECE_BYTES, PIECES * PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT (server.received >= PIECE_BYTES);
}

/* A transfer that makes hardly any progress, a byte now and then, must be abandoned: it would take
 * hours, and other fronts have the rows as well. */
static void
test_trickling_answer_fails_request (void)
{
  Server server = request_pieces (PIECES * PIECE_BYTES, 1, PIECES * PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT (server.pieces < PIECES * PIECE_BYTES);
}

/* Another program at a front's address sends bytes without end. The request must fail before they
 * use up the memory of the VM. */
static void
test_endless_answer_fails_request (void)
{
  Server server
      = request_pieces (LARGE_PIECES, LARGE_PIECE_BYTES, LARGE_PIECES * LARGE_PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT (server.received < LARGE_PIECES * LARGE_PIECE_BYTES);
}

/* Sends one request; returns the answer's status. */
static int
request_once (Server *server)
{
  server->has_answered = false;
  front_channel_request (server->channel, "/rows", NULL, GIVE_UP_S * 1000);
  while (!server->has_answered)
    event_base_loop (server->base, EVLOOP_ONCE);
  return server->status;
}

/* On a new connection, and on one that has carried a whole answer. */
static void
check_cut_head (FakeServer *fake, const FakeAnswer *cut)
{
  FakeAnswer second = *cut;
  Server server = { .base = event_base_new () };
  struct sockaddr_in address;
  char text[32];

  snprintf (text, sizeof text, "127.0.0.1:%d", fake_server_port (fake));
  CU_ASSERT_FATAL (front_socket_parse_address (text, &address));
  server.channel = front_channel_new (server.base, &address, on_answer, &server);
  CU_ASSERT_EQUAL (request_once (&server), 0);
  second.before = fake_heads_whole;
  fake_server_answer (fake, &second);
  CU_ASSERT_EQUAL (request_once (&server), 200);
  CU_ASSERT_EQUAL (request_once (&server), 0);
  front_channel_free (server.channel);
  event_base_free (server.base);
}

/* Guards against rows that count as none, as the store or a front stopped in the middle of its
 * answer's head. */
static void
test_cut_head_is_no_answer (void)
{
  fake_heads_each (check_cut_head);
}

static const SuiteCase cases[] = {
  { "slow_answer_is_received", test_slow_answer_is_received },
  { "silent_server_fails_request", test_silent_server_fails_request },
  { "stalled_answer_fails_request", test_stalled_answer_fails_request },
  { "cut_head_is_no_answer", test_cut_head_is_no_answer },
  { "trickling_answer_fails_request", test_trickling_answer_fails_request },
  { "endless_answer_fails_request", test_endless_answer_fails_request },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_channel", cases, SUITE_COUNT (cases));
}
