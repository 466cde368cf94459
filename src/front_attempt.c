#include "front_attempt.h"
#include "front_socket.h"
#include "util_memory.h"
#include "util_unused.h"
#include <stdlib.h>

/* Milliseconds without an acknowledgement after which a connection counts as dead, which is the
 * only sign of a broken network path. Reachable servers acknowledge within a few milliseconds. */
#define UNACKED_TIMEOUT_MS 2000

struct FrontAttempt
{
  FrontServer *server; /* NULL: another front */
  struct bufferevent *bev;
  Buffer head;
  const Buffer *body;
  HttpReply reply;
  bool sent;
  bool has_head; /* the head callback was called */
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
  if (attempt->reply.status && !attempt->has_head)
    {
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
      send_request (attempt);
      attempt->callbacks->sent (attempt->user);
      return;
    }
  /* Only an orderly close ends an answer that has no length; a reset truncates it. */
  if (what & BEV_EVENT_EOF)
    http_reply_end (&attempt->reply);
  if (attempt->reply.complete)
    attempt->callbacks->progress (attempt->user);
  else
    attempt->callbacks->cut (attempt->user);
}

FrontAttempt *
front_attempt_start (Front *front,
                     const AttemptTarget *target,
                     Buffer *head,
                     const Buffer *body,
                     const AttemptCallbacks *callbacks,
                     void *user)
{
  struct bufferevent *bev = front_socket_connect (front->base, target->address, UNACKED_TIMEOUT_MS);
  FrontAttempt *attempt;

  if (!bev)
    return NULL;
  attempt = memory_alloc (sizeof *attempt);
  attempt->server = target->server;
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
  return attempt;
}

void
front_attempt_set_callbacks (FrontAttempt *attempt, const AttemptCallbacks *callbacks)
{
  attempt->callbacks = callbacks;
}

void
front_attempt_free (FrontAttempt *attempt)
{
  bufferevent_free (attempt->bev);
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

void
front_attempt_pause (FrontAttempt *attempt, bool pause)
{
  if (pause)
    bufferevent_disable (attempt->bev, EV_READ);
  else
    bufferevent_enable (attempt->bev, EV_READ);
}
