/* lovage-steward: membership, configuration and brakes of the VMs, and the operators' API. */
#include "http_local.h"
#include "settings_arguments.h"
#include "steward.h"
#include "steward_cluster.h"
#include "steward_fetch.h"
#include "steward_heartbeat.h"
#include "steward_http.h"
#include "steward_leave.h"
#include "steward_meter.h"
#include "steward_recover.h"
#include "steward_rollout.h"
#include "steward_rpc.h"
#include "steward_table.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_log.h"
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Memory for copies of other VMs' usage records. */
#define BILLS_BYTES_MAX ((size_t)8 * 1024 * 1024)
/* Part of a graceful stop in which copies of usage records are written to the table. */
#define LEAVE_BILLS_TIMEOUT_MS INT64_C (10000)

const char *argp_program_version = "lovage-steward 0.1";

static bool
is_ready (void *context, Buffer *why)
{
  Steward *s = context;

  if (steward_cluster_grant (s, clock_boot_ms ()) > 0)
    return true;
  buffer_add_string (why, "no proof of a fresh configuration");
  return false;
}

static void
add_gauges (void *context, Buffer *out)
{
  Steward *s = context;
  int64_t now = clock_boot_ms ();

  buffer_printf (out, "steward_config_number %lld\n", (long long)steward_cluster_number (s));
  buffer_printf (out, "steward_members %zu\n", steward_cluster_members (s));
  buffer_printf (out, "steward_members_live %zu\n", steward_cluster_live (s, now));
  buffer_printf (out, "steward_grant_left_ms %lld\n", (long long)steward_cluster_grant (s, now));
}

/* Other stewards reach this one at the advertised address, if there is one. */
static void
fill_self (Steward *s)
{
  const SettingsAddress *at
      = s->settings.advertise.address != NULL ? &s->settings.advertise : &s->settings.rpc;

  s->incarnation = id_random_u64 () | 1;
  s->self = (ClusterMember){ .incarnation = s->incarnation, .port = (int)at->port };
  snprintf (s->self.vm, sizeof s->self.vm, "%s", s->settings.common.vm);
  snprintf (s->self.address, sizeof s->self.address, "%s", at->address);
  snprintf (s->self.failure_domain, sizeof s->self.failure_domain, "%s",
            s->settings.common.failure_domain);
}

static void
make_parts (Steward *s)
{
  const SettingsAddress *platform = &s->settings.common.platform;

  fill_self (s);
  s->platform = steward_meter_new (platform_http_new (platform->address, (int)platform->port));
  steward_cluster_init (&s->cluster, s->incarnation, s->settings.grant_ms);
  steward_document_init (&s->document);
  steward_gates_init (&s->gates, clock_boot_ms () + s->settings.grant_ms);
  steward_brakes_init (&s->brakes);
  steward_evidence_init (&s->evidence);
  steward_deaths_init (&s->deaths);
  steward_audit_queue_init (&s->audit);
  s->bills = bill_replica_new (BILLS_BYTES_MAX);
  s->started_at = clock_boot_ms ();
  atomic_init (&s->platform_up, true);
}

static void
free_parts (Steward *s)
{
  bill_replica_free (s->bills);
  steward_audit_queue_clear (&s->audit);
  steward_deaths_clear (&s->deaths);
  steward_evidence_clear (&s->evidence);
  steward_brakes_clear (&s->brakes);
  steward_gates_clear (&s->gates);
  steward_document_clear (&s->document);
  steward_cluster_clear (&s->cluster);
  platform_free (s->platform);
}

static HttpLocal *
start_local (Steward *s, Status *st)
{
  const SettingsAddress *local = &s->settings.local;
  HttpLocalOps ops = { .ready = is_ready, .gauges = add_gauges, .context = s };

  return http_local_start (local->address, (int)local->port, &ops, st);
}

static void
wait_for_stop (void)
{
  sigset_t signals;
  int signal_number;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  (void)sigwait (&signals, &signal_number);
}

/* To be called before any thread is created, so that all threads inherit the mask. */
static void
block_signals (void)
{
  sigset_t signals;

  (void)signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  (void)pthread_sigmask (SIG_BLOCK, &signals, NULL);
}

/* The VM's gate may use its last grant after this steward's stop. If this steward were removed from
   the view before the grant's end, a number could be reported as in force on all members while that
   gate still takes work under an older one. */
static void
wait_for_grants_end (Steward *s)
{
  int64_t left = steward_gates_grants_end (&s->gates) - clock_boot_ms ();

  INVARIANT (left <= s->settings.grant_ms, "left=\"%lld\"", (long long)left);
  if (left > 0)
    clock_sleep_ms (left);
}

/* After cluster_state_leave this steward answers no ask and gives no grant, so that its removal
   from the view counts as a proof of its death. */
static void
leave (Steward *s)
{
  size_t bills_left;

  log_msg (MSG_STEWARD_STOPPING, "vm=\"%s\"", s->self.vm);
  pthread_mutex_lock (&s->cluster.lock);
  cluster_state_leave (s->cluster.state);
  pthread_cond_broadcast (&s->cluster.changed);
  pthread_mutex_unlock (&s->cluster.lock);
  steward_http_stop (s->http);
  steward_rollout_stop (s->rollout);
  steward_heartbeat_stop (s->heartbeat);
  rpc_server_stop (s->rpc);
  steward_fetch_stop (s->fetch);
  steward_table_stop (s->table);
  wait_for_grants_end (s);
  steward_leave (s);
  bills_left = steward_recover_at_stop (s, LEAVE_BILLS_TIMEOUT_MS);
  if (bills_left > 0)
    log_msg (MSG_STEWARD_BILLS_LEFT, "vm=\"%s\" records=\"%zu\"", s->self.vm, bills_left);
  rpc_server_free (s->rpc);
}

static int
report_start_failure (const Status *st)
{
  log_msg (MSG_STEWARD_NOT_STARTED, "step=\"%s\" peer=\"%s\" error=\"%s\"", st->step, st->peer,
           st->message);
  return EXIT_FAILURE;
}

/* The operators' API starts after all other parts, and messages are handled only once all parts
   are running. */
static bool
start_parts (Steward *s, Status *st)
{
  if (!steward_rpc_open (s, st))
    return false;
  s->table = steward_table_start (s);
  s->fetch = steward_fetch_start (s);
  s->heartbeat = steward_heartbeat_start (s);
  s->rollout = steward_rollout_start (s);
  s->http = steward_http_start (s, st);
  if (s->http == NULL)
    {
      leave (s);
      return false;
    }
  rpc_server_start (s->rpc);
  return true;
}

static int
run_parts (Steward *s)
{
  Status st = { 0 };
  HttpLocal *local = start_local (s, &st);

  if (local == NULL)
    return report_start_failure (&st);
  if (!start_parts (s, &st))
    {
      http_local_stop (local);
      return report_start_failure (&st);
    }
  log_msg (MSG_STEWARD_STARTED, "vm=\"%s\" rpc=\"%s:%lld\" incarnation=\"%016llx\"", s->self.vm,
           s->settings.rpc.address, (long long)s->settings.rpc.port,
           (unsigned long long)s->incarnation);
  wait_for_stop ();
  leave (s);
  http_local_stop (local);
  log_msg (MSG_STEWARD_STOPPED, "vm=\"%s\"", s->self.vm);
  return EXIT_SUCCESS;
}

static int
run_steward (Steward *s)
{
  Status st = { 0 };
  int result;

  log_init ("lovage-steward", settings_log_priority (s->settings.common.log_priority));
  if (site_key_read (s->settings.common.site_key_file, &s->key, &st) != STATUS_OK)
    {
      log_msg (MSG_STEWARD_NOT_STARTED, "step=\"%s\" error=\"%s\"", st.step, st.message);
      return EXIT_FAILURE;
    }
  block_signals ();
  make_parts (s);
  result = run_parts (s);
  free_parts (s);
  return result;
}

int
main (int argc, char **argv)
{
  static Steward s;
  SettingsArguments arguments;
  CheckList list = { 0 };
  int result = EXIT_SUCCESS;

  settings_arguments_read (argc, argv, "Steward of one VM: membership, configuration, brakes.",
                           &arguments);
  list.file = arguments.settings_file;
  if (!settings_steward_read (arguments.settings_file, &s.settings, &list))
    {
      fputs (list.text.data, stderr);
      check_free (&list);
      return EXIT_FAILURE;
    }
  check_free (&list);
  if (!arguments.check)
    result = run_steward (&s);
  settings_steward_clear (&s.settings);
  return result;
}
