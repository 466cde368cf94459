#include "front_http.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_socket.h"
#include "http_arrival.h"
#include "http_request_parser.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <event2/buffer.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define BACKLOG        256
#define HEAD_MAX_BYTES 4096
#define BUFFER_BYTES   16384 /* of a connection in the kernel, each way */
#define TCP_TIMEOUT_MS 6000  /* without an acknowledgement */
/* Milliseconds after which a connection is closed that is idle, within a request, or whose caller
 * takes nothing of an answer. Other fronts ask again sooner. */
#define IDLE_MS 50000
/* The same for an answer of which nothing is taken, while there is no room for another connection.
 */
#define UNREAD_MS 1000

struct FrontHttpConn
{
  struct cds_list_head node;
  FrontHttp *http;
  struct bufferevent *bev;
  HttpRequestParser parser;
  bool has_request; /* that is not answered yet */
  bool is_closing;  /* after its output is written */
  bool is_reading;
  int64_t
      since_ms; /* the first byte of a request, the end of an answer, or progress of its output */
};

struct FrontHttp
{
  FrontHttpOptions options;
  struct event_base *base;
  struct evconnlistener *listener;
  struct cds_list_head conns; /* FrontHttpConn by node, in the order in which they were last idle */
  unsigned count;
};

static const HttpRequestLimits limits = { .head_max = HEAD_MAX_BYTES, .body_max = 0 };

static void
conn_free (FrontHttpConn *conn)
{
  FrontHttp *http = conn->http;

  if (conn->has_request && http->options.closed)
    http->options.closed (conn, http->options.user);
  cds_list_del (&conn->node);
  http->count--;
  http_request_parser_reset (&conn->parser);
  bufferevent_free (conn->bev);
  free (conn);
}

static size_t
unread (const FrontHttpConn *conn)
{
  return evbuffer_get_length (bufferevent_get_output (conn->bev));
}

static void
idle_begin (FrontHttpConn *conn)
{
  conn->since_ms = clock_boot_ms ();
  cds_list_del (&conn->node);
  cds_list_add_tail (&conn->node, &conn->http->conns);
}

static void
write_answer (FrontHttpConn *conn, int status, const char *fields, const Buffer *body)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  conn->is_closing |= !conn->parser.keep_alive;
  evbuffer_add_printf (output, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s%s\r\n", status,
                       http_status_str ((enum http_status)status), body ? body->len : 0,
                       fields ? fields : "", conn->is_closing ? "Connection: close\r\n" : "");
  if (body)
    evbuffer_add (output, body->data, body->len);
  http_request_parser_reset (&conn->parser);
  idle_begin (conn);
}

static void
refuse (FrontHttpConn *conn, int status)
{
  conn->is_closing = true;
  write_answer (conn, status, NULL, NULL);
}

/* False: nothing more can be read now. */
static bool
read_some (FrontHttpConn *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);
  size_t len = evbuffer_get_contiguous_space (input), used;
  const char *data = (const char *)evbuffer_pullup (input, (ev_ssize_t)len);
  HttpParseResult result;

  if (len == 0 || conn->has_request || conn->is_closing || unread (conn) > 0)
    return false;
  if (!http_request_parser_started (&conn->parser))
    conn->since_ms = clock_boot_ms ();
  result = http_request_parser_feed (&conn->parser, data, len, &used);
  evbuffer_drain (input, used);
  if (result == HTTP_PARSE_REFUSED)
    refuse (conn, conn->parser.refuse_status);
  conn->has_request = result == HTTP_PARSE_DONE;
  return true;
}

static void
handle_request (FrontHttpConn *conn)
{
  Buffer path = { 0 };

  buffer_add (&path, conn->parser.target.text, conn->parser.target.len);
  conn->http->options.request (conn, path.data, conn->http->options.user);
  buffer_free (&path);
}

static void
conn_read (FrontHttpConn *conn)
{
  conn->is_reading = true;
  while (read_some (conn))
    {
      if (conn->has_request)
        handle_request (conn);
    }
  conn->is_reading = false;
}

void
front_http_answer (FrontHttpConn *conn, int status, const char *fields, const Buffer *body)
{
  conn->has_request = false;
  write_answer (conn, status, fields, body);
}

static void
on_read (struct bufferevent *bev UNUSED, void *user)
{
  conn_read (user);
}

static void
on_written (struct bufferevent *bev UNUSED, void *user)
{
  FrontHttpConn *conn = user;

  if (conn->is_closing)
    conn_free (conn);
  else
    conn_read (conn);
}

static void
on_event (struct bufferevent *bev UNUSED, short what UNUSED, void *user)
{
  conn_free (user);
}

static void
on_taken (struct evbuffer *output UNUSED, const struct evbuffer_cb_info *info, void *user)
{
  FrontHttpConn *conn = user;

  if (info->n_deleted > 0)
    conn->since_ms = clock_boot_ms ();
}

/* Milliseconds by which a caller holds back its request or doesn't take its answer; 0 or less: it
 * doesn't. */
static int64_t
held_back_ms (const FrontHttpConn *conn, int64_t now_ms)
{
  int64_t passed_ms = now_ms - conn->since_ms;

  if (unread (conn) > 0)
    return passed_ms - UNREAD_MS;
  if (!conn->has_request && http_request_parser_started (&conn->parser))
    return http_arrival_late_ms (passed_ms, conn->parser.raw.len);
  return 0;
}

/* Closes the connection whose caller holds back for longest, else the one that has been idle for
 * longest. False: all have a request that is being answered. */
static bool
close_one (FrontHttp *http, int64_t now_ms)
{
  FrontHttpConn *conn, *chosen = NULL;
  int64_t most_ms = 0;

  cds_list_for_each_entry (conn, &http->conns, node)
  {
    int64_t ms = held_back_ms (conn, now_ms);
    bool is_idle
        = !conn->has_request && unread (conn) == 0 && !http_request_parser_started (&conn->parser);

    if (ms <= most_ms && (chosen || !is_idle))
      continue;
    chosen = conn;
    most_ms = ms > 0 ? ms : 0;
  }
  if (!chosen)
    return false;
  front_counter_add (FRONT_COUNTER_CONTROL_CLOSED);
  conn_free (chosen);
  return true;
}

static void
conn_new (FrontHttp *http, evutil_socket_t fd)
{
  FrontHttpConn *conn = memory_alloc (sizeof *conn);

  conn->http = http;
  conn->since_ms = clock_boot_ms ();
  front_socket_set_options (fd, TCP_TIMEOUT_MS);
  conn->bev = bufferevent_socket_new (http->base, fd, BEV_OPT_CLOSE_ON_FREE);
  http_request_parser_init (&conn->parser, &limits);
  cds_list_add_tail (&conn->node, &http->conns);
  http->count++;
  bufferevent_setcb (conn->bev, on_read, on_written, on_event, conn);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, HEAD_MAX_BYTES);
  evbuffer_add_cb (bufferevent_get_output (conn->bev), on_taken, conn);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
}

static void
on_accept (struct evconnlistener *listener UNUSED,
           evutil_socket_t fd,
           struct sockaddr *from UNUSED,
           int len UNUSED,
           void *user)
{
  FrontHttp *http = user;

  if (http->count < http->options.connections_max || close_one (http, clock_boot_ms ()))
    conn_new (http, fd);
  else
    evutil_closesocket (fd);
}

FrontHttp *
front_http_new (struct event_base *base, const char *address, const FrontHttpOptions *options)
{
  struct sockaddr_in parsed;
  FrontHttp *http;

  if (!front_socket_parse_address (address, &parsed))
    return NULL;
  http = memory_alloc (sizeof *http);
  http->options = *options;
  http->base = base;
  CDS_INIT_LIST_HEAD (&http->conns);
  http->listener
      = evconnlistener_new_bind (base, on_accept, http, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                 BACKLOG, (struct sockaddr *)&parsed, sizeof parsed);
  if (http->listener)
    {
      front_socket_set_receive_buffer (evconnlistener_get_fd (http->listener), BUFFER_BYTES);
      front_socket_set_send_buffer (evconnlistener_get_fd (http->listener), BUFFER_BYTES);
      return http;
    }
  free (http);
  return NULL;
}

void
front_http_free (FrontHttp *http)
{
  FrontHttpConn *conn, *next;

  http->options.closed = NULL;
  cds_list_for_each_entry_safe (conn, next, &http->conns, node) conn_free (conn);
  evconnlistener_free (http->listener);
  free (http);
}

void
front_http_sweep (FrontHttp *http, int64_t now_ms)
{
  FrontHttpConn *conn, *next;

  cds_list_for_each_entry_safe (conn, next, &http->conns, node)
  {
    if (!conn->has_request && now_ms - conn->since_ms > IDLE_MS)
      conn_free (conn);
  }
}

unsigned
front_http_count (const FrontHttp *http)
{
  return http->count;
}
