#include "front_attempt.h"
#include "front_counter.h"
#include "front_keep.h"
#include "front_pool.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <event2/buffer.h>
#include <limits.h>
#include <stdlib.h>

/* Milliseconds without an acknowledgement after which a connection counts as dead, which is the
 * only sign of a broken network path. Reachable servers acknowledge within a few milliseconds. */
#define UNACKED_TIMEOUT_MS 2000
/* Bytes in the kernel's buffer for an answer. */
#define RECEIVE_BUFFER_BYTES 32768
/* Answers up to this length are read whatever else is held. */
#define SHORT_ANSWER_BYTES 4096
#define READ_BYTES         4096 /* at a time: by so much an answer may exceed that */
/* Bytes for which there is to be room before an answer of unknown length is read on. */
#define MORE_BYTES_MIN 65536

struct FrontAttempt
{
  Front *front;
  FrontServer *server; /* NULL: another front */
  struct bufferevent *bev;
  Buffer head;
  const Buffer *body;
  HttpReply reply;
  bool sent;
  bool has_head;    /* the head callback was called */
  bool is_kept;     /* the connection had carried another request before */
  bool is_believed; /* the answer is this server's to this request */
  bool has_ended;   /* the connection is closed */
  bool is_paused;   /* by its owner */
  bool is_waiting;  /* for memory */
  struct cds_list_head waiting_node;
  size_t held; /* bytes counted in the front's memory */
  const AttemptCallbacks *callbacks;
  void *user;
};

static void
account (FrontAttempt *attempt)
{
  size_t held = attempt->reply.raw.len + attempt->reply.body.len
                + (attempt->is_waiting ? RECEIVE_BUFFER_BYTES : 0);

  front_memory_change (&attempt->front->memory, MEMORY_ANSWERS, attempt->held, held);
  attempt->held = held;
}

static void
set_reading (FrontAttempt *attempt)
{
  if (attempt->is_paused || attempt->is_waiting)
    bufferevent_disable (attempt->bev, EV_READ);
  else
    bufferevent_enable (attempt->bev, EV_READ);
}

/* Bytes that the answer will take besides what has arrived. One that doesn't tell its length is
 * assumed to double. */
static size_t
bytes_to_come (const FrontAttempt *attempt)
{
  const http_parser *parser = &attempt->reply.parser;
  size_t len = attempt->reply.body.len, max = attempt->front->memory.answer_max;
  size_t more = len > MORE_BYTES_MIN ? len : MORE_BYTES_MIN;

  if (attempt->reply.status && !(parser->flags & F_CHUNKED) && parser->content_length != ULLONG_MAX)
    more = parser->content_length < max ? (size_t)parser->content_length : max;
  return len + more < max ? more : max - (len < max ? len : max);
}

/* Of the answers for which there is no room one at a time is read on, so that it comes to its end
 * and makes room for the next once its caller has taken it. */
static bool
may_read_on (FrontAttempt *attempt)
{
  Front *front = attempt->front;
  size_t bytes = bytes_to_come (attempt);

  if (front->reading_attempt == attempt || front_memory_answers_leave (&front->memory, bytes))
    return true;
  if (front->reading_attempt || !front_memory_unread_leaves (&front->memory, bytes))
    return false;
  front->reading_attempt = attempt;
  return true;
}

static void
wait_for_memory (FrontAttempt *attempt)
{
  Front *front = attempt->front;

  if (attempt->is_waiting || attempt->held <= SHORT_ANSWER_BYTES || attempt->reply.complete
      || may_read_on (attempt))
    return;
  attempt->is_waiting = true;
  cds_list_add_tail (&attempt->waiting_node, &front->waiting_attempts);
  account (attempt);
  set_reading (attempt);
}

static void
stop_waiting (FrontAttempt *attempt)
{
  if (!attempt->is_waiting)
    return;
  attempt->is_waiting = false;
  cds_list_del (&attempt->waiting_node);
  account (attempt);
}

void *
front_attempts_last_waiting (Front *front)
{
  return cds_list_empty (&front->waiting_attempts)
             ? NULL
             : cds_list_entry (front->waiting_attempts.prev, FrontAttempt, waiting_node)->user;
}

void
front_attempts_resume (Front *front)
{
  FrontAttempt *attempt, *next;

  cds_list_for_each_entry_safe (attempt, next, &front->waiting_attempts, waiting_node)
  {
    if (!may_read_on (attempt))
      continue;
    stop_waiting (attempt);
    set_reading (attempt);
  }
}

static void
send_request (FrontAttempt *attempt)
{
  attempt->sent = true;
  bufferevent_write (attempt->bev, attempt->head.data, attempt->head.len);
  if (attempt->body->len > 0)
    evbuffer_add_reference (bufferevent_get_output (attempt->bev), attempt->body->data,
                            attempt->body->len, NULL, NULL);
  buffer_free (&attempt->head);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  FrontAttempt *attempt = user;

  front_socket_feed_reply (bev, &attempt->reply);
  account (attempt);
  wait_for_memory (attempt);
  if (front_attempt_is_too_long (attempt))
    attempt->reply.broken = true;
  if (attempt->reply.status && !attempt->has_head)
    {
      if (attempt->is_kept)
        front_socket_set_unacked_timeout (bufferevent_getfd (bev), UNACKED_TIMEOUT_MS);
      attempt->has_head = true;
      attempt->callbacks->head (attempt->user);
    }
  if (attempt->reply.broken)
    attempt->callbacks->cut (attempt->user);
  else if (attempt->reply.status)
    attempt->callbacks->progress (attempt->user);
}

/* True if the other end has received the whole request. */
static bool
is_taken (const FrontAttempt *attempt)
{
  return evbuffer_get_length (bufferevent_get_output (attempt->bev)) == 0
         && !front_socket_has_unacked (bufferevent_getfd (attempt->bev));
}

static void
on_event (struct bufferevent *bev UNUSED, short what, void *user)
{
  FrontAttempt *attempt = user;

  if (what & BEV_EVENT_CONNECTED)
    {
      if (attempt->server)
        front_counter_add (FRONT_COUNTER_CONNECTIONS);
      send_request (attempt);
      attempt->callbacks->sent (attempt->user);
      return;
    }
  attempt->has_ended = true;
  /* Only an orderly close ends an answer that has no length; a reset truncates it. So does a close
   * before the request was taken: a process that dies then may close its connection either way. */
  if ((what & BEV_EVENT_EOF) && is_taken (attempt))
    http_reply_end (&attempt->reply);
  if (attempt->reply.complete)
    attempt->callbacks->progress (attempt->user);
  else
    attempt->callbacks->cut (attempt->user);
}

static struct bufferevent *
take_kept (const Front *front, const AttemptTarget *target)
{
  struct bufferevent *bev;

  if (!target->may_use_kept || !front_keeps_connections (front))
    return NULL;
  bev = front_pool_take (front->pool, target->server, clock_boot_ms ());
  if (bev)
    front_counter_add (FRONT_COUNTER_KEPT_USED);
  return bev;
}

static struct bufferevent *
connect_counted (Front *front, const struct sockaddr_in *address)
{
  struct bufferevent *bev = front_socket_connect (front->base, address, UNACKED_TIMEOUT_MS);

  if (!bev)
    return NULL;
  front_socket_count (bev, &front->link);
  front_socket_set_receive_buffer (bufferevent_getfd (bev), RECEIVE_BUFFER_BYTES);
  return bev;
}

/* Each request has one, and some have another for a copy. */
static bool
has_descriptor (const Front *front)
{
  const FrontDescriptors *most = &front->descriptors;

  return front->attempt_count < most->callers + most->handoffs + most->copies;
}

FrontAttempt *
front_attempt_start (Front *front,
                     const AttemptTarget *target,
                     Buffer *head,
                     const Buffer *body,
                     const AttemptCallbacks *callbacks,
                     void *user)
{
  struct bufferevent *bev;
  bool is_kept;
  FrontAttempt *attempt;

  if (!has_descriptor (front))
    return NULL;
  bev = take_kept (front, target);
  is_kept = bev != NULL;

  if (!bev)
    bev = connect_counted (front, target->address);
  if (!bev)
    return NULL;
  attempt = memory_alloc (sizeof *attempt);
  front->attempt_count++;
  attempt->front = front;
  attempt->server = target->server;
  attempt->is_kept = is_kept;
  attempt->bev = bev;
  attempt->head = *head;
  *head = (Buffer){ 0 };
  attempt->body = body;
  attempt->callbacks = callbacks;
  attempt->user = user;
  http_reply_init (&attempt->reply);
  if (attempt->server)
    {
      front_server_ref (attempt->server);
      attempt->server->running++;
    }
  bufferevent_setcb (bev, on_read, NULL, on_event, attempt);
  bufferevent_set_max_single_read (bev, READ_BYTES);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
  if (is_kept)
    {
      front_socket_set_unacked_timeout (bufferevent_getfd (bev), KEEP_UNACKED_TIMEOUT_MS);
      send_request (attempt);
    }
  return attempt;
}

void
front_attempt_set_callbacks (FrontAttempt *attempt, const AttemptCallbacks *callbacks)
{
  attempt->callbacks = callbacks;
}

static KeepCase
keep_case (const FrontAttempt *attempt)
{
  const Front *front = attempt->front;

  return (KeepCase){
    .is_believed = attempt->is_believed,
    .is_framed = attempt->reply.may_continue,
    .has_surplus = attempt->reply.surplus,
    .is_written = evbuffer_get_length (bufferevent_get_output (attempt->bev)) == 0,
    .has_ended = attempt->has_ended,
    .takes_work = front_server_takes_work (attempt->server),
    .told_ms = front_keep_told_ms (http_head_get (&attempt->reply.head, "Keep-Alive")),
    .max_ms = (int64_t)front->settings.keep_connections_ms,
    .there = attempt->server->kept,
    .fronts = front->fronts.fronts,
  };
}

/* Keeps the connection or closes it. */
static void
release_connection (FrontAttempt *attempt)
{
  KeepCase c;
  int64_t keep_ms;

  if (!attempt->server || !front_keeps_connections (attempt->front))
    {
      bufferevent_free (attempt->bev);
      return;
    }
  c = keep_case (attempt);
  keep_ms = front_keep_ms (&c);
  if (keep_ms > 0)
    front_pool_add (attempt->front->pool, attempt->bev, attempt->server,
                    clock_boot_ms () + keep_ms);
  else
    bufferevent_free (attempt->bev);
}

void
front_attempt_free (FrontAttempt *attempt)
{
  Front *front = attempt->front;

  front->attempt_count--;
  stop_waiting (attempt);
  release_connection (attempt);
  http_reply_clear (&attempt->reply);
  account (attempt);
  if (front->reading_attempt == attempt)
    front->reading_attempt = NULL;
  buffer_free (&attempt->head);
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
front_attempt_is_sent (const FrontAttempt *attempt)
{
  return attempt->sent;
}

bool
front_attempt_is_too_long (const FrontAttempt *attempt)
{
  return !attempt->reply.complete && attempt->reply.body.len > attempt->front->memory.answer_max;
}

bool
front_attempt_is_waiting (const FrontAttempt *attempt)
{
  return attempt->is_waiting;
}

bool
front_attempt_is_kept (const FrontAttempt *attempt)
{
  return attempt->is_kept;
}

void
front_attempt_set_believed (FrontAttempt *attempt)
{
  attempt->is_believed = true;
}

void
front_attempt_pause (FrontAttempt *attempt, bool pause)
{
  account (attempt);
  attempt->is_paused = pause;
  /* A caller that takes nothing must not keep the others' answers waiting. */
  if (pause && attempt->front->reading_attempt == attempt)
    attempt->front->reading_attempt = NULL;
  set_reading (attempt);
}
