#include "front_channel.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdlib.h>

#define MS_PER_S  1000
#define US_PER_MS 1000L
/* Milliseconds without an acknowledgement or a reply to a keep-alive probe after which the
 * connection is closed: changes have to arrive within two seconds, so a dead connection must be
 * noticed earlier. */
#define TCP_TIMEOUT_MS 1200
/* An answer that has begun is abandoned if a period of PROGRESS_MS brings fewer than
 * PROGRESS_BYTES. */
#define PROGRESS_MS 1200
/* The share of the slowest link when 150 other transfers use it as well. */
#define PROGRESS_BYTES 8000
/* An answer that takes SLOW_MS in all, or of which nothing arrives for STALL_MS, may be fetched
 * from another source. */
#define SLOW_MS  1500
#define STALL_MS 400
/* Bytes; larger than a configuration of 50,000 routes. Bounds the memory that an endless answer can
 * use. */
#define ANSWER_MAX_BYTES ((size_t)16 << 20)
/* Delay until a request without a socket fails, so that the callback never runs within
 * front_channel_request. */
#define NO_SOCKET_DELAY_MS 1

struct FrontChannel
{
  struct event_base *base;
  struct sockaddr_in address;
  char host[INET_ADDRSTRLEN];
  struct bufferevent *bev; /* NULL: not connected */
  struct event *timer;
  HttpReply reply;
  const HttpReply *answered; /* during the callback: the answer */
  bool pending;
  int connect_timeout_ms;   /* time-out of a new connection; 0: answer_timeout_ms */
  int answer_timeout_ms;    /* until the answer to the pending request begins */
  int64_t answer_begun_ms;  /* when the answer began; 0: it has not */
  int64_t last_received_ms; /* when bytes of the answer last arrived */
  size_t received_at_timer; /* bytes received when the timer was set */
  ChannelCallback answer;
  void *user;
};

static void
disconnect (FrontChannel *channel)
{
  if (channel->bev)
    bufferevent_free (channel->bev);
  channel->bev = NULL;
}

static void
complete_request (FrontChannel *channel, int status, const char *text, size_t len)
{
  channel->pending = false;
  event_del (channel->timer);
  channel->answer (channel->user, status, text, len);
}

static void
fail (FrontChannel *channel)
{
  disconnect (channel);
  if (channel->pending)
    complete_request (channel, 0, "", 0);
}

static void
timer_set (FrontChannel *channel, int ms)
{
  struct timeval wait = { .tv_sec = ms / MS_PER_S, .tv_usec = ms % MS_PER_S * US_PER_MS };

  evtimer_add (channel->timer, &wait);
}

/* How long a large configuration takes depends on the link and on the other transfers. With a fixed
 * time-out the same bytes would be requested and abandoned again and again, and callers would be
 * served by the previous configuration for as long as links stay busy. So only a transfer without
 * progress is abandoned. */
static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  FrontChannel *channel = user;
  size_t received = front_channel_received (channel);

  if (received < channel->received_at_timer + PROGRESS_BYTES)
    {
      fail (channel);
      return;
    }
  channel->received_at_timer = received;
  timer_set (channel, PROGRESS_MS);
}

static void
handle_answer (FrontChannel *channel)
{
  HttpReply reply = channel->reply;

  http_reply_init (&channel->reply);
  if (!http_should_keep_alive (&reply.parser) || reply.surplus)
    disconnect (channel);
  if (channel->pending)
    {
      channel->answered = &reply;
      complete_request (channel, reply.status, reply.body.data ? reply.body.data : "",
                        reply.body.len);
      channel->answered = NULL;
    }
  http_reply_clear (&reply);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  FrontChannel *channel = user;

  front_socket_feed_reply (bev, &channel->reply);
  channel->last_received_ms = clock_boot_ms ();
  if (channel->pending && channel->answer_begun_ms == 0)
    {
      channel->answer_begun_ms = channel->last_received_ms;
      timer_set (channel, PROGRESS_MS);
    }
  if (channel->reply.broken || !channel->pending
      || front_channel_received (channel) > ANSWER_MAX_BYTES)
    fail (channel);
  else if (channel->reply.complete)
    handle_answer (channel);
}

static void
on_event (struct bufferevent *bev UNUSED, short what, void *user)
{
  FrontChannel *channel = user;

  if (what & BEV_EVENT_CONNECTED)
    {
      if (channel->pending)
        timer_set (channel, channel->answer_timeout_ms);
      return;
    }
  if (what & BEV_EVENT_EOF)
    http_reply_end (&channel->reply);
  disconnect (channel);
  if (channel->pending && channel->reply.complete && (what & BEV_EVENT_EOF))
    handle_answer (channel);
  else
    fail (channel);
}

FrontChannel *
front_channel_new (struct event_base *base,
                   const struct sockaddr_in *address,
                   ChannelCallback answer,
                   void *user)
{
  FrontChannel *channel = memory_alloc (sizeof *channel);

  channel->base = base;
  channel->address = *address;
  inet_ntop (AF_INET, &address->sin_addr, channel->host, sizeof channel->host);
  channel->timer = evtimer_new (base, on_timer, channel);
  channel->answer = answer;
  channel->user = user;
  http_reply_init (&channel->reply);
  return channel;
}

void
front_channel_free (FrontChannel *channel)
{
  disconnect (channel);
  event_free (channel->timer);
  http_reply_clear (&channel->reply);
  free (channel);
}

static bool
ensure_connected (FrontChannel *channel)
{
  if (channel->bev)
    return true;
  channel->bev = front_socket_connect (channel->base, &channel->address, TCP_TIMEOUT_MS);
  if (!channel->bev)
    return false;
  bufferevent_setcb (channel->bev, on_read, NULL, on_event, channel);
  bufferevent_enable (channel->bev, EV_READ | EV_WRITE);
  return true;
}

void
front_channel_request (FrontChannel *channel, const char *path, const Buffer *body, int timeout_ms)
{
  bool is_new = !channel->bev;
  struct evbuffer *output;

  channel->pending = true;
  channel->answer_timeout_ms = timeout_ms;
  channel->answer_begun_ms = 0;
  channel->received_at_timer = 0;
  http_reply_clear (&channel->reply);
  http_reply_init (&channel->reply);
  if (!ensure_connected (channel))
    {
      timer_set (channel, NO_SOCKET_DELAY_MS);
      return;
    }
  timer_set (channel,
             is_new && channel->connect_timeout_ms > 0 ? channel->connect_timeout_ms : timeout_ms);
  output = bufferevent_get_output (channel->bev);
  evbuffer_add_printf (output, "%s %s HTTP/1.1\r\nHost: %s\r\n", body ? "POST" : "GET", path,
                       channel->host);
  if (body)
    evbuffer_add_printf (output, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                         body->len);
  evbuffer_add (output, "\r\n", 2);
  if (body)
    evbuffer_add (output, body->data, body->len);
}

void
front_channel_set_address (FrontChannel *channel, const struct sockaddr_in *address)
{
  if (channel->address.sin_addr.s_addr == address->sin_addr.s_addr
      && channel->address.sin_port == address->sin_port)
    return;
  disconnect (channel);
  channel->address = *address;
  inet_ntop (AF_INET, &address->sin_addr, channel->host, sizeof channel->host);
}

void
front_channel_set_connect_timeout (FrontChannel *channel, int ms)
{
  channel->connect_timeout_ms = ms;
}

void
front_channel_cancel (FrontChannel *channel)
{
  channel->pending = false;
  event_del (channel->timer);
  disconnect (channel);
}

const HttpReply *
front_channel_answer (const FrontChannel *channel)
{
  return channel->answered;
}

bool
front_channel_is_pending (const FrontChannel *channel)
{
  return channel->pending;
}

size_t
front_channel_received (const FrontChannel *channel)
{
  return channel->reply.raw.len + channel->reply.body.len;
}

bool
front_channel_is_receiving (const FrontChannel *channel)
{
  return channel->pending && channel->answer_begun_ms != 0;
}

bool
front_channel_is_stalled (const FrontChannel *channel)
{
  return clock_boot_ms () - channel->last_received_ms >= STALL_MS;
}

bool
front_channel_is_slow (const FrontChannel *channel)
{
  return clock_boot_ms () - channel->answer_begun_ms >= SLOW_MS
         || front_channel_is_stalled (channel);
}
