/* Which connections make room for others. First those whose callers hold something back: a request
 * that arrives too slowly, an answer that isn't taken. Then, for memory, the requests that began to
 * arrive last: they have not run and are refused, so that the ones before them can be completed. At
 * last the answers of which most is unread while others wait for memory, then those that wait, the
 * last first. For a new connection idle ones, the one idle for longest first. Other requests that
 * are being answered stay. */
#include "front_attempt.h"
#include "front_conn_private.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_socket.h"
#include "util_clock.h"
#include <event2/buffer.h>

/* Milliseconds without a byte taken after which an answer counts as held back by its caller: a lost
 * packet is sent again sooner. */
#define UNREAD_MS 1000
/* Memory of a connection besides what its buffers hold, with the request that it carries. */
#define CONN_BYTES 8192
/* Bytes in the kernel's buffer for an answer of which much is unread. */
#define LARGE_SEND_BUFFER_BYTES 65536

void
conn_log_room (const FrontConn *conn, const char *reason, int64_t for_ms)
{
  const FrontMemory *memory = &conn->front->memory;
  FrontLine *line = front_log_begin (FRONT_EVENT_ROOM);

  front_log_text (line, "reason", reason);
  front_log_number (line, "for_ms", for_ms);
  front_log_number (line, "received", (int64_t)conn->held[MEMORY_REQUESTS]);
  front_log_number (line, "body", (int64_t)conn->held[MEMORY_BODIES]);
  front_log_number (line, "unread", (int64_t)conn_unread (conn));
  front_log_number (line, "held", (int64_t)front_memory_held (memory));
  front_log_number (line, "most", (int64_t)memory->max);
  front_log_number (line, "connections", conn->front->conn_count);
  front_log_end (line);
}

/* A small buffer would make a long answer slow. */
static void
enlarge_send_buffer (FrontConn *conn)
{
  if (conn->has_large_buffer)
    return;
  conn->has_large_buffer = true;
  front_socket_set_send_buffer (bufferevent_getfd (conn->bev), LARGE_SEND_BUFFER_BYTES);
}

static void
set_held (FrontConn *conn, MemoryUse use, size_t bytes)
{
  front_memory_change (&conn->front->memory, use, conn->held[use], bytes);
  conn->held[use] = bytes;
}

/* What has arrived and was not parsed yet; where that is as much as may be read ahead, the kernel's
 * buffer fills, too. */
static size_t
unparsed (const FrontConn *conn)
{
  size_t len = evbuffer_get_length (bufferevent_get_input (conn->bev));

  return len < CONN_READ_AHEAD_BYTES ? len : len + CONN_BUFFER_BYTES;
}

static void
account_nothing (FrontConn *conn)
{
  for (unsigned i = 0; i < MEMORY_USES; i++)
    set_held (conn, (MemoryUse)i, 0);
}

void
conn_account (FrontConn *conn)
{
  const HttpRequestParser *parser = &conn->request_parser;
  size_t body = parser->body.len;
  size_t unread = conn_unread (conn);
  bool is_long = body > MEMORY_SHORT_BODY_BYTES;

  if (conn->freed)
    {
      account_nothing (conn);
      return;
    }
  if (unread > MEMORY_SHORT_BODY_BYTES)
    enlarge_send_buffer (conn);
  set_held (conn, MEMORY_REQUESTS,
            CONN_BYTES + parser->raw.len + parser->head.len + unparsed (conn)
                + (is_long ? 0 : body));
  set_held (conn, MEMORY_BODIES, is_long ? body : 0);
  set_held (conn, MEMORY_UNREAD, unread + (conn->has_large_buffer ? LARGE_SEND_BUFFER_BYTES : 0));
}

/* Milliseconds by which a request is late to arrive, or for which no byte of an answer was taken
 * beyond what is usual; 0 or less: its caller holds nothing back. */
static int64_t
late_ms (const FrontConn *conn, int64_t now_ms)
{
  const HttpRequestParser *parser = &conn->request_parser;

  if (!conn_is_arriving (conn))
    return 0;
  return http_arrival_late_ms (now_ms - conn->since_ms,
                               parser->raw.len + parser->head.len + parser->body.len);
}

static int64_t
unread_ms (const FrontConn *conn, int64_t now_ms)
{
  return conn_unread (conn) > 0 ? now_ms - conn->taken_ms - UNREAD_MS : 0;
}

typedef int64_t (*HeldBackMs) (const FrontConn *conn, int64_t now_ms);

/* The connection whose caller holds back for longest what use counts; NULL: none does. */
static FrontConn *
most_held_back (const Front *front, MemoryUse use, HeldBackMs held_back, int64_t now_ms)
{
  FrontConn *conn, *most = NULL;
  int64_t most_ms = 0;

  cds_list_for_each_entry (conn, &front->conns, node)
  {
    int64_t ms = conn->held[use] > 0 ? held_back (conn, now_ms) : 0;

    if (ms <= most_ms)
      continue;
    most = conn;
    most_ms = ms;
  }
  return most;
}

static FrontConn *
last_to_arrive (const Front *front, MemoryUse use)
{
  FrontConn *conn, *last = NULL;

  cds_list_for_each_entry (conn, &front->conns, node)
  {
    if (conn->held[use] > 0 && conn_is_arriving (conn)
        && (!last || conn->since_ms >= last->since_ms))
      last = conn;
  }
  return last;
}

static bool
close_unread (Front *front, MemoryUse use, int64_t now_ms)
{
  FrontConn *conn = most_held_back (front, use, unread_ms, now_ms);

  if (!conn)
    return false;
  conn_log_room (conn, "unread", now_ms - conn->taken_ms);
  conn_log_lost (conn, "answer_not_read");
  front_counter_add (FRONT_COUNTER_ROOM_UNREAD);
  conn_free (conn);
  return true;
}

static bool
refuse_late (Front *front, MemoryUse use, int64_t now_ms)
{
  FrontConn *conn = most_held_back (front, use, late_ms, now_ms);

  if (!conn)
    return false;
  conn_log_room (conn, "late", now_ms - conn->since_ms);
  front_counter_add (FRONT_COUNTER_ROOM_LATE);
  conn_refuse (conn, HTTP_STATUS_REQUEST_TIMEOUT, CONN_RETRY_AFTER_FULL_MS);
  return true;
}

static bool
refuse_last (Front *front, MemoryUse use, int64_t now_ms)
{
  FrontConn *conn = last_to_arrive (front, use);

  if (!conn)
    return false;
  conn_log_room (conn, "last", now_ms - conn->since_ms);
  front_counter_add (FRONT_COUNTER_ROOM_REFUSED);
  conn_refuse (conn, HTTP_STATUS_SERVICE_UNAVAILABLE, CONN_RETRY_AFTER_FULL_MS);
  return true;
}

/* Closes the connection of the request whose answer was the last to wait for memory. */
static bool
close_waiting (Front *front)
{
  FrontRequest *request = front_attempts_last_waiting (front);
  FrontConn *conn = request ? front_request_conn (request) : NULL;

  if (!conn)
    return false;
  conn_log_room (conn, "waiting", clock_boot_ms () - conn->since_ms);
  front_counter_add (FRONT_COUNTER_ROOM_WAITING);
  conn_free (conn);
  return true;
}

/* Closes the connection of which most is unread, as answers to others wait for that memory: one
 * answer is lost in place of many. */
static bool
close_most_unread (Front *front)
{
  FrontConn *conn, *most = NULL;

  if (!front_attempts_last_waiting (front))
    return false;
  cds_list_for_each_entry (conn, &front->conns, node)
  {
    if (conn->held[MEMORY_UNREAD] > MEMORY_SHORT_BODY_BYTES
        && (!most || conn->held[MEMORY_UNREAD] > most->held[MEMORY_UNREAD]))
      most = conn;
  }
  if (!most)
    return false;
  conn_log_room (most, "most_unread", clock_boot_ms () - most->taken_ms);
  front_counter_add (FRONT_COUNTER_ROOM_MOST_UNREAD);
  conn_free (most);
  return true;
}

/* False: nothing more can be done now. */
static bool
relieve_once (Front *front, int64_t now_ms)
{
  const FrontMemory *memory = &front->memory;
  bool is_over = front_memory_is_over (memory);

  if ((is_over || front_memory_unread_is_full (memory))
      && close_unread (front, MEMORY_UNREAD, now_ms))
    return true;
  if ((is_over || front_memory_bodies_are_full (memory))
      && (refuse_late (front, MEMORY_BODIES, now_ms) || refuse_last (front, MEMORY_BODIES, now_ms)))
    return true;
  return is_over
         && (refuse_late (front, MEMORY_REQUESTS, now_ms)
             || refuse_last (front, MEMORY_REQUESTS, now_ms) || close_most_unread (front)
             || close_waiting (front));
}

void
conn_relieve (Front *front)
{
  const FrontMemory *memory = &front->memory;
  int64_t now_ms;

  if (!front_memory_is_over (memory) && !front_memory_bodies_are_full (memory)
      && !front_memory_unread_is_full (memory))
    return;
  now_ms = clock_boot_ms ();
  while (relieve_once (front, now_ms))
    continue;
}

static bool
is_idle (const FrontConn *conn)
{
  return !conn->freed && !conn->closing && !conn->request && !conn_is_arriving (conn)
         && conn_unread (conn) == 0 && evbuffer_get_length (bufferevent_get_input (conn->bev)) == 0;
}

unsigned
front_conn_close_idle (Front *front, unsigned max)
{
  FrontConn *conn;
  unsigned closed = 0;

  /* Connections are in the order in which they last became idle. */
  cds_list_for_each_entry (conn, &front->conns, node)
  {
    if (closed == max)
      break;
    if (!is_idle (conn))
      continue;
    conn_free (conn);
    closed++;
  }
  for (unsigned i = 0; i < closed; i++)
    front_counter_add (FRONT_COUNTER_IDLE_CLOSED);
  return closed;
}

bool
front_conn_close_one (Front *front)
{
  int64_t now_ms = clock_boot_ms ();

  return refuse_late (front, MEMORY_REQUESTS, now_ms)
         || close_unread (front, MEMORY_REQUESTS, now_ms) || front_conn_close_idle (front, 1) > 0;
}
