#include "front_accept.h"
#include "front_conn.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_unused.h"

#define BACKLOG 1024 /* all callers of a failure domain may connect at once */
/* Idle connections that are closed at once when no descriptor is left: requests need some for their
 * servers. */
#define RELIEF 16

static void
log_link (const Front *front)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_LINK_FULL);

  front_log_number (line, "excess_bytes", (int64_t)front_link_excess (&front->link));
  front_log_number (line, "connections", front->conn_count);
  front_log_end (line);
  front_counter_add (FRONT_COUNTER_LINK_FULL);
}

static void
log_descriptors (const Front *front, unsigned closed)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_DESCRIPTORS);

  front_log_number (line, "connections", front->conn_count);
  front_log_number (line, "most", front->descriptors.callers);
  front_log_number (line, "closed", closed);
  front_log_end (line);
}

static bool
link_has_room (Front *front)
{
  if (front_link_let_in (&front->link, clock_boot_ms ()))
    return true;
  log_link (front);
  return false;
}

static bool
make_room (Front *front)
{
  unsigned closed;

  if (front->conn_count < front->descriptors.callers)
    return true;
  closed = front_conn_close_one (front);
  log_descriptors (front, closed);
  return closed > 0;
}

/* Another front that hands a request over can't tell that it wasn't read. */
static bool
may_hand_over (const Front *front, const struct sockaddr *from)
{
  return front->conn_count < front->descriptors.callers + front->descriptors.handoffs
         && front_peers_knows (front->peers, from);
}

static void
on_accept (struct evconnlistener *listener UNUSED,
           evutil_socket_t fd,
           struct sockaddr *from,
           int len UNUSED,
           void *user)
{
  Front *front = user;

  if ((link_has_room (front) && make_room (front)) || may_hand_over (front, from))
    front_conn_new (front, fd);
  else
    evutil_closesocket (fd);
}

/* Without a pause the event loop would try again at once for as long as a caller waits. */
static void
on_error (struct evconnlistener *listener, void *user)
{
  Front *front = user;
  unsigned closed = front_conn_close_idle (front, RELIEF);

  log_descriptors (front, closed);
  if (closed > 0)
    return;
  evconnlistener_disable (listener);
  front->is_accept_paused = true;
}

void
front_accept_tick (Front *front)
{
  if (!front->is_accept_paused || !front->listener)
    return;
  front->is_accept_paused = false;
  evconnlistener_enable (front->listener);
}

void
front_accept_close (Front *front)
{
  if (front->listener)
    evconnlistener_free (front->listener);
  front->listener = NULL;
}

static unsigned
connections_max (const Front *front)
{
  unsigned fitting = front_memory_connections_max (&front->memory, CONN_BUFFER_BYTES);

  return front->descriptors.callers < fitting ? front->descriptors.callers : fitting;
}

bool
front_accept_listen (Front *front)
{
  struct sockaddr_in address;

  if (!front_socket_parse_address (front->settings.callers, &address))
    return false;
  front->callers_port = address.sin_port;
  front->descriptors.callers = connections_max (front);
  front->listener = evconnlistener_new_bind (
      front->base, on_accept, front, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_DISABLED,
      BACKLOG, (struct sockaddr *)&address, sizeof address);
  if (!front->listener)
    return false;
  evconnlistener_set_error_cb (front->listener, on_error);
  front_conn_bound (evconnlistener_get_fd (front->listener));
  return true;
}
