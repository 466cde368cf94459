#include "front_deaths.h"
#include "front_log.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <stdlib.h>

/* Milliseconds in which a live server accepts a connection. A dead one refuses it at once or, if
 * its whole machine is down, never answers. */
#define PROBE_TIMEOUT_MS 400
#define US_PER_MS        1000L

/* Check of a server that has cut a connection. It counts as dead only if it accepts no new one:
 * engines also drop single answers, and a request that is dropped by three in a row would be
 * refused as if it crashed servers. */
typedef struct
{
  struct cds_list_head node;
  Front *front;
  FrontServer *server;
  struct bufferevent *bev;
  struct event *timer;
  QuarantineDeath death;
} Probe;

static CDS_LIST_HEAD (probes);

static void
probe_free (Probe *probe)
{
  cds_list_del (&probe->node);
  event_free (probe->timer);
  if (probe->bev)
    bufferevent_free (probe->bev);
  front_server_unref (probe->server);
  free (probe);
}

static void
record_death (Probe *probe)
{
  int64_t now_ms = clock_boot_ms ();

  front_health_unreachable (&probe->server->health, now_ms);
  quarantine_add (probe->front->quarantine, &probe->death, now_ms);
  for (uint32_t i = 0; i < probe->death.count; i++)
    {
      FrontLine *line;

      if (!quarantine_contains (probe->front->quarantine, probe->death.flights[i], now_ms))
        continue;
      line = front_log_begin (FRONT_EVENT_QUARANTINE);
      front_log_number (line, "fingerprint", (int64_t)probe->death.flights[i]);
      front_log_text (line, "server", probe->server->entry.id);
      front_log_end (line);
    }
}

static void
on_event (struct bufferevent *bev UNUSED, short what, void *user)
{
  Probe *probe = user;

  if (!(what & BEV_EVENT_CONNECTED))
    record_death (probe);
  probe_free (probe);
}

static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Probe *probe = user;

  record_death (probe);
  probe_free (probe);
}

static Probe *
probe_find (const FrontServer *server)
{
  Probe *probe;

  cds_list_for_each_entry (probe, &probes, node)
  {
    if (probe->server == server)
      return probe;
  }
  return NULL;
}

static Probe *
probe_begin (Front *front, FrontServer *server)
{
  struct timeval wait = { .tv_usec = PROBE_TIMEOUT_MS * US_PER_MS };
  Probe *probe = memory_alloc (sizeof *probe);

  probe->front = front;
  probe->server = server;
  probe->death.server = server->hash;
  probe->timer = evtimer_new (front->base, on_timer, probe);
  front_server_ref (server);
  cds_list_add_tail (&probe->node, &probes);
  evtimer_add (probe->timer, &wait);
  probe->bev = front_socket_connect (front->base, &server->address, PROBE_TIMEOUT_MS);
  if (probe->bev)
    bufferevent_setcb (probe->bev, NULL, NULL, on_event, probe);
  return probe;
}

void
front_deaths_check (Front *front, FrontServer *server, uint64_t fingerprint)
{
  Probe *probe = probe_find (server);

  if (!probe)
    probe = probe_begin (front, server);
  if (probe->death.count < QUARANTINE_FLIGHT_MAX)
    probe->death.flights[probe->death.count++] = fingerprint;
}
