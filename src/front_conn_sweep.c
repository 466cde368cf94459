/* Applies the time-outs of callers' connections. */
#include "front_conn_private.h"
#include "util_clock.h"

#define HEADER_TIMEOUT_DEFAULT_MS 3000 /* before there is a configuration */
/* Milliseconds after a stop request during which the load balancer may still direct callers here.
 * Until then idle connections stay open for one more request; its answer closes them. */
#define STOP_IDLE_MS 2500

/* A caller may take a long answer slowly: only one that takes none of it is given up. */
static bool
is_given_up (const FrontConn *conn, int64_t now_ms)
{
  int64_t moved_ms = conn->taken_ms > conn->since_ms ? conn->taken_ms : conn->since_ms;

  return now_ms - moved_ms > CONN_TCP_TIMEOUT_MS;
}

static int64_t
header_timeout_ms (const Front *front)
{
  return front->config ? front->config->limits.header_timeout_ms : HEADER_TIMEOUT_DEFAULT_MS;
}

/* True for a new connection whose caller may be about to send its request. */
static bool
awaits_first_request (const FrontConn *conn, int64_t now_ms)
{
  return !conn->has_served && !conn->closing
         && now_ms - conn->since_ms <= header_timeout_ms (conn->front);
}

static bool
is_idle_too_long (const FrontConn *conn, int64_t now_ms)
{
  int64_t stop_ms = conn->front->stop_requested_ms;

  if (now_ms - conn->since_ms > conn->idle_timeout_ms)
    return true;
  return stop_ms != 0 && now_ms - stop_ms > STOP_IDLE_MS && !awaits_first_request (conn, now_ms);
}

static void
sweep_one (FrontConn *conn, int64_t now_ms)
{
  int64_t passed_ms = now_ms - conn->since_ms;
  int64_t header_ms = header_timeout_ms (conn->front);

  /* Unsent output belongs to an answer that the caller waits for. */
  bool written = conn_unread (conn) == 0;

  if (conn->request)
    return;
  if (conn->closing)
    {
      if (is_given_up (conn, now_ms))
        {
          conn_log_lost (conn, "answer_not_read");
          conn_free (conn);
        }
    }
  else if (http_request_parser_started (&conn->request_parser))
    {
      if (front_stop_left_ms (conn->front, now_ms) <= 0)
        conn_refuse (conn, HTTP_STATUS_SERVICE_UNAVAILABLE, FRONT_RETRY_AFTER_STOPPING_MS);
      else if (!conn->request_parser.in_body && passed_ms > header_ms + header_ms / 2)
        conn_refuse (conn, HTTP_STATUS_REQUEST_TIMEOUT, 0);
      else if (passed_ms > 2 * conn->idle_timeout_ms)
        {
          conn_log_lost (conn, "request_too_slow");
          conn_free (conn);
        }
    }
  else if (!written)
    return;
  else if (is_idle_too_long (conn, now_ms))
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
  conn_relieve (front);
}

bool
front_conn_all_done (const Front *front, int64_t now_ms)
{
  const FrontConn *conn;

  cds_list_for_each_entry (conn, &front->conns, node)
  {
    if (conn->freed)
      continue;
    if (conn_unread (conn) > 0 || conn_is_arriving (conn) || awaits_first_request (conn, now_ms))
      return false;
  }
  return true;
}
