/* Writes answers to a caller's connection. */
#include "front_conn_private.h"
#include "front_log.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_unused.h"
#include <event2/buffer.h>
#include <stdlib.h>

/* Bytes of output that the caller has not read yet, above which its backend server is no longer
 * read from. */
#define OUTPUT_MAX_BYTES 65536

void
conn_close_written (FrontConn *conn)
{
  if (conn->is_reset_on_close && !conn->is_streaming)
    front_socket_set_reset_on_close (bufferevent_getfd (conn->bev), false);
  conn_free (conn);
}

static void
close_when_written (FrontConn *conn)
{
  conn->closing = true;
  conn->since_ms = clock_boot_ms ();
  bufferevent_disable (conn->bev, EV_READ);
  if (conn_unread (conn) == 0)
    conn_close_written (conn);
}

static void
write_head (FrontConn *conn, const Buffer *head)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  conn->close_after = !conn->request_parser.keep_alive || conn->front->stop_requested_ms != 0;
  evbuffer_add (output, head->data, head->len);
  if (conn->close_after)
    evbuffer_add_printf (output, "Connection: close\r\n");
}

/* Called when the answer is written: closes the connection or reads the next request, which may be
 * in the input buffer already. */
static void
on_answer_written (FrontConn *conn)
{
  conn->request = NULL;
  http_request_parser_reset (&conn->request_parser);
  conn_account (conn);
  if (conn->close_after)
    {
      close_when_written (conn);
      return;
    }
  conn_idle_begin (conn);
  if (!conn->reading && evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    conn_read (conn);
}

static void
free_body (const void *data UNUSED, size_t len UNUSED, void *body)
{
  free (body);
}

void
conn_log_lost (const FrontConn *conn, const char *reason)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_CALLER_LOST);

  front_log_text (line, "reason", reason);
  front_log_number (line, "unread", (int64_t)conn_unread (conn));
  front_log_number (line, "for_ms", clock_boot_ms () - conn->since_ms);
  front_log_end (line);
}

void
front_conn_answer (FrontConn *conn, const Buffer *head, Buffer *body)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  if (conn->is_streaming)
    {
      conn_log_lost (conn, "stream_begun");
      buffer_free (body);
      front_conn_abort (conn);
      return;
    }
  write_head (conn, head);
  evbuffer_add_printf (output, "Content-Length: %zu\r\n\r\n", body->len);
  if (body->len > 0
      && evbuffer_add_reference (output, body->data, body->len, free_body, body->data) == 0)
    *body = (Buffer){ 0 };
  buffer_free (body);
  on_answer_written (conn);
}

void
front_conn_stream_begin (FrontConn *conn, const Buffer *head)
{
  struct evbuffer *output = bufferevent_get_output (conn->bev);

  conn->is_streaming = true;
  conn->chunked = conn->request_parser.parser.http_minor > 0;
  /* Without chunks an orderly close marks the end of the answer. */
  if (!conn->chunked)
    {
      conn->request_parser.keep_alive = false;
      conn->is_reset_on_close = true;
      front_socket_set_reset_on_close (bufferevent_getfd (conn->bev), true);
    }
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
  conn->is_streaming = false;
  on_answer_written (conn);
}

void
front_conn_abort (FrontConn *conn)
{
  conn->request = NULL;
  conn->closing = true;
  conn->since_ms = clock_boot_ms ();
  http_request_parser_reset (&conn->request_parser);
  conn_account (conn);
  bufferevent_disable (conn->bev, EV_READ);
  if (!conn->chunked || conn_unread (conn) == 0)
    conn_free (conn);
}

bool
front_conn_output_is_full (const FrontConn *conn)
{
  return conn_unread (conn) > OUTPUT_MAX_BYTES;
}
