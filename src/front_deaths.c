#include "front_deaths.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
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
  QuarantineDeath parts; /* the same death, with parts of prompts in place of requests */
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

const QuarantineSettings front_quarantine_settings = {
  .servers = 3,             /* two may die by coincidence during one caller's retries */
  .repeated_deaths = 4,     /* a caller's request has three attempts on most routes */
  .suspect_hold_ms = 10000, /* callers of a harmless one wait no longer */
  .retention_ms = 60000,    /* callers retry such a request within seconds */
  .outage_ms = 1000,        /* servers of one rack die together */
  .same_death_ms = 3000,    /* a dead server restarts within seconds, under another id */
  .hold_ms = 120000,        /* also where the request comes again only after a minute */
  .final_after_ms = 1000,   /* by then the deaths of a common outage are known */
};

/* Deaths of a request from which it is logged and reported at once: one death has many requests of
 * no interest. */
#define SUSPECT_DEATHS_MIN 2
#define JUDGE_INTERVAL_MS  200 /* between judgements of parts of prompts */

static FrontLine *
log_begin (const char *state, uint64_t fingerprint)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_QUARANTINE);

  front_log_text (line, "state", state);
  front_log_number (line, "fingerprint", (int64_t)fingerprint);
  return line;
}

/* Shows for a request that was at several deaths at how many of those known here it was, and at how
 * many not. */
static void
log_suspect (uint64_t fingerprint, uint64_t server, const QuarantineEvidence *evidence)
{
  FrontLine *line = log_begin (evidence->is_held ? "refused" : "suspected", fingerprint);

  front_log_number (line, "server", (int64_t)server);
  front_log_number (line, "with", evidence->servers);
  front_log_number (line, "without", evidence->others);
  front_log_number (line, "rivals", evidence->rivals);
  front_log_end (line);
}

static void
log_released (const Front *front)
{
  uint64_t released[QUARANTINE_RELEASED_MAX];
  size_t count = quarantine_take_released (front->quarantine, released, QUARANTINE_RELEASED_MAX);

  for (size_t i = 0; i < count; i++)
    front_log_end (log_begin ("released", released[i]));
}

/* Adds a death or a report of one. What others need in order to refuse the same requests is sent to
 * them at once. False if all was known. */
static bool
add_death (Front *front, const QuarantineDeath *death, bool is_own, int64_t now_ms)
{
  bool was_held[QUARANTINE_FLIGHT_MAX];
  QuarantineEvidence all[QUARANTINE_FLIGHT_MAX];

  for (uint32_t i = 0; i < death->count; i++)
    was_held[i] = quarantine_contains (front->quarantine, death->flights[i], now_ms);
  if (!quarantine_add (front->quarantine, death, now_ms))
    return false;
  log_released (front);
  quarantine_evidence (front->quarantine, death, all, now_ms);
  for (uint32_t i = 0; i < death->count; i++)
    {
      const QuarantineEvidence *evidence = &all[i];

      /* Reports repeat for seconds, each with some requests more. */
      if (evidence->servers < SUSPECT_DEATHS_MIN || (!is_own && evidence->is_held == was_held[i]))
        continue;
      if (is_own || evidence->is_held)
        front_peers_send_soon (front->peers);
      log_suspect (death->flights[i], death->server, evidence);
    }
  return true;
}

void
front_deaths_told (Front *front, const QuarantineDeath *death, int64_t now_ms)
{
  if (add_death (front, death, false, now_ms))
    front_counter_add (FRONT_COUNTER_DEATHS_TOLD);
}

static void
log_part (const char *state, PartHash part, unsigned deaths)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_PART);

  front_log_text (line, "state", state);
  front_log_number (line, "part", (int64_t)part);
  front_log_number (line, "deaths", deaths);
  front_log_end (line);
}

/* True if an answer to a request with the part began shortly before it was refused, or later: many
 * servers that end at one moment were running requests with sound parts as well. */
static bool
is_refused_wrongly (const Front *front, PartHash part, int64_t left_ms, int64_t now_ms)
{
  int64_t refused_ms = now_ms + left_ms - front_quarantine_settings.hold_ms;

  return front_parts_is_sound (front->parts, part, refused_ms - PARTS_SOUND_MS);
}

static void
release_if_sound (Front *front, PartHash part, int64_t now_ms)
{
  int64_t left_ms = quarantine_left_ms (front->quarantine, part, now_ms);

  if (left_ms == 0 || !is_refused_wrongly (front, part, left_ms, now_ms))
    return;
  quarantine_release (front->quarantine, part, now_ms);
  log_part ("released", part, 0);
  front_peers_send_soon (front->peers);
}

void
front_deaths_parts_begun (Front *front, const PartHash *parts, unsigned count, int64_t now_ms)
{
  front_parts_begun (front->parts, parts, count, now_ms);
  for (unsigned i = 0; i < count; i++)
    release_if_sound (front, parts[i], now_ms);
}

void
front_deaths_part_cleared (Front *front, const PartCleared *cleared, int64_t now_ms)
{
  front_parts_told_cleared (front->parts, cleared, now_ms);
  release_if_sound (front, cleared->part, now_ms);
}

void
front_deaths_refusal_told (Front *front, const QuarantineRefusal *refusal, int64_t now_ms)
{
  bool was_held = quarantine_contains (front->quarantine, refusal->fingerprint, now_ms);
  FrontLine *line;

  if (is_refused_wrongly (front, refusal->fingerprint, refusal->left_ms, now_ms))
    return;
  quarantine_add_refusal (front->quarantine, refusal, now_ms);
  if (was_held || !quarantine_contains (front->quarantine, refusal->fingerprint, now_ms))
    return;
  front_peers_send_soon (front->peers);
  line = log_begin ("told", refusal->fingerprint);
  front_log_number (line, "left_ms", refusal->left_ms);
  front_log_end (line);
}

void
front_deaths_seen (Front *front, const QuarantineDeath *death, int64_t now_ms)
{
  front_counter_add (FRONT_COUNTER_DEATHS_SEEN);
  add_death (front, death, true, now_ms);
}

/* Logs the parts of a death that are at several. */
static void
log_suspects (const Front *front, const QuarantineDeath *death)
{
  for (uint32_t i = 0; i < death->count; i++)
    {
      unsigned deaths = front_parts_deaths (front->parts, death->flights[i]);

      if (deaths >= SUSPECT_DEATHS_MIN)
        log_part ("suspected", death->flights[i], deaths);
    }
}

static void
parts_seen (Front *front, const QuarantineDeath *death, int64_t now_ms)
{
  if (!front_parts_add (front->parts, death, front->quarantine, now_ms))
    return;
  front_peers_send_soon (front->peers);
  log_suspects (front, death);
}

void
front_deaths_parts_told (Front *front, const QuarantineDeath *death, int64_t now_ms)
{
  front_parts_add (front->parts, death, front->quarantine, now_ms);
}

void
front_deaths_tick (Front *front, int64_t now_ms)
{
  QuarantineRefusal refusal = { .left_ms = (uint32_t)front_quarantine_settings.hold_ms };

  if (now_ms - front->parts->judged_ms < JUDGE_INTERVAL_MS)
    return;
  front->parts->judged_ms = now_ms;
  while ((refusal.fingerprint = front_parts_judge (front->parts, front->quarantine, now_ms)) != 0)
    {
      quarantine_add_refusal (front->quarantine, &refusal, now_ms);
      log_part ("refused", refusal.fingerprint, 0);
      front_peers_send_soon (front->peers);
    }
}

static void
record_death (Probe *probe)
{
  int64_t now_ms = clock_boot_ms ();
  FrontLine *line = front_log_begin (FRONT_EVENT_SERVER_DIED);

  front_log_text (line, "server", probe->server->entry.id);
  front_log_number (line, "hash", (int64_t)probe->server->hash);
  front_log_number (line, "requests", probe->death.count);
  front_log_end (line);
  front_health_unreachable (&probe->server->health, now_ms);
  front_deaths_seen (probe->front, &probe->death, now_ms);
  parts_seen (probe->front, &probe->parts, now_ms);
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
  probe->parts.server = server->hash;
  probe->timer = evtimer_new (front->base, on_timer, probe);
  front_server_ref (server);
  cds_list_add_tail (&probe->node, &probes);
  evtimer_add (probe->timer, &wait);
  probe->bev = front_socket_connect (front->base, &server->address, PROBE_TIMEOUT_MS);
  if (probe->bev)
    bufferevent_setcb (probe->bev, NULL, NULL, on_event, probe);
  return probe;
}

static void
add_flight (QuarantineDeath *death, uint64_t flight)
{
  for (uint32_t i = 0; i < death->count; i++)
    {
      if (death->flights[i] == flight)
        return;
    }
  if (death->count < QUARANTINE_FLIGHT_MAX)
    death->flights[death->count++] = flight;
}

void
front_deaths_check (Front *front, FrontServer *server, const DeathFlight *flight)
{
  Probe *probe = probe_find (server);

  if (!probe)
    probe = probe_begin (front, server);
  if (probe->death.count < QUARANTINE_FLIGHT_MAX)
    probe->death.flights[probe->death.count++] = flight->fingerprint;
  for (unsigned i = 0; i < flight->part_count; i++)
    add_flight (&probe->parts, flight->parts[i]);
}
