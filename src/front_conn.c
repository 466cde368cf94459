#include "front_conn_private.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_call.h"
#include <event2/buffer.h>
#include <stdlib.h>

/* Used before there is a configuration: the platform's usual limits. */
#define HEADER_MAX_BYTES_DEFAULT 16384
#define BODY_MAX_BYTES_DEFAULT   4194304
#define IDLE_TIMEOUT_DEFAULT_MS  15000
/* Idle connections are kept this much longer than callers may reuse them, so that no request
 * arrives while its connection is being closed. */
#define IDLE_FACTOR 1.25

static HttpRequestLimits
current_limits (const Front *front)
{
  if (!front->config)
    return (HttpRequestLimits){ .head_max = HEADER_MAX_BYTES_DEFAULT,
                                .body_max = BODY_MAX_BYTES_DEFAULT };
  return (HttpRequestLimits){
    .head_max = (size_t)front->config->limits.header_max_bytes,
    .body_max = (size_t)front->config->limits.body_max_bytes,
  };
}

void
conn_idle_begin (FrontConn *conn)
{
  const FrontConfig *config = conn->front->config;
  int64_t wait_ms = config ? config->limits.idle_timeout_ms : IDLE_TIMEOUT_DEFAULT_MS;

  conn->since_ms = clock_boot_ms ();
  conn->idle_timeout_ms = (int64_t)((double)wait_ms * IDLE_FACTOR);
  cds_list_del (&conn->node);
  cds_list_add_tail (&conn->node, &conn->front->conns);
}

void
conn_free (FrontConn *conn)
{
  if (conn->freed)
    return;
  conn->freed = true;
  if (conn->request)
    front_request_cancel (conn->request);
  conn->request = NULL;
  conn->front->conn_count--;
  bufferevent_free (conn->bev);
  conn->bev = NULL;
  http_request_parser_reset (&conn->request_parser);
  conn_account (conn);
}

void
conn_destroy (FrontConn *conn)
{
  cds_list_del (&conn->node);
  free (conn);
}

HttpRequestParser *
front_conn_request_parser (FrontConn *conn)
{
  return &conn->request_parser;
}

size_t
conn_unread (const FrontConn *conn)
{
  return conn->bev ? evbuffer_get_length (bufferevent_get_output (conn->bev)) : 0;
}

bool
conn_is_arriving (const FrontConn *conn)
{
  return !conn->freed && !conn->closing && !conn->request
         && http_request_parser_started (&conn->request_parser);
}

void
conn_refuse (FrontConn *conn, int status, int64_t retry_after_ms)
{
  Buffer head = { 0 };
  FrontLine *line = front_log_begin (FRONT_EVENT_BAD_REQUEST);

  front_log_number (line, "status", status);
  front_log_end (line);
  front_counter_add (FRONT_COUNTER_BAD_REQUESTS);
  wire_refusal_encode (&head, status, (Span){ 0 }, retry_after_ms);
  conn->request_parser.keep_alive = false;
  front_conn_answer (conn, &head, &(Buffer){ 0 });
  buffer_free (&head);
}

/* Whether the request can be served besides what is held for others. */
static bool
has_room (FrontConn *conn)
{
  conn_account (conn);
  return !front_memory_is_over (&conn->front->memory);
}

static void
start_request (FrontConn *conn)
{
  if (!has_room (conn))
    {
      conn_log_room (conn, "refused", 0);
      conn_refuse (conn, HTTP_STATUS_SERVICE_UNAVAILABLE, CONN_RETRY_AFTER_FULL_MS);
      return;
    }
  conn->since_ms = clock_boot_ms ();
  conn->chunked = false;
  if (conn->has_served)
    front_link_count_request (&conn->front->link);
  conn->has_served = true;
  conn->request = front_request_new (conn->front, conn);
  front_request_start (conn->request);
}

/* Returns false when nothing more can be read now; the connection may have been freed. */
static bool
read_some (FrontConn *conn)
{
  struct evbuffer *input = conn->freed ? NULL : bufferevent_get_input (conn->bev);
  size_t len = input ? evbuffer_get_contiguous_space (input) : 0, used;

  /* Of requests sent one after the other each waits for the answer before it to be taken: a caller
   * that reads none would pile up any number of them. */
  if (len == 0 || conn->request || conn->closing || conn_unread (conn) > 0)
    return false;
  if (!http_request_parser_started (&conn->request_parser))
    {
      conn->request_parser.limits = current_limits (conn->front);
      conn->since_ms = clock_boot_ms ();
    }
  switch (http_request_parser_feed (
      &conn->request_parser, (const char *)evbuffer_pullup (input, (ev_ssize_t)len), len, &used))
    {
    case HTTP_PARSE_DONE:
      evbuffer_drain (input, used);
      start_request (conn);
      return true;
    case HTTP_PARSE_REFUSED:
      evbuffer_drain (input, len);
      conn_refuse (conn, conn->request_parser.refuse_status, 0);
      return false;
    case HTTP_PARSE_MORE:
      break;
    }
  evbuffer_drain (input, used);
  if (conn->request_parser.wants_continue)
    evbuffer_add_printf (bufferevent_get_output (conn->bev), "HTTP/1.1 100 Continue\r\n\r\n");
  conn->request_parser.wants_continue = false;
  return true;
}

void
conn_read (FrontConn *conn)
{
  conn->reading = true;
  while (read_some (conn))
    continue;
  conn->reading = false;
}

/* Makes room first, so that no request is refused for what others hold back. To be called by
 * callbacks of the event loop only, as conn_relieve. */
static void
read_and_relieve (FrontConn *conn)
{
  Front *front = conn->front;

  conn_account (conn);
  conn_relieve (front);
  if (!conn->freed)
    conn_read (conn);
  conn_account (conn);
  conn_relieve (front);
}

static void
on_read (struct bufferevent *bev UNUSED, void *user)
{
  read_and_relieve (user);
}

static void
on_written (struct bufferevent *bev UNUSED, void *user)
{
  FrontConn *conn = user;

  if (conn->closing)
    conn_close_written (conn);
  else if (conn->request)
    front_request_drained (conn->request);
  else
    read_and_relieve (conn);
}

static void
on_event (struct bufferevent *bev UNUSED, short what UNUSED, void *user)
{
  FrontConn *conn = user;

  if (!conn->request && conn_unread (conn) > 0)
    conn_log_lost (conn, "answer_not_read");
  conn_free (conn);
}

static void
on_output_changed (struct evbuffer *output UNUSED, const struct evbuffer_cb_info *info, void *user)
{
  FrontConn *conn = user;

  if (info->n_deleted > 0 || info->orig_size == 0)
    conn->taken_ms = clock_boot_ms ();
  conn_account (conn);
}

void
front_conn_bound (evutil_socket_t listener)
{
  front_socket_set_orphan_timeout (listener, CONN_TCP_TIMEOUT_MS);
  front_socket_set_receive_buffer (listener, CONN_BUFFER_BYTES);
  front_socket_set_send_buffer (listener, CONN_BUFFER_BYTES);
}

void
front_conn_new (Front *front, evutil_socket_t fd)
{
  FrontConn *conn = memory_alloc (sizeof *conn);
  HttpRequestLimits limits = current_limits (front);

  conn->front = front;
  front_socket_set_options (fd, CONN_TCP_TIMEOUT_MS);
  conn->bev = bufferevent_socket_new (front->base, fd, BEV_OPT_CLOSE_ON_FREE);
  front_socket_count (conn->bev, &front->link);
  evbuffer_add_cb (bufferevent_get_output (conn->bev), on_output_changed, conn);
  http_request_parser_init (&conn->request_parser, &limits);
  cds_list_add_tail (&conn->node, &front->conns);
  conn_idle_begin (conn);
  front->conn_count++;
  conn_account (conn);
  bufferevent_setcb (conn->bev, on_read, on_written, on_event, conn);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, CONN_READ_AHEAD_BYTES);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
}
