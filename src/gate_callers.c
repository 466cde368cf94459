#include "gate_callers.h"
#include "gate_filter.h"
#include "gate_thread.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_unused.h"
#include <arpa/inet.h>
#include <errno.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/thread.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/ssl.h>
#include <semaphore.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP    "http.start"
#define BACKLOG 1024 /* connections waiting to be accepted */
/* Callbacks are deferred: enabling one end over TLS would otherwise run them at once, and they may
 * free the connection while its caller still uses it. */
#define END_OPTIONS (BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)
/* Time that a stop allows callers to read the last bytes of their answers. */
#define FLUSH_MAX_MS  1000
#define FLUSH_STEP_US 5000
/* In the kernel, of a socket, each way: towards callers, and towards libmicrohttpd. */
#define CALLER_BUFFER_BYTES    32768
#define PAIR_BUFFER_BYTES      16384
#define CONNECTIONS_ENDING_MAX 64     /* that libmicrohttpd has in addition */
#define TICK_US                100000 /* interval of gate_filters_tick */

/** A connection given to libmicrohttpd whose link has not been fetched by on_connection yet. */
typedef struct
{
  struct cds_list_head node;
  int fd; /* libmicrohttpd's end */
  GateLink *link;
} Handoff;

struct GateCallers
{
  const SettingsGate *settings;
  GateFilterLimits limits;
  struct MHD_Daemon *daemon;
  SSL_CTX *tls; /* NULL: plain HTTP */
  struct event_base *base;
  struct evconnlistener *listener;
  struct event *stop_accepting; /* made active by other threads; closes the listener */
  struct event *end;            /* made active by other threads; ends the loop */
  int64_t end_ms;               /* boot-time clock; latest end of the loop; 0: not ending */
  sem_t accept_stopped;
  pthread_t thread;
  bool running;
  GateFilters filters; /* used by the loop's thread only */
  struct event *tick;
  unsigned handed_off;  /* atomic; connections that libmicrohttpd has */
  pthread_mutex_t lock; /* guards handoffs */
  struct cds_list_head handoffs;
};

static void
handoff_free (Handoff *handoff)
{
  cds_list_del (&handoff->node);
  free (handoff);
}

/* Removes the link of fd from the list; the lock must be held. NULL: there is none. */
static GateLink *
take_link (GateCallers *callers, int fd)
{
  Handoff *handoff;
  GateLink *link;

  cds_list_for_each_entry (handoff, &callers->handoffs, node)
  {
    if (handoff->fd != fd)
      continue;
    link = handoff->link;
    handoff_free (handoff);
    return link;
  }
  return NULL;
}

GateLink *
gate_callers_take_link (GateCallers *callers, int fd)
{
  GateLink *link;

  pthread_mutex_lock (&callers->lock);
  link = take_link (callers, fd);
  pthread_mutex_unlock (&callers->lock);
  return link;
}

/* Releases an older link listed under this descriptor number: libmicrohttpd closed its connection
 * without a callback because the connection limit was reached. */
static void
add_handoff (GateCallers *callers, int fd, GateLink *link)
{
  Handoff *handoff = memory_alloc (sizeof (*handoff));

  handoff->fd = fd;
  handoff->link = gate_link_ref (link);
  pthread_mutex_lock (&callers->lock);
  gate_link_unref (take_link (callers, fd));
  cds_list_add_tail (&handoff->node, &callers->handoffs);
  pthread_mutex_unlock (&callers->lock);
}

/* libmicrohttpd owns fd from here on, even if it rejects the connection. It fetches the link in a
 * thread of its own. */
static void
hand_off (GateCallers *callers, int fd, GateLink *link, const struct sockaddr *from, int from_len)
{
  add_handoff (callers, fd, link);
  __atomic_add_fetch (&callers->handed_off, 1, __ATOMIC_RELAXED);
  if (MHD_add_connection (callers->daemon, fd, from, (socklen_t)from_len) == MHD_YES)
    return;
  gate_callers_connection_ended (callers);
  log_msg (MSG_GATE_CONNECTION_REFUSED, "fd=\"%d\"", fd);
}

static struct bufferevent *
new_caller_bufferevent (GateCallers *callers, evutil_socket_t fd)
{
  struct bufferevent *bev;

  if (!callers->tls)
    return bufferevent_socket_new (callers->base, fd, END_OPTIONS);
  bev = bufferevent_openssl_socket_new (callers->base, fd, SSL_new (callers->tls),
                                        BUFFEREVENT_SSL_ACCEPTING, END_OPTIONS);
  if (bev)
    bufferevent_openssl_set_allow_dirty_shutdown (bev, 1);
  return bev;
}

/* libmicrohttpd notices the end of a connection some time after it was closed here. */
static bool
has_room (GateCallers *callers)
{
  unsigned max = callers->filters.memory->connections_max;

  if (__atomic_load_n (&callers->handed_off, __ATOMIC_RELAXED) >= max + CONNECTIONS_ENDING_MAX)
    return false;
  return callers->filters.count < max || gate_filters_close_one (&callers->filters);
}

void
gate_callers_connection_ended (GateCallers *callers)
{
  __atomic_sub_fetch (&callers->handed_off, 1, __ATOMIC_RELAXED);
}

/* Without a bound the kernel lets the buffers of a connection grow to megabytes. */
static void
bound_buffers (int fd, int bytes)
{
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof (bytes));
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof (bytes));
}

static void
on_accept (struct evconnlistener *listener UNUSED,
           evutil_socket_t fd,
           struct sockaddr *from,
           int from_len,
           void *context)
{
  GateCallers *callers = context;
  struct bufferevent *caller, *server;
  GateLink *link;
  int on = 1, pair[2];

  if (!has_room (callers))
    {
      counter_add (COUNTER_GATE_CONNECTIONS_CLOSED, 1);
      close (fd);
      return;
    }
  if (socketpair (AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, pair) != 0)
    {
      log_msg (MSG_GATE_CONNECTION_REFUSED, "message=\"%s\"", strerror (errno));
      close (fd);
      return;
    }
  bound_buffers (pair[0], PAIR_BUFFER_BYTES);
  bound_buffers (pair[1], PAIR_BUFFER_BYTES);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  caller = new_caller_bufferevent (callers, fd);
  server = bufferevent_socket_new (callers->base, pair[0], END_OPTIONS);
  link = gate_link_new ();
  gate_filter_new (caller, server, link, &callers->limits, &callers->filters);
  hand_off (callers, pair[1], link, from, from_len);
  gate_link_unref (link);
}

static void
on_stop_accepting (evutil_socket_t fd UNUSED, short what UNUSED, void *context)
{
  GateCallers *callers = context;

  if (callers->listener)
    evconnlistener_free (callers->listener);
  callers->listener = NULL;
  sem_post (&callers->accept_stopped);
}

static void
on_end (evutil_socket_t fd UNUSED, short what UNUSED, void *context)
{
  GateCallers *callers = context;
  struct timeval step = { .tv_usec = FLUSH_STEP_US };
  int64_t now_ms = clock_boot_ms ();

  if (callers->end_ms == 0)
    callers->end_ms = now_ms + FLUSH_MAX_MS;
  gate_filters_skip_linger (&callers->filters);
  if (callers->filters.count == 0 || now_ms >= callers->end_ms)
    event_base_loopbreak (callers->base);
  else
    evtimer_add (callers->end, &step);
}

static void
on_tick (evutil_socket_t fd UNUSED, short what UNUSED, void *context)
{
  GateCallers *callers = context;

  gate_filters_tick (&callers->filters);
}

static void *
callers_run (void *context)
{
  GateCallers *callers = context;

  event_base_loop (callers->base, EVLOOP_NO_EXIT_ON_EMPTY);
  return NULL;
}

static bool
use_certificate (GateCallers *callers, Status *st)
{
  const SettingsGate *settings = callers->settings;

  callers->tls = SSL_CTX_new (TLS_server_method ());
  SSL_CTX_set_min_proto_version (callers->tls, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file (callers->tls, settings->tls_certificate_file) != 1)
    {
      status_set (st, STATUS_INVALID, STEP, NULL, "%s: cannot read a PEM certificate chain from it",
                  settings->tls_certificate_file);
      return false;
    }
  if (SSL_CTX_use_PrivateKey_file (callers->tls, settings->tls_key_file, SSL_FILETYPE_PEM) == 1)
    return true;
  status_set (st, STATUS_INVALID, STEP, NULL, "%s: cannot read the private key of %s from it",
              settings->tls_key_file, settings->tls_certificate_file);
  return false;
}

GateCallers *
gate_callers_new (const SettingsGate *settings,
                  const GateFilterLimits *limits,
                  GateMemory *memory,
                  Status *st)
{
  GateCallers *callers = memory_alloc (sizeof (*callers));

  callers->settings = settings;
  callers->limits = *limits;
  gate_filters_init (&callers->filters, memory);
  CDS_INIT_LIST_HEAD (&callers->handoffs);
  pthread_mutex_init (&callers->lock, NULL);
  sem_init (&callers->accept_stopped, 0, 0);
  evthread_use_pthreads ();
  callers->base = event_base_new ();
  callers->stop_accepting = event_new (callers->base, -1, 0, on_stop_accepting, callers);
  callers->end = event_new (callers->base, -1, 0, on_end, callers);
  callers->tick = event_new (callers->base, -1, EV_PERSIST, on_tick, callers);
  event_add (callers->tick, &(struct timeval){ .tv_usec = TICK_US });
  if (settings->tls_certificate_file == NULL || use_certificate (callers, st))
    return callers;
  gate_callers_free (callers);
  return NULL;
}

static bool
read_address (const SettingsAddress *address, struct sockaddr_storage *out, Status *st)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)out;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

  memset (out, 0, sizeof (*out));
  if (inet_pton (AF_INET, address->address, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons ((uint16_t)address->port);
      return true;
    }
  if (inet_pton (AF_INET6, address->address, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons ((uint16_t)address->port);
      return true;
    }
  status_set (st, STATUS_INVALID, STEP, address->address, "expected an IP number");
  return false;
}

bool
gate_callers_start (GateCallers *callers, struct MHD_Daemon *daemon, Status *st)
{
  const SettingsAddress *at = &callers->settings->callers;
  struct sockaddr_storage address;
  unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  int len;

  if (!read_address (at, &address, st))
    return false;
  len = address.ss_family == AF_INET ? sizeof (struct sockaddr_in) : sizeof (struct sockaddr_in6);
  callers->daemon = daemon;
  callers->listener = evconnlistener_new_bind (callers->base, on_accept, callers, flags, BACKLOG,
                                               (struct sockaddr *)&address, len);
  if (!callers->listener)
    {
      status_set (st, STATUS_INTERNAL, STEP, at->address, "cannot listen on port %lld",
                  (long long)at->port);
      return false;
    }
  bound_buffers (evconnlistener_get_fd (callers->listener), CALLER_BUFFER_BYTES);
  gate_thread_start (&callers->thread, callers_run, callers);
  callers->running = true;
  return true;
}

void
gate_callers_stop_accepting (GateCallers *callers)
{
  if (!callers->running)
    return;
  event_active (callers->stop_accepting, 0, 0);
  sem_wait (&callers->accept_stopped);
}

void
gate_callers_free (GateCallers *callers)
{
  Handoff *handoff, *next_handoff;

  if (callers->running)
    {
      event_active (callers->end, 0, 0);
      pthread_join (callers->thread, NULL);
    }
  gate_filters_free (&callers->filters);
  cds_list_for_each_entry_safe (handoff, next_handoff, &callers->handoffs, node)
  {
    gate_link_unref (handoff->link);
    handoff_free (handoff);
  }
  if (callers->listener)
    evconnlistener_free (callers->listener);
  event_free (callers->stop_accepting);
  event_free (callers->end);
  event_free (callers->tick);
  event_base_free (callers->base);
  SSL_CTX_free (callers->tls);
  pthread_mutex_destroy (&callers->lock);
  sem_destroy (&callers->accept_stopped);
  free (callers);
}
