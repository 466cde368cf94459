#include "front_attempt.h"
#include "front_counter.h"
#include "front_keep.h"
#include "front_pool.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <event2/buffer.h>
#include <stdlib.h>

/* Milliseconds without an acknowledgement after which a connection counts as dead, which is the
 * only sign of a broken network path. Reachable servers acknowledge within a few milliseconds. */
#define UNACKED_TIMEOUT_MS 2000
/* Bytes of an incomplete answer that are kept; some such answers at a time must fit the smallest
 * VM's memory. */
#define UNREAD_MAX_BYTES (8 << 20)

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
  const AttemptCallbacks *callbacks;
  void *user;
};

static void
send_request (FrontAttempt *attempt)
{
  attempt->sent = true;
  bufferevent_write (attempt->bev, attempt->head.data, attempt->head.len);
  if (attempt->body->len > 0)
    bufferevent_write (attempt->bev, attempt->body->data, attempt->body->len);
  buffer_free (&attempt->head);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  FrontAttempt *attempt = user;

  front_socket_feed_reply (bev, &attempt->reply);
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
  /* Only an orderly close ends an answer that has no length; a reset truncates it. */
  if (what & BEV_EVENT_EOF)
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

  if (bev)
    front_socket_count (bev, &front->link);
  return bev;
}

FrontAttempt *
front_attempt_start (Front *front,
                     const AttemptTarget *target,
                     Buffer *head,
                     const Buffer *body,
                     const AttemptCallbacks *callbacks,
                     void *user)
{
  struct bufferevent *bev = take_kept (front, target);
  bool is_kept = bev != NULL;
  FrontAttempt *attempt;

  if (!bev)
    bev = connect_counted (front, target->address);
  if (!bev)
    return NULL;
  attempt = memory_alloc (sizeof *attempt);
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
  release_connection (attempt);
  http_reply_clear (&attempt->reply);
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
  return !attempt->reply.complete && attempt->reply.body.len > UNREAD_MAX_BYTES;
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
  if (pause)
    bufferevent_disable (attempt->bev, EV_READ);
  else
    bufferevent_enable (attempt->bev, EV_READ);
}
