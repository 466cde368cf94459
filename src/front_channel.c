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
/* Milliseconds without an acknowledgement or an answer to a probe after which the connection is
 * dead: news has to arrive within two seconds, so a silent connection must show earlier. */
#define SILENT_MS 1200
/* An answer that has begun goes on while each of these times brings so many bytes. */
#define PROGRESS_MS    1200
#define PROGRESS_BYTES 8000 /* a share of the smallest link that 150 others use, too */
/* One that takes longer, or of which nothing comes for so long, may be had sooner elsewhere. */
#define SLOW_MS  1500
#define STILL_MS 400
/* Bytes; a configuration of 50,000 routes has fewer. An answer without end must not use up the
 * memory of the VM. */
#define ANSWER_MOST ((size_t)16 << 20)
/* Until a question fails for which no socket could be had: never within the call that asks. */
#define NOT_CONNECTED_MS 1

struct FrontChannel
{
  struct event_base *base;
  struct sockaddr_in address;
  char host[INET_ADDRSTRLEN];
  struct bufferevent *bev; /* NULL: not connected */
  struct event *timer;
  HttpReply reply;
  bool waiting;
  int connect_ms;   /* until a new connection is given up; 0: as long as for the answer */
  int answer_ms;    /* until the answer to the open question begins */
  int64_t begun_ms; /* when it began; 0: it hasn't */
  int64_t moved_ms; /* when bytes of it came last */
  size_t marked;    /* bytes that had come when the timer was set */
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
finish (FrontChannel *channel, int status, const char *text, size_t len)
{
  channel->waiting = false;
  event_del (channel->timer);
  channel->answer (channel->user, status, text, len);
}

static void
fail (FrontChannel *channel)
{
  disconnect (channel);
  if (channel->waiting)
    finish (channel, 0, "", 0);
}

static void
timer_set (FrontChannel *channel, int ms)
{
  struct timeval wait = { .tv_sec = ms / MS_PER_S, .tv_usec = ms % MS_PER_S * US_PER_MS };

  evtimer_add (channel->timer, &wait);
}

/* How long a large configuration takes depends on the link and on who else asks. Were it given up
 * after a fixed time, the same bytes would be asked for again and given up again, and callers would
 * meet the configuration before for as long as links stay busy. What doesn't move is left. */
static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  FrontChannel *channel = user;
  size_t received = front_channel_received (channel);

  if (received < channel->marked + PROGRESS_BYTES)
    {
      fail (channel);
      return;
    }
  channel->marked = received;
  timer_set (channel, PROGRESS_MS);
}

static void
take_answer (FrontChannel *channel)
{
  HttpReply reply = channel->reply;

  http_reply_init (&channel->reply);
  if (!http_should_keep_alive (&reply.parser) || reply.surplus)
    disconnect (channel);
  if (channel->waiting)
    finish (channel, reply.status, reply.body.data ? reply.body.data : "", reply.body.len);
  http_reply_clear (&reply);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  FrontChannel *channel = user;

  front_socket_feed_reply (bev, &channel->reply);
  channel->moved_ms = clock_boot_ms ();
  if (channel->waiting && channel->begun_ms == 0)
    {
      channel->begun_ms = channel->moved_ms;
      timer_set (channel, PROGRESS_MS);
    }
  if (channel->reply.broken || !channel->waiting || front_channel_received (channel) > ANSWER_MOST)
    fail (channel);
  else if (channel->reply.complete)
    take_answer (channel);
}

static void
on_event (struct bufferevent *bev UNUSED, short what, void *user)
{
  FrontChannel *channel = user;

  if (what & BEV_EVENT_CONNECTED)
    {
      if (channel->waiting)
        timer_set (channel, channel->answer_ms);
      return;
    }
  if (what & BEV_EVENT_EOF)
    http_reply_end (&channel->reply);
  disconnect (channel);
  if (channel->waiting && channel->reply.complete && (what & BEV_EVENT_EOF))
    take_answer (channel);
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
connect_now (FrontChannel *channel)
{
  if (channel->bev)
    return true;
  channel->bev = front_socket_connect (channel->base, &channel->address, SILENT_MS);
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

  channel->waiting = true;
  channel->answer_ms = timeout_ms;
  channel->begun_ms = 0;
  channel->marked = 0;
  http_reply_clear (&channel->reply);
  http_reply_init (&channel->reply);
  if (!connect_now (channel))
    {
      timer_set (channel, NOT_CONNECTED_MS);
      return;
    }
  timer_set (channel, is_new && channel->connect_ms > 0 ? channel->connect_ms : timeout_ms);
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
  channel->connect_ms = ms;
}

void
front_channel_cancel (FrontChannel *channel)
{
  channel->waiting = false;
  event_del (channel->timer);
  disconnect (channel);
}

bool
front_channel_is_pending (const FrontChannel *channel)
{
  return channel->waiting;
}

size_t
front_channel_received (const FrontChannel *channel)
{
  return channel->reply.raw.len + channel->reply.body.len;
}

bool
front_channel_is_receiving (const FrontChannel *channel)
{
  return channel->waiting && channel->begun_ms != 0;
}

bool
front_channel_is_slow (const FrontChannel *channel)
{
  int64_t now_ms = clock_boot_ms ();

  return now_ms - channel->begun_ms >= SLOW_MS || now_ms - channel->moved_ms >= STILL_MS;
}
