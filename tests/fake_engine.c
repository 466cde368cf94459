#include "fake_engine.h"
#include "util_assert.h"
#include "util_buffer.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STREAM_HEAD                                                                                \
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define REPLY_HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n"
#define TOKEN_CHUNK(n, text)                                                                       \
  "id: " #n "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" text                    \
  "\"},\"finish_reason\":null}]}\n\n"
#define LAST_CHUNK                                                                                 \
  "id: 3\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"             \
  "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}\n\ndata: [DONE]\n\n"

struct FakeEngine
{
  int listening;
  int hanging; /* connection kept without an answer (ENGINE_HANGS); -1: none */
  int port;
  pthread_t thread;
  int behaviour;     /* atomic */
  bool stop;         /* atomic */
  size_t ran;        /* atomic */
  size_t incomplete; /* atomic */
  size_t cancelled;  /* atomic */
  size_t head_cut;   /* atomic; bytes */
  bool resets;       /* atomic; the connection, when the head is cut */
};

/* Reads a request; true if it arrived completely. */
static bool
read_request (int fd, Buffer *request)
{
  char block[4096];
  const char *end = NULL;
  const char *length;
  size_t wanted = 0;

  for (;;)
    {
      ssize_t n = recv (fd, block, sizeof (block), 0);
      if (n <= 0)
        return false;
      buffer_add (request, block, (size_t)n);
      if (end == NULL && (end = strstr (request->data, "\r\n\r\n")) != NULL)
        {
          length = strcasestr (request->data, "\r\nContent-Length:");
          wanted = (size_t)(end - request->data) + 4;
          if (length != NULL && length < end)
            wanted += strtoul (length + strlen ("\r\nContent-Length:"), NULL, 10);
        }
      if (end != NULL && strcasestr (request->data, "\r\nTransfer-Encoding: chunked") != NULL)
        {
          if (strstr (request->data, "\r\n0\r\n\r\n") != NULL)
            return true;
          continue;
        }
      if (end != NULL && request->len >= wanted)
        return true;
    }
}

static void
send_text (int fd, const char *text)
{
  (void)send (fd, text, strlen (text), MSG_NOSIGNAL);
}

static void
send_chunk (int fd, const char *text)
{
  Buffer chunk = { 0 };

  buffer_printf (&chunk, "%zx\r\n%s\r\n", strlen (text), text);
  send_text (fd, chunk.data);
  buffer_free (&chunk);
}

static void
send_reply (int fd, const char *status, const char *body)
{
  Buffer answer = { 0 };

  buffer_printf (&answer,
                 "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                 status, strlen (body), body);
  send_text (fd, answer.data);
  buffer_free (&answer);
}

static void
send_stream (int fd, bool complete)
{
  send_text (fd, STREAM_HEAD);
  send_chunk (fd, TOKEN_CHUNK (0, "one"));
  send_chunk (fd, TOKEN_CHUNK (1, " two"));
  if (!complete)
    return;
  send_chunk (fd, TOKEN_CHUNK (2, " three"));
  send_chunk (fd, LAST_CHUNK);
  send_text (fd, "0\r\n\r\n");
}

static void
send_cut_head (FakeEngine *engine, int fd, const char *head)
{
  size_t len = __atomic_load_n (&engine->head_cut, __ATOMIC_ACQUIRE);
  struct linger reset
      = { .l_onoff = __atomic_load_n (&engine->resets, __ATOMIC_ACQUIRE), .l_linger = 0 };

  INVARIANT (len < strlen (head), "the head isn't cut");
  (void)send (fd, head, len, MSG_NOSIGNAL);
  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof (reset));
}

static void
answer (FakeEngine *engine, int fd, const char *request)
{
  bool chat = strstr (request, " /v1/chat/completions ") != NULL;

  switch ((EngineBehaviour)__atomic_load_n (&engine->behaviour, __ATOMIC_ACQUIRE))
    {
    case ENGINE_ANSWERS:
      if (chat)
        send_stream (fd, true);
      else
        send_reply (fd, "200 OK", "{\"order\":17}");
      break;
    case ENGINE_NOT_RUN:
      send_reply (fd, "503 Service Unavailable", "{\"error\":{\"code\":\"not_run\"}}");
      break;
    case ENGINE_CLOSES:
    case ENGINE_HANGS:
      break;
    case ENGINE_DIES:
      fake_engine_die (engine);
      break;
    case ENGINE_CUTS_HEAD:
      send_cut_head (engine, fd, chat ? STREAM_HEAD : REPLY_HEAD);
      break;
    case ENGINE_CUTS:
    case ENGINE_CUTS_RESUMED_HEAD:
      send_stream (fd, false);
      break;
    case ENGINE_FAILS:
      send_reply (fd, "500 Internal Server Error", "{}");
      break;
    case ENGINE_REFUSES:
      send_reply (fd, "400 Bad Request", "{}");
      break;
    case ENGINE_PLAIN_503:
      send_reply (fd, "503 Service Unavailable", "{\"sorry\":\"later\"}");
      break;
    }
}

static void
end_hanging (FakeEngine *engine)
{
  if (engine->hanging < 0)
    return;
  shutdown (engine->hanging, SHUT_RDWR);
  close (engine->hanging);
  engine->hanging = -1;
}

/* Keeps the connection without an answer if the behaviour is ENGINE_HANGS; returns true if so. */
static bool
keep_hanging (FakeEngine *engine, int fd)
{
  if (__atomic_load_n (&engine->behaviour, __ATOMIC_ACQUIRE) != ENGINE_HANGS)
    return false;
  end_hanging (engine);
  engine->hanging = fd;
  return true;
}

static void
resume (FakeEngine *engine, int fd)
{
  if (__atomic_load_n (&engine->behaviour, __ATOMIC_ACQUIRE) == ENGINE_CUTS_RESUMED_HEAD)
    send_cut_head (engine, fd, STREAM_HEAD);
  else
    send_reply (fd, "404 Not Found", "{}");
}

static void
serve (FakeEngine *engine, int fd)
{
  Buffer request = { 0 };
  bool complete = read_request (fd, &request);

  if (!complete && request.len > 0)
    __atomic_add_fetch (&engine->incomplete, 1, __ATOMIC_ACQ_REL);
  else if (complete && strncmp (request.data, "DELETE ", 7) == 0)
    {
      __atomic_add_fetch (&engine->cancelled, 1, __ATOMIC_ACQ_REL);
      end_hanging (engine);
      send_reply (fd, "200 OK", "{}");
    }
  else if (complete && strncmp (request.data, "GET /v1/streams/", 16) == 0)
    resume (engine, fd);
  else if (complete)
    {
      __atomic_add_fetch (&engine->ran, 1, __ATOMIC_ACQ_REL);
      if (keep_hanging (engine, fd))
        {
          buffer_free (&request);
          return;
        }
      answer (engine, fd, request.data);
    }
  if (!__atomic_load_n (&engine->resets, __ATOMIC_ACQUIRE))
    shutdown (fd, SHUT_RDWR);
  close (fd);
  buffer_free (&request);
}

static void *
engine_run (void *context)
{
  FakeEngine *engine = context;

  for (;;)
    {
      int fd = accept (engine->listening, NULL, NULL);
      bool dead = fd < 0 && errno == EINVAL; /* the listening socket was shut down */
      if (dead || __atomic_load_n (&engine->stop, __ATOMIC_ACQUIRE))
        {
          if (fd >= 0)
            close (fd);
          end_hanging (engine);
          return NULL;
        }
      if (fd >= 0)
        serve (engine, fd);
    }
}

FakeEngine *
fake_engine_start (EngineBehaviour behaviour)
{
  FakeEngine *engine = memory_alloc (sizeof (*engine));
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof (at);

  engine->behaviour = behaviour;
  engine->hanging = -1;
  engine->listening = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  INVARIANT (engine->listening >= 0
                 && bind (engine->listening, (struct sockaddr *)&at, sizeof (at)) == 0
                 && listen (engine->listening, 16) == 0
                 && getsockname (engine->listening, (struct sockaddr *)&at, &len) == 0,
             "no socket for a fake engine");
  engine->port = ntohs (at.sin_port);
  pthread_create (&engine->thread, NULL, engine_run, engine);
  return engine;
}

void
fake_engine_stop (FakeEngine *engine)
{
  __atomic_store_n (&engine->stop, true, __ATOMIC_RELEASE);
  shutdown (engine->listening, SHUT_RDWR);
  pthread_join (engine->thread, NULL);
  close (engine->listening);
  free (engine);
}

void
fake_engine_die (FakeEngine *engine)
{
  shutdown (engine->listening, SHUT_RDWR);
}

int
fake_engine_port (const FakeEngine *engine)
{
  return engine->port;
}

void
fake_engine_set_behaviour (FakeEngine *engine, EngineBehaviour behaviour)
{
  __atomic_store_n (&engine->behaviour, (int)behaviour, __ATOMIC_RELEASE);
}

void
fake_engine_set_head_cut (FakeEngine *engine, size_t len, bool reset)
{
  __atomic_store_n (&engine->head_cut, len, __ATOMIC_RELEASE);
  __atomic_store_n (&engine->resets, reset, __ATOMIC_RELEASE);
}

size_t
fake_engine_ran (const FakeEngine *engine)
{
  return __atomic_load_n (&engine->ran, __ATOMIC_ACQUIRE);
}

size_t
fake_engine_incomplete (const FakeEngine *engine)
{
  return __atomic_load_n (&engine->incomplete, __ATOMIC_ACQUIRE);
}

size_t
fake_engine_cancelled (const FakeEngine *engine)
{
  return __atomic_load_n (&engine->cancelled, __ATOMIC_ACQUIRE);
}
