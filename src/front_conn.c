#include "front_conn.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_request.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_call.h"
#include <event2/buffer.h>
#include <stdlib.h>

/* Bytes written and not yet taken by the caller from which its backend server is no longer read. */
#define OUTPUT_MOST 262144
/* Bytes of later requests that are read while one is being answered. */
#define AHEAD_MOST 65536
/* Used before there is a configuration; the platform's usual limits. */
#define HEADER_MOST_DEFAULT 16384
#define BODY_MOST_DEFAULT   4194304
#define HEADER_WAIT_MS      3000
#define IDLE_WAIT_MS        15000
/* Milliseconds without an acknowledgement after which a caller is gone. */
#define SILENT_MS 6000
/* Idle connections live this much longer than callers may reuse them, so that no request crosses
 * the close. */
#define IDLE_MORE 1.25
/* Milliseconds of a stop during which the balancer may still send callers, and idle connections
 * are kept for their next request, which is answered and then closed. */
#define STOP_IDLE_MS 2500

struct FrontConn
{
  struct cds_list_head node;
  Front *front;
  struct bufferevent *bev;
  HttpRequestParser intake;
  FrontRequest *request; /* being answered; NULL: none */
  bool reading;          /* guards against reading the next request within the last one's start */
  bool close_after;      /* the answer in progress is the last one */
  bool chunked;
  bool freed;       /* nothing may use it any more */
  bool closing;     /* nothing more is read; freed when all is written */
  int64_t since_ms; /* last change between idle, reading a request, answering it */
  int64_t idle_wait_ms;
};

static void conn_read (FrontConn *conn);

static HttpRequestLimits
limits_now (const Front *front)
{
  if (!front->config)
    return (HttpRequestLimits){ .head_max = HEADER_MOST_DEFAULT, .body_max = BODY_MOST_DEFAULT };
  return (HttpRequestLimits){
    .head_max = (size_t)front->config->limits.header_max_bytes,
    .body_max = (size_t)front->config->limits.body_max_bytes,
  };
}

/* A limit that was lowered since binds only connections that became idle after that: callers go by
 * what was in force when they began to wait. */
static void
idle_begin (FrontConn *conn)
{
  const FrontConfig *config = conn->front->config;
  int64_t wait_ms = config ? config->limits.idle_timeout_ms : IDLE_WAIT_MS;

  conn->since_ms = clock_boot_ms ();
  conn->idle_wait_ms = (int64_t)((double)wait_ms * IDLE_MORE);
}

/* Ends the connection at once. The callers of this function may still look at conn, so its memory
 * is given back by the next sweep. */
static void
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
}

static void
conn_destroy (FrontConn *conn)
{
  cds_list_del (&conn->node);
  http_request_parser_reset (&conn->intake);
  free (conn);
}

static void
close_when_written (FrontConn *conn)
{
  conn->closing = true;
  conn->since_ms = clock_boot_ms ();
  bufferevent_disable (conn->bev, EV_READ);
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0)
    conn_free (conn);
}

static void
write_head (FrontConn *conn, const Buffer *head)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  conn->close_after = !conn->intake.keep_alive || conn->front->stop_ms != 0;
  evbuffer_add (output, head->data, head->len);
  if (conn->close_after)
    evbuffer_add_printf (output, "Connection: close\r\n");
}

/* The answer is written; on to the next request. The caller's buffers may hold it already. */
static void
answer_done (FrontConn *conn)
{
  conn->request = NULL;
  if (conn->close_after)
    {
      close_when_written (conn);
      return;
    }
  http_request_parser_reset (&conn->intake);
  idle_begin (conn);
  if (!conn->reading && evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    conn_read (conn);
}

void
front_conn_answer (FrontConn *conn, const Buffer *head, const void *body, size_t len)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  write_head (conn, head);
  evbuffer_add_printf (output, "Content-Length: %zu\r\n\r\n", len);
  evbuffer_add (output, body, len);
  answer_done (conn);
}

void
front_conn_stream_begin (FrontConn *conn, const Buffer *head)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  conn->chunked = conn->intake.parser.http_minor > 0;
  if (!conn->chunked)
    conn->intake.keep_alive = false;
  write_head (conn, head);
  evbuffer_add_printf (output, "%s\r\n", conn->chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void
front_conn_stream_data (FrontConn *conn, const void *data, size_t len)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  if (len == 0)
    return;
  if (conn->chunked)
    evbuffer_add_printf (output, "%zx\r\n", len);
  evbuffer_add (output, data, len);
  if (conn->chunked)
    evbuffer_add (output, "\r\n", 2);
}

void
front_conn_stream_end (FrontConn *conn)
{
  if (conn->chunked)
    evbuffer_add_printf (bufferevent_get_output (conn->bev), "0\r\n\r\n");
  answer_done (conn);
}

/* Without chunks an orderly close would look like the end of the answer: a reset doesn't. */
void
front_conn_abort (FrontConn *conn)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  conn->request = NULL;
  if (!conn->chunked)
    setsockopt (bufferevent_getfd (conn->bev), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  conn->closing = true;
  conn->since_ms = clock_boot_ms ();
  bufferevent_disable (conn->bev, EV_READ);
  if (!conn->chunked || evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0)
    conn_free (conn);
}

bool
front_conn_is_full (const FrontConn *conn)
{
  return evbuffer_get_length (bufferevent_get_output (conn->bev)) > OUTPUT_MOST;
}

HttpRequestParser *
front_conn_intake (FrontConn *conn)
{
  return &conn->intake;
}

static void
refuse_bytes (FrontConn *conn, int status)
{
  Buffer head = { 0 };
  FrontLine *line = front_log_begin (FRONT_EVENT_BAD_REQUEST);

  front_log_number (line, "status", status);
  front_log_end (line);
  front_counter_add (FRONT_COUNTER_BAD_REQUESTS);
  wire_refusal_encode (&head, status, (Span){ 0 }, 0);
  conn->intake.keep_alive = false;
  front_conn_answer (conn, &head, "", 0);
  buffer_free (&head);
}

static void
take_request (FrontConn *conn)
{
  conn->since_ms = clock_boot_ms ();
  conn->chunked = false;
  conn->request = front_request_new (conn->front, conn);
  front_request_start (conn->request);
}

/* Returns false once no more is to be read now; the connection may be gone then. */
static bool
read_some (FrontConn *conn)
{
  struct evbuffer *input = conn->freed ? NULL : bufferevent_get_input (conn->bev);
  size_t len = input ? evbuffer_get_contiguous_space (input) : 0, used;

  if (len == 0 || conn->request || conn->closing)
    return false;
  if (!http_request_parser_started (&conn->intake))
    {
      conn->intake.limits = limits_now (conn->front);
      conn->since_ms = clock_boot_ms ();
    }
  switch (http_request_parser_feed (
      &conn->intake, (const char *)evbuffer_pullup (input, (ev_ssize_t)len), len, &used))
    {
    case HTTP_PARSE_DONE:
      evbuffer_drain (input, used);
      take_request (conn);
      return true;
    case HTTP_PARSE_REFUSED:
      evbuffer_drain (input, len);
      refuse_bytes (conn, conn->intake.refuse_status);
      return false;
    case HTTP_PARSE_MORE:
      break;
    }
  evbuffer_drain (input, used);
  if (conn->intake.wants_continue)
    evbuffer_add_printf (bufferevent_get_output (conn->bev), "HTTP/1.1 100 Continue\r\n\r\n");
  conn->intake.wants_continue = false;
  return true;
}

static void
conn_read (FrontConn *conn)
{
  conn->reading = true;
  while (read_some (conn))
    continue;
  conn->reading = false;
}

static void
on_read (struct bufferevent *bev UNUSED, void *user)
{
  conn_read (user);
}

static void
on_written (struct bufferevent *bev UNUSED, void *user)
{
  FrontConn *conn = user;

  if (conn->closing)
    conn_free (conn);
  else if (conn->request)
    front_request_caller_reads (conn->request);
}

static void
on_event (struct bufferevent *bev UNUSED, short what UNUSED, void *user)
{
  conn_free (user);
}

void
front_conn_new (Front *front, evutil_socket_t fd)
{
  FrontConn *conn = memory_alloc (sizeof *conn);
  HttpRequestLimits limits = limits_now (front);

  conn->front = front;
  front_socket_watch (fd, SILENT_MS);
  conn->bev = bufferevent_socket_new (front->base, fd, BEV_OPT_CLOSE_ON_FREE);
  http_request_parser_init (&conn->intake, &limits);
  idle_begin (conn);
  cds_list_add_tail (&conn->node, &front->conns);
  front->conn_count++;
  bufferevent_setcb (conn->bev, on_read, on_written, on_event, conn);
  bufferevent_setwatermark (conn->bev, EV_READ, 0, AHEAD_MOST);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
}

static void
sweep_one (FrontConn *conn, int64_t now_ms)
{
  const FrontConfig *config = conn->front->config;
  int64_t passed_ms = now_ms - conn->since_ms;
  int64_t header_ms = config ? config->limits.header_timeout_ms : HEADER_WAIT_MS;

  /* What is still being written belongs to an answer that the caller waits for. */
  bool written = evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0;

  if (conn->request)
    return;
  if (conn->closing)
    {
      if (passed_ms > SILENT_MS)
        conn_free (conn);
    }
  else if (http_request_parser_started (&conn->intake))
    {
      if (!conn->intake.in_body && passed_ms > header_ms + header_ms / 2)
        refuse_bytes (conn, 408);
      else if (passed_ms > 2 * conn->idle_wait_ms)
        conn_free (conn);
    }
  else if (!written)
    return;
  else if (passed_ms > conn->idle_wait_ms
           || (conn->front->stop_ms != 0 && now_ms - conn->front->stop_ms > STOP_IDLE_MS))
    conn_free (conn);
}

void
front_conn_sweep (Front *front, int64_t now_ms)
{
  FrontConn *conn, *next;

  cds_list_for_each_entry_safe (conn, next, &front->conns, node)
  {
    if (conn->freed)
      conn_destroy (conn);
    else
      sweep_one (conn, now_ms);
  }
}

bool
front_conn_all_written (const Front *front)
{
  const FrontConn *conn;

  cds_list_for_each_entry (conn, &front->conns, node)
  {
    if (!conn->freed && evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
      return false;
  }
  return true;
}
