#include "front_fakes.h"
#include "front_conn.h"
#include "suite.h"
#include "util_memory.h"
#include "util_unused.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct FrontAttempt
{
  FrontServer *server;
  HttpReply reply;
  const AttemptCallbacks *callbacks;
  void *user;
  bool sent;
};

FakeSend fake_sends[FAKE_SENDS_MAX];
unsigned fake_send_count;

struct event
{
  struct cds_list_head node;
  event_callback_fn run;
  void *user;
  int64_t due_ms; /* 0: not armed */
};

static CDS_LIST_HEAD (timers);
int64_t fake_now_ms;

/* The linker puts these, under the names given, in place of the clock's and libevent's functions.
 */
int64_t fake_clock (void) __asm__("__wrap_clock_boot_ms");
struct event *fake_event_new (struct event_base *base,
                              evutil_socket_t fd,
                              short what,
                              event_callback_fn run,
                              void *user) __asm__("__wrap_event_new");
int fake_event_add (struct event *event, const struct timeval *wait) __asm__("__wrap_event_add");
int fake_event_del (struct event *event) __asm__("__wrap_event_del");
void fake_event_free (struct event *event) __asm__("__wrap_event_free");

int64_t
fake_clock (void)
{
  return fake_now_ms;
}

struct event *
fake_event_new (struct event_base *base UNUSED,
                evutil_socket_t fd UNUSED,
                short what UNUSED,
                event_callback_fn run,
                void *user)
{
  struct event *event = memory_alloc (sizeof *event);

  event->run = run;
  event->user = user;
  cds_list_add_tail (&event->node, &timers);
  return event;
}

int
fake_event_add (struct event *event, const struct timeval *wait)
{
  event->due_ms = fake_now_ms + wait->tv_sec * 1000 + wait->tv_usec / 1000;
  return 0;
}

int
fake_event_del (struct event *event)
{
  event->due_ms = 0;
  return 0;
}

void
fake_event_free (struct event *event)
{
  cds_list_del (&event->node);
  free (event);
}

/* Runs a timer that is due; false if there is none. */
static bool
run_timer (void)
{
  struct event *event;

  cds_list_for_each_entry (event, &timers, node)
  {
    if (event->due_ms == 0 || event->due_ms > fake_now_ms)
      continue;
    event->due_ms = 0;
    event->run (-1, EV_TIMEOUT, event->user);
    return true;
  }
  return false;
}

void
fake_pass (int64_t ms)
{
  for (int64_t i = 0; i < ms; i++)
    {
      fake_now_ms++;
      while (run_timer ())
        continue;
    }
}

FrontAttempt *
front_attempt_start (Front *front UNUSED,
                     const AttemptTarget *target,
                     Buffer *head,
                     const Buffer *body UNUSED,
                     const AttemptCallbacks *callbacks,
                     void *user)
{
  FrontAttempt *attempt = memory_alloc (sizeof *attempt);

  CU_ASSERT_FATAL (fake_send_count < FAKE_SENDS_MAX);
  snprintf (fake_sends[fake_send_count].head, FAKE_HEAD_MAX, "%.*s", (int)head->len,
            (const char *)head->data);
  buffer_free (head);
  *head = (Buffer){ 0 };
  attempt->server = target->server;
  attempt->callbacks = callbacks;
  attempt->user = user;
  http_reply_init (&attempt->reply);
  if (attempt->server)
    {
      front_server_ref (attempt->server);
      attempt->server->running++;
    }
  fake_sends[fake_send_count].attempt = attempt;
  fake_sends[fake_send_count].server = target->server;
  fake_sends[fake_send_count].closed = false;
  fake_send_count++;
  return attempt;
}

void
front_attempt_free (FrontAttempt *attempt)
{
  for (unsigned i = 0; i < fake_send_count; i++)
    {
      if (fake_sends[i].attempt == attempt)
        fake_sends[i].closed = true;
    }
  http_reply_clear (&attempt->reply);
  if (attempt->server)
    {
      attempt->server->running--;
      front_server_unref (attempt->server);
    }
  free (attempt);
}

HttpReply *
front_attempt_reply (FrontAttempt *attempt)
{
  return &attempt->reply;
}

bool
front_attempt_is_too_long (const FrontAttempt *attempt UNUSED)
{
  return false;
}

bool
front_attempt_is_waiting (const FrontAttempt *attempt UNUSED)
{
  return false;
}

bool
front_attempt_is_kept (const FrontAttempt *attempt UNUSED)
{
  return false;
}

void
front_attempt_set_believed (FrontAttempt *attempt UNUSED)
{
}

bool
front_attempt_is_sent (const FrontAttempt *attempt)
{
  return attempt->sent;
}

void
front_attempt_set_callbacks (FrontAttempt *attempt, const AttemptCallbacks *callbacks)
{
  attempt->callbacks = callbacks;
}

void
front_attempt_pause (FrontAttempt *attempt UNUSED, bool pause UNUSED)
{
}

HttpRequestParser *
front_conn_request_parser (FrontConn *conn)
{
  return &conn->parser;
}

void
front_conn_answer (FrontConn *conn, const Buffer *head, Buffer *body)
{
  conn->answers++;
  snprintf (conn->status, sizeof conn->status, "%.*s", (int)head->len, (const char *)head->data);
  buffer_free (body);
}

void
front_conn_stream_begin (FrontConn *conn, const Buffer *head UNUSED)
{
  if (!conn->may_stream)
    CU_FAIL ("a buffered answer was streamed");
  CU_ASSERT (!conn->is_begun);
  conn->is_begun = true;
}

void
front_conn_stream_data (FrontConn *conn, const void *data, size_t len)
{
  size_t used = strlen (conn->stream);

  snprintf (conn->stream + used, sizeof conn->stream - used, "%.*s", (int)len, (const char *)data);
}

void
front_conn_stream_end (FrontConn *conn)
{
  conn->is_ended = true;
}

void
front_conn_abort (FrontConn *conn)
{
  conn->answers++;
  conn->is_aborted = true;
}

bool
front_conn_output_is_full (const FrontConn *conn UNUSED)
{
  return false;
}

void
fake_connect (unsigned i)
{
  fake_sends[i].attempt->sent = true;
  fake_sends[i].attempt->callbacks->sent (fake_sends[i].attempt->user);
}

void
fake_cut (unsigned i)
{
  fake_sends[i].attempt->callbacks->cut (fake_sends[i].attempt->user);
}

bool
fake_has_no_timers (void)
{
  return cds_list_empty (&timers);
}

void
fake_answer (unsigned i, const char *text)
{
  FrontAttempt *attempt = fake_sends[i].attempt;
  bool had_head = attempt->reply.status != 0;

  CU_ASSERT_FATAL (!fake_sends[i].closed);
  http_reply_feed (&attempt->reply, text, strlen (text));
  if (!had_head)
    attempt->callbacks->head (attempt->user);
  attempt->callbacks->progress (attempt->user);
}
