/* lovage-front: routes callers' requests to the backend servers of the users' platform, in one
 * process per VM. */
#include "front.h"
#include "front_accept.h"
#include "front_attempt.h"
#include "front_conn.h"
#include "front_control.h"
#include "front_deaths.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_pool.h"
#include "front_request.h"
#include "front_socket.h"
#include "front_store.h"
#include "settings_arguments.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_unused.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <syslog.h>

/* Interval between checks of time-outs, roll-outs and messages; far below any of their limits. */
#define TICK_INTERVAL_MS           100
#define MS_PER_S                   1000
#define NS_PER_MS                  1000000
#define US_PER_MS                  1000L
#define SETTINGS_CHECK_INTERVAL_MS 2000
/* The load balancer needs two failed health checks to send callers elsewhere. */
#define STOP_MIN_MS    2500
#define STOP_MARGIN_MS 400 /* margin before the process would be killed */
/* A session is held longer than it lasts, to allow for differing clocks and network delay. */
#define SESSION_MARGIN_MS 1000
/* Share of the permitted retries that is used; the rest allows for requests that the servers count
 * and the router doesn't. */
#define RETRY_SHARE_FACTOR 0.93

typedef struct
{
  Front front;
  const char *settings_file;
  int64_t settings_checked_ms;
  int64_t settings_changed_ms; /* the file's modification time */
  FrontControl *control;
  struct event *tick;
  struct event *signals[2];
} Main;

const char *argp_program_version = "lovage-front 0.1";

static bool
is_done (const Front *front, int64_t now_ms)
{
  return front->request_count == 0 && front_conn_all_done (front, now_ms);
}

static void
stop_check (Main *self, int64_t now_ms)
{
  Front *front = &self->front;
  int64_t passed_ms = now_ms - front->stop_requested_ms;
  int64_t max_ms = (int64_t)(front->settings.stop_s * MS_PER_S) - STOP_MARGIN_MS;

  if (front->stop_requested_ms == 0)
    return;
  if (passed_ms >= max_ms || (!front->listener && is_done (front, now_ms)))
    event_base_loopbreak (front->base);
  /* A caller whose connection is refused knows that its request didn't run. What was accepted until
   * now is served before the process ends. */
  else if (front_stop_left_ms (front, now_ms) <= 0
           || (passed_ms >= STOP_MIN_MS && is_done (front, now_ms)))
    front_accept_close (front);
}

static void settings_check (Main *self, int64_t now_ms);

static void
on_tick (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Main *self = user;
  int64_t now_ms = clock_boot_ms ();

  front_open (&self->front, now_ms);
  front_servers_expire (self->front.servers, now_ms);
  front_pool_sweep (self->front.pool, now_ms);
  front_conn_sweep (&self->front, now_ms);
  front_attempts_resume (&self->front);
  front_store_tick (self->front.store, now_ms);
  front_peers_tick (self->front.peers, now_ms);
  front_deaths_tick (&self->front, now_ms);
  front_requests_note_silent (&self->front, now_ms);
  front_waits_expire (self->front.waits, now_ms);
  front_peers_send_waits (self->front.peers, now_ms);
  front_budget_set_fronts (self->front.budget, front_peers_alive (self->front.peers, now_ms));
  front_peers_fill_view (self->front.peers, now_ms, &self->front.fronts);
  front_control_tick (self->control, now_ms);
  front_accept_tick (&self->front);
  settings_check (self, now_ms);
  stop_check (self, now_ms);
}

static void
on_stop (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Main *self = user;
  FrontLine *line;

  if (self->front.stop_requested_ms != 0)
    return;
  self->front.stop_requested_ms = clock_boot_ms ();
  front_pool_clear (self->front.pool);
  line = front_log_begin (FRONT_EVENT_STOP);
  front_log_text (line, "phase", "asked");
  front_log_number (line, "requests", self->front.request_count);
  front_log_end (line);
}

static void
reload (Main *self)
{
  SettingsFront settings;
  CheckList list = { .file = self->settings_file };
  FrontLine *line = front_log_begin (FRONT_EVENT_RELOAD);

  /* Addresses take effect at a restart only; what may change while requests are served is applied.
   */
  if (settings_front_read (self->settings_file, &settings, &list))
    {
      self->front.settings.stop_s = settings.stop_s;
      self->front.settings.reuse_window_s = settings.reuse_window_s;
      self->front.settings.config_apply_ms = settings.config_apply_ms;
      self->front.settings.hedge_share = settings.hedge_share;
      front_hedge_set_share (self->front.hedge, settings.hedge_share);
      self->front.settings.keep_connections_ms = settings.keep_connections_ms;
      if (self->front.settings.link_mbps != settings.link_mbps)
        front_link_set (&self->front.link, settings.link_mbps, clock_boot_ms ());
      self->front.settings.link_mbps = settings.link_mbps;
      front_memory_set (&self->front.memory, settings.memory_mb);
      settings_front_clear (&settings);
      front_log_text (line, "outcome", "applied");
    }
  else
    {
      front_log_text (line, "outcome", "kept");
      front_log_text (line, "error", list.text.data);
    }
  front_log_end (line);
  check_free (&list);
}

static void
on_reload (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  reload (user);
}

/* The file may change without a signal. */
static void
settings_check (Main *self, int64_t now_ms)
{
  struct stat found;
  int64_t changed_ms;

  if (now_ms - self->settings_checked_ms < SETTINGS_CHECK_INTERVAL_MS)
    return;
  self->settings_checked_ms = now_ms;
  if (stat (self->settings_file, &found) != 0)
    return;
  changed_ms = (int64_t)found.st_mtim.tv_sec * MS_PER_S + found.st_mtim.tv_nsec / NS_PER_MS;
  if (self->settings_changed_ms != 0 && self->settings_changed_ms != changed_ms)
    reload (self);
  self->settings_changed_ms = changed_ms;
}

static void
timers_start (Main *self)
{
  struct timeval every = { .tv_usec = TICK_INTERVAL_MS * US_PER_MS };

  self->tick = event_new (self->front.base, -1, EV_PERSIST, on_tick, self);
  event_add (self->tick, &every);
  event_active (self->tick, EV_TIMEOUT, 0); /* announces this front to others without delay */
  self->signals[0] = evsignal_new (self->front.base, SIGTERM, on_stop, self);
  self->signals[1] = evsignal_new (self->front.base, SIGHUP, on_reload, self);
  event_add (self->signals[0], NULL);
  event_add (self->signals[1], NULL);
}

static int64_t
descriptors_all (const SettingsFront *settings)
{
  struct rlimit limit;

  if (settings->descriptors > 0)
    return settings->descriptors;
  return getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur <= INT64_MAX
             ? (int64_t)limit.rlim_cur
             : 0;
}

/* Returns the name of the first part whose endpoint is not valid or can't be bound; NULL: all were
 * started. */
static const char *
parts_start (Main *self)
{
  Front *front = &self->front;
  const SettingsFront *settings = &front->settings;

  front->base = event_base_new ();
  front->incarnation = id_random_u64 ();
  front->started_ms = clock_boot_ms ();
  front_link_set (&front->link, settings->link_mbps, front->started_ms);
  front_memory_set (&front->memory, settings->memory_mb);
  CDS_INIT_LIST_HEAD (&front->conns);
  CDS_INIT_LIST_HEAD (&front->requests);
  CDS_INIT_LIST_HEAD (&front->waiting_attempts);
  front_waiting_init (&front->waiting);
  front_returning_init (&front->returning);
  front_holding_init (&front->holding);
  front->servers = front_servers_new (settings->failure_domain);
  front->sessions
      = front_sessions_new ((int64_t)(settings->session_s * MS_PER_S) + SESSION_MARGIN_MS);
  front->rollouts
      = front_rollouts_new (front->sessions, front_failure_domain_hash (settings->failure_domain));
  front->budget = front_budget_new (&(BudgetSettings){
      .share = settings->retry_share * RETRY_SHARE_FACTOR,
      .extra = settings->retry_extra,
      .window_ms = (int64_t)(settings->retry_window_s * MS_PER_S),
  });
  front->hedge = front_hedge_new (front->incarnation);
  front_hedge_set_share (front->hedge, settings->hedge_share);
  front->quarantine = quarantine_new (&front_quarantine_settings);
  front->parts = memory_alloc (sizeof *front->parts);
  front->waits = front_waits_new ();
  front->descriptors = front_descriptors_divide (descriptors_all (settings));
  front->pool = front_pool_new (front->descriptors.kept);
  front->peers = front_peers_new (front);
  if (!front->peers)
    return "peers";
  front->vm_hash = id_hash_string (settings->vm, 0);
  front_peers_fill_view (front->peers, front->started_ms, &front->fronts);
  front->store = front_store_new (front);
  if (!front->store)
    return "store";
  self->control = front_control_new (front);
  if (!self->control)
    return "control";
  if (!front_accept_listen (front))
    return "callers";
  timers_start (self);
  return NULL;
}

static void
parts_stop (Main *self)
{
  Front *front = &self->front;

  front_accept_close (front);
  front_control_free (self->control);
  front_store_free (front->store);
  front_waiting_clear (&front->waiting);
  front_returning_clear (&front->returning);
  front_holding_clear (&front->holding);
  front_peers_free (front->peers);
  front_waits_free (front->waits);
  front_pool_free (front->pool);
  event_free (self->tick);
  event_free (self->signals[0]);
  event_free (self->signals[1]);
}

static void
log_start (const Main *self)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_START);

  front_log_text (line, "version", argp_program_version);
  front_log_text (line, "failure_domain", self->front.settings.failure_domain);
  front_log_text (line, "callers", self->front.settings.callers);
  front_log_text (line, "store", self->front.settings.store);
  front_log_number (line, "incarnation", (int64_t)self->front.incarnation);
  front_log_end (line);
}

static int
serve (Main *self)
{
  const char *failed_part;
  FrontLine *line;

  front_log_init (self->front.settings.vm);
  log_start (self);
  failed_part = parts_start (self);
  if (failed_part)
    {
      fprintf (stderr, "lovage-front: can't start: bad or occupied endpoint for %s\n", failed_part);
      return 1;
    }
  event_base_dispatch (self->front.base);
  line = front_log_begin (FRONT_EVENT_STOP);
  front_log_text (line, "phase", "done");
  front_log_number (line, "requests", self->front.request_count);
  front_log_end (line);
  parts_stop (self);
  return 0;
}

int
main (int argc, char **argv)
{
  static Main self;
  SettingsArguments arguments;
  CheckList list = { 0 };

  settings_arguments_read (argc, argv, "Serves callers' requests on the platform.", &arguments);
  log_init ("lovage-front", LOG_NOTICE);
  memory_return_freed ();
  signal (SIGPIPE, SIG_IGN);
  self.settings_file = arguments.settings_file;
  list.file = arguments.settings_file;
  if (!settings_front_read (arguments.settings_file, &self.front.settings, &list))
    {
      fprintf (stderr, "%s", list.text.data ? list.text.data : "");
      check_free (&list);
      return 1;
    }
  if (arguments.check)
    return 0;
  return serve (&self);
}
