#include "http_reader.h"
#include "http_neon.h"
#include "util_clock.h"
#include "util_memory.h"
#include <ne_request.h>
#include <ne_session.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define READ_BLOCK_SIZE 16384 /* bytes */
/* A stateful device on the path may silently drop the state of a connection that is idle for
 * longer, and a read on it would fail only after the time-out. */
#define IDLE_MAX_MS 60000

/* A neon session with one connection; used by one thread at a time. */
typedef struct
{
  ne_session *session;
  /* neon applies the time-outs when it connects, so they are fixed for the connection. */
  int connect_s;
  int read_s;
  int64_t idle_since_ms; /* boot-time clock */
  bool connected;        /* the latest attempt established a connection */
} Connection;

struct HttpReader
{
  char *address;
  int port;
  char peer[STATUS_PEER_MAX];
  pthread_mutex_t lock; /* guards idle and idle_count */
  Connection **idle;    /* most recently used last */
  unsigned idle_count;
  unsigned idle_max;
};

/* neon's automatic retry after a stale connection resets the flag: it may fail to connect. */
static void
on_session_status (void *userdata, ne_session_status status, const ne_session_status_info *info)
{
  Connection *c = userdata;

  (void)info;
  if (status == ne_status_connecting)
    c->connected = false;
  if (status == ne_status_connected)
    c->connected = true;
}

static Connection *
connection_new (const HttpReader *reader, int connect_s, int read_s)
{
  Connection *c = memory_alloc (sizeof *c);

  c->connect_s = connect_s;
  c->read_s = read_s;
  c->session = ne_session_create ("http", reader->address, (unsigned)reader->port);
  ne_set_session_flag (c->session, NE_SESSFLAG_PERSIST, 1);
  ne_set_connect_timeout (c->session, connect_s);
  ne_set_read_timeout (c->session, read_s);
  ne_set_notifier (c->session, on_session_status, c);
  return c;
}

static void
connection_free (Connection *c)
{
  ne_session_destroy (c->session);
  free (c);
}

HttpReader *
http_reader_new (const char *address, int port, unsigned idle_max)
{
  HttpReader *reader = memory_alloc (sizeof *reader);

  http_neon_start ();
  reader->address = memory_strdup (address);
  reader->port = port;
  snprintf (reader->peer, sizeof reader->peer, "%s:%d", address, port);
  pthread_mutex_init (&reader->lock, NULL);
  reader->idle = memory_array (idle_max + 1, sizeof (Connection *));
  reader->idle_max = idle_max;
  return reader;
}

void
http_reader_free (HttpReader *reader)
{
  if (!reader)
    return;
  for (unsigned i = 0; i < reader->idle_count; i++)
    connection_free (reader->idle[i]);
  pthread_mutex_destroy (&reader->lock);
  free ((void *)reader->idle);
  free (reader->address);
  free (reader);
}

bool
http_reader_has_address (const HttpReader *reader, const char *address, int port)
{
  return reader->port == port && strcmp (reader->address, address) == 0;
}

/* Removes the idle connection at index from the list; called with the lock held. */
static Connection *
idle_remove (HttpReader *reader, unsigned index)
{
  Connection *c = reader->idle[index];

  reader->idle_count--;
  for (unsigned i = index; i < reader->idle_count; i++)
    reader->idle[i] = reader->idle[i + 1];
  return c;
}

static Connection *
connection_acquire (HttpReader *reader, const HttpRead *read)
{
  int connect_s = http_neon_seconds (read->connect_timeout_ms);
  int read_s = http_neon_seconds (read->read_timeout_ms);
  Connection *found = NULL;

  pthread_mutex_lock (&reader->lock);
  for (unsigned i = reader->idle_count; i > 0 && !found; i--)
    if (reader->idle[i - 1]->read_s == read_s && reader->idle[i - 1]->connect_s == connect_s)
      found = idle_remove (reader, i - 1);
  pthread_mutex_unlock (&reader->lock);
  if (found && clock_boot_ms () - found->idle_since_ms > IDLE_MAX_MS)
    {
      connection_free (found);
      found = NULL;
    }
  return found ? found : connection_new (reader, connect_s, read_s);
}

/* Keeps a connection after a complete answer; evicts the least recently used one if there are too
 * many. */
static void
connection_release (HttpReader *reader, Connection *c)
{
  Connection *oldest = NULL;

  c->idle_since_ms = clock_boot_ms ();
  pthread_mutex_lock (&reader->lock);
  reader->idle[reader->idle_count++] = c;
  if (reader->idle_count > reader->idle_max)
    oldest = idle_remove (reader, 0);
  pthread_mutex_unlock (&reader->lock);
  if (oldest)
    connection_free (oldest);
}

/* A line break or a space would end the path in the request line. */
static bool
is_valid_path (const char *path)
{
  for (const char *s = path; *s; s++)
    if ((unsigned char)*s <= 0x20 || *s == 0x7f)
      return false;
  return path[0] == '/';
}

/* Without a length or chunked framing, a complete answer cannot be distinguished from a truncated
 * one. */
static bool
has_framed_body (ne_request *request)
{
  int status = ne_get_status (request)->code;
  const char *coding = ne_get_response_header (request, "Transfer-Encoding");

  if (status == 204 || status == 304 || ne_get_response_header (request, "Content-Length"))
    return true;
  return coding && strcasecmp (coding, "chunked") == 0;
}

/* Reads the body to its end. On error returns false; *error is set, or left NULL if neon has the
 * message. */
static bool
read_body (ne_request *request,
           const HttpRead *read,
           int64_t end_ms,
           Buffer *answer,
           const char **error)
{
  char block[READ_BLOCK_SIZE];
  size_t len = 0;
  ssize_t n;

  while ((n = ne_read_response_block (request, block, sizeof block)) > 0)
    {
      len += (size_t)n;
      if (read->answer_max && len > read->answer_max)
        {
          *error = "the answer is too long";
          return false;
        }
      buffer_add (answer, block, (size_t)n);
      if (end_ms && clock_boot_ms () > end_ms)
        {
          *error = "the answer took too long";
          return false;
        }
    }
  if (n == 0 && !has_framed_body (request))
    *error = "the answer has no proper end";
  return n == 0 && *error == NULL;
}

/* One exchange; true if the answer is complete. */
static bool
exchange (Connection *c, const HttpRead *read, int *http_status, Buffer *answer, const char **error)
{
  int64_t end_ms = read->total_timeout_ms > 0 ? clock_boot_ms () + read->total_timeout_ms : 0;
  /* A persistent session must only send GET; see http_reader.h. */
  ne_request *request = ne_request_create (c->session, "GET", read->path);
  bool complete = false;

  if (ne_begin_request (request) == NE_OK)
    {
      *http_status = ne_get_status (request)->code;
      complete
          = read_body (request, read, end_ms, answer, error) && ne_end_request (request) == NE_OK;
    }
  ne_request_destroy (request);
  return complete;
}

StatusCode
http_reader_get (HttpReader *reader,
                 const HttpRead *read,
                 int *http_status,
                 Buffer *answer,
                 Status *st)
{
  const char *error = NULL;
  StatusCode code;

  if (!is_valid_path (read->path))
    return status_set (st, STATUS_INVALID, "http.get", reader->peer, "path can't be sent");
  Connection *c = connection_acquire (reader, read);
  if (exchange (c, read, http_status, answer, &error))
    {
      connection_release (reader, c);
      return status_ok (st);
    }
  code = c->connected ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
  status_set (st, code, "http.get", reader->peer, "%s", error ? error : ne_get_error (c->session));
  connection_free (c);
  return code;
}
