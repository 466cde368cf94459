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

#define READ_BLOCK 16384
/* A connection that was silent for longer may have been forgotten on the way without a word, and
 * reading on it would fail only after the timeout. */
#define IDLE_MAX_MS 60000

/* A neon session with its one connection; used by one thread at a time. */
typedef struct
{
  ne_session *session;
  /* neon takes the timeouts when it connects, so they belong to the connection. */
  int connect_s;
  int read_s;
  int64_t idle_from_ms; /* boot-time clock */
  bool reached;         /* the newest attempt has or had a connection */
} Connection;

struct HttpReader
{
  char *address;
  int port;
  char peer[STATUS_PEER_MAX];
  pthread_mutex_t lock; /* guards idle and idle_count */
  Connection **idle;    /* the newest last */
  unsigned idle_count;
  unsigned idle_max;
};

/* neon's own second attempt, after a stale connection, counts as new: it may not get through. */
static void
note_status (void *userdata, ne_session_status status, const ne_session_status_info *info)
{
  Connection *c = userdata;

  (void)info;
  if (status == ne_status_connecting)
    c->reached = false;
  if (status == ne_status_connected)
    c->reached = true;
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
  ne_set_notifier (c->session, note_status, c);
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

/* Takes the idle connection at index out; called under the lock. */
static Connection *
idle_take (HttpReader *reader, unsigned index)
{
  Connection *c = reader->idle[index];

  reader->idle_count--;
  for (unsigned i = index; i < reader->idle_count; i++)
    reader->idle[i] = reader->idle[i + 1];
  return c;
}

static Connection *
connection_get (HttpReader *reader, const HttpRead *read)
{
  int connect_s = http_neon_seconds (read->connect_timeout_ms);
  int read_s = http_neon_seconds (read->read_timeout_ms);
  Connection *found = NULL;

  pthread_mutex_lock (&reader->lock);
  for (unsigned i = reader->idle_count; i > 0 && !found; i--)
    if (reader->idle[i - 1]->read_s == read_s && reader->idle[i - 1]->connect_s == connect_s)
      found = idle_take (reader, i - 1);
  pthread_mutex_unlock (&reader->lock);
  if (found && clock_boot_ms () - found->idle_from_ms > IDLE_MAX_MS)
    {
      connection_free (found);
      found = NULL;
    }
  return found ? found : connection_new (reader, connect_s, read_s);
}

/* Keeps a connection after a whole answer; the one that was idle longest makes room. */
static void
connection_put (HttpReader *reader, Connection *c)
{
  Connection *oldest = NULL;

  c->idle_from_ms = clock_boot_ms ();
  pthread_mutex_lock (&reader->lock);
  reader->idle[reader->idle_count++] = c;
  if (reader->idle_count > reader->idle_max)
    oldest = idle_take (reader, 0);
  pthread_mutex_unlock (&reader->lock);
  if (oldest)
    connection_free (oldest);
}

/* A line end or a space would end the request line. */
static bool
is_path (const char *path)
{
  for (const char *s = path; *s; s++)
    if ((unsigned char)*s <= 0x20 || *s == 0x7f)
      return false;
  return path[0] == '/';
}

/* An answer that ends where the connection ends can't be told from one that was cut. */
static bool
has_proper_end (ne_request *request)
{
  int status = ne_get_status (request)->code;
  const char *coding = ne_get_response_header (request, "Transfer-Encoding");

  if (status == 204 || status == 304 || ne_get_response_header (request, "Content-Length"))
    return true;
  return coding && strcasecmp (coding, "chunked") == 0;
}

/* Reads the body to its proper end; false with *why (of the caller, or neon's) on an error. */
static bool
read_body (ne_request *request,
           const HttpRead *read,
           int64_t end_ms,
           Buffer *answer,
           const char **why)
{
  char block[READ_BLOCK];
  size_t len = 0;
  ssize_t n;

  while ((n = ne_read_response_block (request, block, sizeof block)) > 0)
    {
      len += (size_t)n;
      if (read->answer_max && len > read->answer_max)
        {
          *why = "the answer is too long";
          return false;
        }
      buffer_add (answer, block, (size_t)n);
      if (end_ms && clock_boot_ms () > end_ms)
        {
          *why = "the answer took too long";
          return false;
        }
    }
  if (n == 0 && !has_proper_end (request))
    *why = "the answer has no proper end";
  return n == 0 && *why == NULL;
}

/* One exchange; true after a whole answer. */
static bool
exchange (Connection *c, const HttpRead *read, int *http_status, Buffer *answer, const char **why)
{
  int64_t end_ms = read->total_timeout_ms > 0 ? clock_boot_ms () + read->total_timeout_ms : 0;
  /* No other method is ever given to a kept session. */
  ne_request *request = ne_request_create (c->session, "GET", read->path);
  bool whole = false;

  if (ne_begin_request (request) == NE_OK)
    {
      *http_status = ne_get_status (request)->code;
      whole = read_body (request, read, end_ms, answer, why) && ne_end_request (request) == NE_OK;
    }
  ne_request_destroy (request);
  return whole;
}

StatusCode
http_reader_get (HttpReader *reader,
                 const HttpRead *read,
                 int *http_status,
                 Buffer *answer,
                 Status *st)
{
  const char *why = NULL;
  StatusCode code;

  if (!is_path (read->path))
    return status_set (st, STATUS_INVALID, "http.get", reader->peer, "path can't be sent");
  Connection *c = connection_get (reader, read);
  if (exchange (c, read, http_status, answer, &why))
    {
      connection_put (reader, c);
      return status_ok (st);
    }
  code = c->reached ? STATUS_UNKNOWN : STATUS_UNAVAILABLE;
  status_set (st, code, "http.get", reader->peer, "%s", why ? why : ne_get_error (c->session));
  connection_free (c);
  return code;
}
