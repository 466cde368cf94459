/** How long a question waits for its answer: src/front_channel.c, over loopback connections to a
 * server that answers piece by piece. */
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
/* Of an answer that is larger than any that is taken. */
#define LARGE_PIECE_BYTES ((size_t)2 << 20)
#define LARGE_PIECES      12
#define PIECE_US          50000 /* between two pieces */
#define WAIT_MS           300 /* that the question waits; the whole answer takes four times as long */
#define US_PER_MS         1000
#define GIVE_UP_S         20 /* for a test whose answer or failure never comes */

/* A server of one connection. */
typedef struct
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct bufferevent *bev;
  struct event *timer;
  unsigned pieces;      /* sent so far */
  unsigned pieces_most; /* after these it sends nothing more */
  size_t piece_bytes;
  size_t length;     /* as the answer's head tells it */
  bool has_answered; /* the asker's callback was called */
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

  if (server->pieces == server->pieces_most)
    return;
  server->pieces++;
  bufferevent_write (server->bev, piece, server->piece_bytes);
  evtimer_add (server->timer, &wait);
}

static void
on_asked (struct bufferevent *bev, void *user)
{
  struct evbuffer *input = bufferevent_get_input (bev);

  evbuffer_drain (input, evbuffer_get_length (input));
  if (((Server *)user)->pieces_most > 0)
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
  bufferevent_setcb (server->bev, on_asked, NULL, NULL, server);
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

/* Asks a server that sends so many pieces of this size and then nothing more. */
static Server
ask (unsigned pieces_most, size_t piece_bytes, size_t length)
{
  static const struct timeval give_up = { .tv_sec = GIVE_UP_S };
  Server server = { .pieces_most = pieces_most, .piece_bytes = piece_bytes, .length = length };
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
  front_channel_request (server.channel, "/rows", NULL, WAIT_MS);
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

/* Story: callers meet the routes of an older configuration for seconds, though neighbours know the
   new one. A large configuration comes over a slow link and takes longer than its question waits.
   The question is given up while the answer arrives, asked anew, and given up again: the front
   never gets the rows, and what is sent for nothing slows those that others ask for. */
static void
test_slow_link (void)
{
  Server server = ask (PIECES, PIECE_BYTES, PIECES * PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 200);
  CU_ASSERT_EQUAL (server.len, PIECES * PIECE_BYTES);
}

static void
test_silent_server (void)
{
  Server server = ask (0, PIECE_BYTES, PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT_EQUAL (server.received, 0);
}

/* Story: the front that gives its rows is frozen in the middle of them. Its connection stays, and a
   question that waited as long as it is open would keep the asker from asking another one. */
static void
test_server_stops_in_the_middle (void)
{
  Server server = ask (PIECES / 2, PIECE_BYTES, PIECES * PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT (server.received >= PIECE_BYTES);
}

/* Story: the link of the front that gives its rows hardly moves, a byte now and then. Others have
   the rows, too; who waited for each byte would wait for hours. */
static void
test_server_trickles (void)
{
  Server server = ask (PIECES * PIECE_BYTES, 1, PIECES * PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT (server.pieces < PIECES * PIECE_BYTES);
}

/* Story: something else answers at a front's address, with bytes that don't end. They arrive as
   fast as can be, and the front that waits for the last one is killed for its memory. */
static void
test_answer_without_end (void)
{
  Server server = ask (LARGE_PIECES, LARGE_PIECE_BYTES, LARGE_PIECES * LARGE_PIECE_BYTES);

  CU_ASSERT (server.has_answered);
  CU_ASSERT_EQUAL (server.status, 0);
  CU_ASSERT (server.received < LARGE_PIECES * LARGE_PIECE_BYTES);
}

static const SuiteCase cases[] = {
  { "slow_link", test_slow_link },
  { "silent_server", test_silent_server },
  { "server_stops_in_the_middle", test_server_stops_in_the_middle },
  { "server_trickles", test_server_trickles },
  { "answer_without_end", test_answer_without_end },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_channel", cases, SUITE_COUNT (cases));
}
