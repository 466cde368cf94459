/* lovage-gate: accepts callers' requests and routes them to backend servers. */
#include "gate.h"
#include "gate_http.h"
#include "gate_poll.h"
#include "gate_refused.h"
#include "http_local.h"
#include "settings_arguments.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_id.h"
#include "util_log.h"
#include "util_memory.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define MEMBERS_AT_START  9   /* assumed until the first grant gives the number */
#define GROUP_OPS_MAX     400 /* operations in one transaction */
#define TABLE_TIMEOUT_MS  1500
#define SESSION_CACHE_MAX 20000 /* rows of named sessions */
#define FILES_PER_STREAM  7     /* see raise_file_limit */
#define FILES_SPARE       256   /* for all other files and sockets of the process */
#define STOP_STEP_MS      20    /* interval of checks for requests in progress */
#define STOP_BILL_MIN_MS  2000  /* shortest time given to usage records that are not durable yet */

/** The gate and the modules that only main starts and stops. */
typedef struct
{
  Gate gate;
  HttpLocal *local;
  GatePoll *poll;
  GateHttp *http;
} Main;

const char *argp_program_version = "lovage-gate 0.1";

/* Until this is true the readiness check fails, so that the balancer sends no requests before teams
   with limits can be served. */
static bool
limits_settled (Gate *gate)
{
  GateSnapshot *snapshot = gate_snapshot_get (&gate->snapshots);
  bool settled = snapshot == NULL || gate_limit_settled (&gate->limit, snapshot->config);

  gate_snapshot_put (snapshot);
  return settled;
}

static bool
is_ready (void *context, Buffer *why)
{
  Gate *gate = context;
  int reason = gate_admission (gate);

  if (reason == REASON_NONE && limits_settled (gate))
    return true;
  buffer_add_string (why, reason != REASON_NONE ? refusal_name (reason) : "limits_settling");
  return false;
}

static void
add_gauges (void *context, Buffer *out)
{
  Gate *gate = context;
  GateSnapshot *snapshot = gate_snapshot_get (&gate->snapshots);
  BillBacklog backlog = { 0 };

  bill_backlog (gate->bill, &backlog);
  buffer_printf (out, "gate_in_flight %lld\n",
                 (long long)__atomic_load_n (&gate->in_flight, __ATOMIC_RELAXED));
  buffer_printf (out, "gate_held_requests_bytes %zu\ngate_held_answers_bytes %zu\n",
                 gate_memory_held (&gate->memory, GATE_MEMORY_REQUESTS),
                 gate_memory_held (&gate->memory, GATE_MEMORY_ANSWERS));
  buffer_printf (out, "gate_config_number %lld\n",
                 snapshot != NULL ? (long long)snapshot->config->number : 0);
  buffer_printf (out, "gate_granted %d\n", gate_grant_valid (gate) ? 1 : 0);
  buffer_printf (out, "gate_bill_backlog %zu\n", backlog.count);
  buffer_printf (out, "gate_bill_backlog_bytes %zu\n", backlog.bytes);
  gate_refused_metrics (out);
  gate_snapshot_put (snapshot);
}

static bool
load_settings (const char *file, Gate *gate)
{
  CheckList list = { .file = file };
  bool good = settings_gate_read (file, &gate->settings, &list);

  if (list.text.data != NULL)
    fputs (list.text.data, stderr);
  check_free (&list);
  if (!good)
    return false;
  gate->policy = server_policy_find (gate->settings.server_policy);
  if (gate->policy != NULL)
    return true;
  fprintf (stderr, "%s: server_policy: no policy is named \"%s\"\n", file,
           gate->settings.server_policy);
  return false;
}

static bool
load_key (Gate *gate, Status *st)
{
  if (site_key_read (gate->settings.common.site_key_file, &gate->site_key, st) != STATUS_OK)
    return false;
  site_key_derive (&gate->site_key, "session", gate->session_key);
  return true;
}

static void
start_writers (Gate *gate)
{
  const SettingsGate *settings = &gate->settings;
  BillOptions bill = {
    .gate = gate->incarnation,
    .spool_max = (size_t)settings->spool_max,
    .table_timeout_ms = TABLE_TIMEOUT_MS,
    .in_progress_max = (size_t)settings->streams_max,
    .batch_interval_ms = platform_group_site_interval_ms (MEMBERS_AT_START),
    .replicator = { .copy = gate_replicas_copy, .context = gate },
  };

  gate->platform
      = platform_http_new (settings->common.platform.address, (int)settings->common.platform.port);
  gate->group
      = platform_group_new (gate->platform, platform_group_site_interval_ms (MEMBERS_AT_START),
                            GROUP_OPS_MAX, TABLE_TIMEOUT_MS);
  bill.platform = gate->platform;
  bill.group = gate->group;
  gate->bill = bill_writer_new (&bill);
  gate->releaser = claim_releaser_new (gate->platform);
  gate->sessions = session_named_new (gate->group, SESSION_CACHE_MAX);
  gate->sampler = gate_sample_start (gate);
}

static void
renew_grant (void *context)
{
  gate_grant_renew (context);
}

static bool
start (Main *m, Status *st)
{
  Gate *gate = &m->gate;
  const SettingsGate *settings = &gate->settings;
  HttpLocalOps local = { .ready = is_ready, .gauges = add_gauges, .context = gate };

  if (!load_key (gate, st))
    return false;
  gate->incarnation = id_random_u64 ();
  gate_servers_init (&gate->servers, settings->common.vm, settings->common.failure_domain);
  gate->servers.quarantine = quarantine_new (&quarantine_settings_default);
  gate->servers.observed_deaths = quarantine_new (&quarantine_settings_default);
  gate->servers.on_death = renew_grant;
  gate->servers.context = gate;
  gate_rating_init (&gate->rating);
  gate_limit_init (&gate->limit);
  gate_memory_init (&gate->memory, settings->memory_max, settings->streams_max);
  gate_replicas_init (&gate->replicas);
  gate->retries = retry_budget_new (&retry_settings_default);
  gate->estimates = estimates_new (&estimate_settings_default);
  gate->evidence = gate_evidence_new ();
  start_writers (gate);
  m->local = http_local_start (settings->local.address, (int)settings->local.port, &local, st);
  if (m->local == NULL)
    return false;
  gate_watch_start (&gate->watch);
  m->http = gate_http_start (gate, st);
  if (m->http == NULL)
    return false;
  gate_grant_start (gate);
  m->poll = gate_poll_start (gate);
  return true;
}

/* Refuses new requests, with a retry-after time, and waits for those in progress. Their connections
   stay open until the requests have ended or stop_timeout_ms has passed. */
static void
wait_for_requests (Gate *gate)
{
  int64_t until_ms = clock_boot_ms () + gate->settings.stop_timeout_ms;

  __atomic_store_n (&gate->stopping, true, __ATOMIC_RELEASE);
  while (__atomic_load_n (&gate->in_flight, __ATOMIC_ACQUIRE) > 0)
    {
      if (clock_boot_ms () >= until_ms)
        {
          log_msg (MSG_GATE_STOP_INCOMPLETE, "in_flight=\"%lld\"",
                   (long long)__atomic_load_n (&gate->in_flight, __ATOMIC_RELAXED));
          return;
        }
      clock_sleep_ms (STOP_STEP_MS);
    }
}

/* Stops all modules. Usage records that are not durable yet get the rest of stop_timeout_ms,
   but at least STOP_BILL_MIN_MS. Returns the number of records left. */
static size_t
stop (Main *m)
{
  Gate *gate = &m->gate;
  int64_t until_ms = clock_boot_ms () + gate->settings.stop_timeout_ms;
  int64_t left_ms;
  size_t left;

  wait_for_requests (gate);
  gate_http_stop (m->http);
  gate_poll_stop (m->poll);
  gate_watch_stop (&gate->watch);
  gate_grant_stop (gate);
  gate_sample_stop (gate->sampler);
  claim_releaser_free (gate->releaser);
  left_ms = until_ms - clock_boot_ms ();
  left = bill_writer_free (gate->bill,
                           (int)(left_ms > STOP_BILL_MIN_MS ? left_ms : STOP_BILL_MIN_MS));
  http_local_stop (m->local);
  session_named_free (gate->sessions);
  platform_group_free (gate->group);
  platform_free (gate->platform);
  gate_replicas_clear (&gate->replicas);
  gate_evidence_free (gate->evidence);
  quarantine_free (gate->servers.quarantine);
  quarantine_free (gate->servers.observed_deaths);
  gate_limit_clear (&gate->limit);
  gate_memory_clear (&gate->memory);
  estimates_free (gate->estimates);
  retry_budget_free (gate->retries);
  return left;
}

/* Each request in progress has a socket to its caller, a socket pair to libmicrohttpd and a socket
   to its engine. The other three are for a second connection, without an engine, that may be
   waiting to be refused. */
static void
raise_file_limit (const SettingsGate *settings)
{
  rlim_t wanted = (rlim_t)settings->streams_max * FILES_PER_STREAM + FILES_SPARE;
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted)
    return;
  limit.rlim_cur = limit.rlim_max < wanted ? limit.rlim_max : wanted;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < wanted)
    log_msg (MSG_GATE_FEW_FILES, "limit=\"%llu\" wanted=\"%llu\"",
             (unsigned long long)limit.rlim_cur, (unsigned long long)wanted);
}

static int
serve (Main *m)
{
  const SettingsGate *settings = &m->gate.settings;
  Status st = { 0 };
  sigset_t signals;
  int signal_number;
  size_t left;

  raise_file_limit (settings);
  memory_return_freed ();
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  if (!start (m, &st))
    {
      log_msg (MSG_GATE_NOT_STARTED, "step=\"%s\" message=\"%s\"", st.step, st.message);
      return EXIT_FAILURE;
    }
  log_msg (MSG_GATE_STARTED, "vm=\"%s\" address=\"%s\" port=\"%lld\"", settings->common.vm,
           settings->callers.address, (long long)settings->callers.port);
  sigwait (&signals, &signal_number);
  log_msg (MSG_GATE_STOPPING, "signal=\"%d\"", signal_number);
  left = stop (m);
  log_msg (MSG_GATE_STOPPED, "records_left=\"%zu\"", left);
  return left == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static Main m;
  SettingsArguments arguments;
  int status;

  settings_arguments_read (
      argc, argv, "Takes callers' requests and routes them to backend servers.", &arguments);
  log_init ("lovage-gate", LOG_INFO);
  if (!load_settings (arguments.settings_file, &m.gate))
    {
      log_msg (MSG_SETTINGS_REFUSED, NULL);
      return EXIT_FAILURE;
    }
  if (arguments.check)
    {
      printf ("%s: good\n", arguments.settings_file);
      return EXIT_SUCCESS;
    }
  log_init ("lovage-gate", settings_log_priority (m.gate.settings.common.log_priority));
  status = serve (&m);
  settings_gate_clear (&m.gate.settings);
  return status;
}
