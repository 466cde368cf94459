#include "front_socket.h"
#include "util_span.h"
#include "util_unused.h"
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define MS_PER_S             1000
#define PORT_MAX             65535
#define KEEPALIVE_PROBES     2 /* unanswered probes after which the connection is closed */
#define KEEPALIVE_INTERVAL_S 1

bool
front_socket_parse_address (const char *text, struct sockaddr_in *out)
{
  Span port = span_of (text);
  Span host = span_cut (&port, ':');
  char ip[INET_ADDRSTRLEN];
  int64_t number;

  if (host.len >= sizeof ip || !span_number (port, &number) || number <= 0 || number > PORT_MAX)
    return false;
  memcpy (ip, host.text, host.len);
  ip[host.len] = '\0';
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)number);
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}

void
front_socket_set_unacked_timeout (evutil_socket_t fd, int timeout_ms)
{
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

void
front_socket_set_receive_buffer (evutil_socket_t fd, int bytes)
{
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void
front_socket_set_send_buffer (evutil_socket_t fd, int bytes)
{
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

void
front_socket_set_orphan_timeout (evutil_socket_t fd, int timeout_ms)
{
  int seconds = timeout_ms / MS_PER_S;

  setsockopt (fd, IPPROTO_TCP, TCP_LINGER2, &seconds, sizeof seconds);
}

void
front_socket_set_options (evutil_socket_t fd, int timeout_ms)
{
  int on = 1, interval_s = KEEPALIVE_INTERVAL_S, probes = KEEPALIVE_PROBES;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  front_socket_set_unacked_timeout (fd, timeout_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void
front_socket_set_reset_on_close (evutil_socket_t fd, bool reset)
{
  struct linger linger = { .l_onoff = reset, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

bool
front_socket_has_unacked (evutil_socket_t fd)
{
  int bytes = 0;

  return ioctl (fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

struct bufferevent *
front_socket_connect (struct event_base *base, const struct sockaddr_in *address, int timeout_ms)
{
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct bufferevent *bev;

  if (fd < 0)
    return NULL;
  front_socket_set_options (fd, timeout_ms);
  bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  if (!bev)
    {
      evutil_closesocket (fd);
      return NULL;
    }
  if (bufferevent_socket_connect (bev, (const struct sockaddr *)address, sizeof *address) == 0)
    return bev;
  bufferevent_free (bev);
  return NULL;
}

static void
count_received (struct evbuffer *buffer UNUSED, const struct evbuffer_cb_info *info, void *link)
{
  if (info->n_added > 0)
    front_link_count (link, LINK_IN, info->n_added);
}

static void
count_sent (struct evbuffer *buffer UNUSED, const struct evbuffer_cb_info *info, void *link)
{
  if (info->n_deleted > 0)
    front_link_count (link, LINK_OUT, info->n_deleted);
}

void
front_socket_count (struct bufferevent *bev, FrontLink *link)
{
  evbuffer_add_cb (bufferevent_get_input (bev), count_received, link);
  evbuffer_add_cb (bufferevent_get_output (bev), count_sent, link);
}

void
front_socket_feed_reply (struct bufferevent *bev, HttpReply *reply)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t len;

  while ((len = evbuffer_get_contiguous_space (input)) > 0)
    {
      http_reply_feed (reply, (const char *)evbuffer_pullup (input, (ev_ssize_t)len), len);
      evbuffer_drain (input, len);
    }
}
