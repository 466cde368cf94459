#include "fake_server.h"
#include "util_buffer.h"
#include "util_clock.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNKED_END "0\r\n\r\n"
#define POLL_MS     20

struct FakeServer
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  pthread_t thread;
  int fd;
  int port;
  FakeAnswer answer;
  bool stopping;
  int resumed;
  int connections;
  int requests;
  int aborted;
  size_t body;
};

/* Waits until fd can be read; false once the server is to stop. */
static bool
wait_readable (FakeServer *s, int fd)
{
  for (;;)
    {
      struct pollfd pfd = { .fd = fd, .events = POLLIN };
      pthread_mutex_lock (&s->lock);
      bool stopping = s->stopping;
      pthread_mutex_unlock (&s->lock);
      if (stopping)
        return false;
      if (poll (&pfd, 1, POLL_MS) > 0)
        return true;
    }
}

/*
 * Sets the number of body bytes and whether the request is complete; false while its head is not.
 */
static bool
parse_request (const Buffer *in, size_t *body, bool *complete)
{
  const char *head_end = strstr (in->data, "\r\n\r\n");
  if (!head_end)
    return false;
  const char *start = head_end + 4;
  size_t got = in->len - (size_t)(start - in->data);
  const char *length = strcasestr (in->data, "\r\nContent-Length:");
  if (strcasestr (in->data, "\r\nTransfer-Encoding: chunked"))
    {
      *complete = got >= strlen (CHUNKED_END) && strstr (start, CHUNKED_END);
      *body = 0;
      return true;
    }
  size_t want = length && length < head_end ? strtoul (strchr (length, ':') + 1, NULL, 10) : 0;
  *body = got;
  *complete = got >= want;
  return true;
}

/* Reads one request; false if the client left before its end. */
static bool
read_request (FakeServer *s, int fd)
{
  Buffer in = { 0 };
  bool complete = false;
  while (!complete && wait_readable (s, fd))
    {
      char block[4096];
      ssize_t n = read (fd, block, sizeof block);
      if (n <= 0)
        break;
      buffer_add (&in, block, (size_t)n);
      size_t body = 0;
      parse_request (&in, &body, &complete);
      pthread_mutex_lock (&s->lock);
      s->body = body;
      s->requests += complete;
      pthread_cond_broadcast (&s->changed);
      pthread_mutex_unlock (&s->lock);
    }
  buffer_free (&in);
  return complete;
}

static void
wait_for_resume (FakeServer *s)
{
  pthread_mutex_lock (&s->lock);
  while (!s->resumed && !s->stopping)
    pthread_cond_wait (&s->changed, &s->lock);
  s->resumed = 0;
  pthread_mutex_unlock (&s->lock);
}

static bool
send_all (int fd, const char *data, size_t len)
{
  while (len)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

static bool
send_answer (FakeServer *s, int fd, const FakeAnswer *answer)
{
  size_t len = answer->len ? answer->len : strlen (answer->text);
  size_t at = 0;
  if (answer->pause_at)
    {
      if (!send_all (fd, answer->text, answer->pause_at))
        return false;
      at = answer->pause_at;
      wait_for_resume (s);
    }
  if (!answer->byte_delay_ms)
    return send_all (fd, answer->text + at, len - at);
  for (; at < len; at++)
    {
      clock_sleep_ms (answer->byte_delay_ms);
      if (!send_all (fd, answer->text + at, 1))
        return false;
    }
  return true;
}

static void
serve (FakeServer *s, int fd)
{
  pthread_mutex_lock (&s->lock);
  s->connections++;
  s->body = 0;
  FakeAnswer answer = s->answer;
  pthread_mutex_unlock (&s->lock);
  if (answer.before
      && (!read_request (s, fd) || !send_all (fd, answer.before, strlen (answer.before))))
    return;
  if (!read_request (s, fd))
    return;
  bool delivered = !answer.text || send_answer (s, fd, &answer);
  char block[64];
  if (delivered && answer.keep_open && wait_readable (s, fd) && read (fd, block, sizeof block) <= 0)
    delivered = false;
  if (answer.reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &(struct linger){ .l_onoff = 1 },
                sizeof (struct linger));
  pthread_mutex_lock (&s->lock);
  s->aborted += !delivered;
  pthread_mutex_unlock (&s->lock);
}

static void *
run_server (void *context)
{
  FakeServer *s = context;
  while (wait_readable (s, s->fd))
    {
      int fd = accept4 (s->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      serve (s, fd);
      close (fd);
    }
  return NULL;
}

FakeServer *
fake_server_new (const FakeAnswer *answer)
{
  FakeServer *s = memory_alloc (sizeof *s);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  s->answer = *answer;
  pthread_mutex_init (&s->lock, NULL);
  pthread_cond_init (&s->changed, NULL);
  s->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (s->fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (s->fd, 64) != 0
      || getsockname (s->fd, (struct sockaddr *)&address, &len) != 0)
    abort ();
  s->port = ntohs (address.sin_port);
  if (pthread_create (&s->thread, NULL, run_server, s) != 0)
    abort ();
  return s;
}

void
fake_server_free (FakeServer *server)
{
  pthread_mutex_lock (&server->lock);
  server->stopping = true;
  pthread_cond_broadcast (&server->changed);
  pthread_mutex_unlock (&server->lock);
  pthread_join (server->thread, NULL);
  close (server->fd);
  pthread_cond_destroy (&server->changed);
  pthread_mutex_destroy (&server->lock);
  free (server);
}

int
fake_server_port (const FakeServer *server)
{
  return server->port;
}

void
fake_server_answer (FakeServer *server, const FakeAnswer *answer)
{
  pthread_mutex_lock (&server->lock);
  server->answer = *answer;
  pthread_mutex_unlock (&server->lock);
}

void
fake_server_resume (FakeServer *server)
{
  pthread_mutex_lock (&server->lock);
  server->resumed = 1;
  pthread_cond_broadcast (&server->changed);
  pthread_mutex_unlock (&server->lock);
}

static int
read_count (FakeServer *server, const int *count)
{
  pthread_mutex_lock (&server->lock);
  int n = *count;
  pthread_mutex_unlock (&server->lock);
  return n;
}

int
fake_server_connections (FakeServer *server)
{
  return read_count (server, &server->connections);
}

int
fake_server_requests (FakeServer *server)
{
  return read_count (server, &server->requests);
}

int
fake_server_aborted (FakeServer *server)
{
  return read_count (server, &server->aborted);
}

size_t
fake_server_body (FakeServer *server)
{
  pthread_mutex_lock (&server->lock);
  size_t n = server->body;
  pthread_mutex_unlock (&server->lock);
  return n;
}
