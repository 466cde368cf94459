#include "gate_grant.h"
#include "cluster_brake.h"
#include "gate.h"
#include "gate_config.h"
#include "gate_deaths.h"
#include "gate_thread.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_wait.h"
#include <stdio.h>
#include <string.h>

#define RENEW_INTERVAL_MS 250
#define RENEW_TIMEOUT_MS  1000

static void *grant_run (void *context);
static void renew_once (Gate *gate);
static void add_brakes (Gate *gate, const rpc_grant *grant);

bool
gate_grant_valid (Gate *gate)
{
  int64_t until_ms = __atomic_load_n (&gate->grant.until_ms, __ATOMIC_ACQUIRE);

  return until_ms > 0 && clock_boot_ms () < until_ms;
}

static void
copy_name (char *out, size_t size, const char *name)
{
  snprintf (out, size, "%s", name != NULL ? name : "");
}

/* Only adds brakes. A brake is released by a configuration whose `released` for the version is at
 * least the brake's `since`. */
static void
add_brakes (Gate *gate, const rpc_grant *grant)
{
  for (u_int i = 0; i < grant->brakes.brakes_len; i++)
    {
      const rpc_brake *from = &grant->brakes.brakes_val[i];
      ClusterBrake brake = { .since = from->since };
      copy_name (brake.model, sizeof (brake.model), from->model_name);
      copy_name (brake.version, sizeof (brake.version), from->version_name);
      copy_name (brake.by, sizeof (brake.by), from->by);
      copy_name (brake.why, sizeof (brake.why), from->why);
      if (cluster_brakes_add (gate->grant.brakes, &brake) != CLUSTER_BRAKE_ADDED)
        continue;
      log_msg (MSG_GATE_BRAKE, "version=\"%s@%s\" since=\"%lld\" by=\"%s\"", brake.model,
               brake.version, (long long)brake.since, brake.by);
    }
}

static void
log_change (bool was_valid, bool is_valid)
{
  if (was_valid == is_valid)
    return;
  log_msg (is_valid ? MSG_GATE_GRANT : MSG_GATE_GRANT_LOST, NULL);
}

/*
 * The grant runs from before the renewal was sent, since the steward's confirmation was true at
 * some moment after that. It is valid only once the configuration that it names, or a newer one, is
 * in force in this gate, so a gate that could not read a configuration admits no requests under the
 * old one.
 */
static void
apply_grant (Gate *gate, const rpc_grant *grant, int64_t sent_ms)
{
  GateGrant *own = &gate->grant;
  int64_t until_ms = 0;

  /* The more gates there are, the less often each one writes, so that the site stays within the
     rate that the table service accepts. */
  if (__atomic_exchange_n (&own->members, (int64_t)grant->members, __ATOMIC_RELAXED)
          != (int64_t)grant->members
      && grant->members > 0)
    platform_group_set_interval (gate->group, platform_group_site_interval_ms (grant->members));
  __atomic_store_n (&own->rank, (int64_t)grant->rank, __ATOMIC_RELAXED);
  gate_limit_set_view (&gate->limit, grant->members, grant->rank);
  gate_replicas_set_peers (&gate->replicas, grant->peers.peers_val, grant->peers.peers_len);
  if (grant->number > gate_config_number (gate))
    gate_config_fetch (gate, grant->number);
  gate_config_apply_brakes (gate);
  if (grant->grant_ms > 0 && gate_config_number (gate) > 0
      && gate_config_number (gate) >= grant->number)
    until_ms = sent_ms + grant->grant_ms;
  counter_add (until_ms > 0 ? COUNTER_GATE_GRANTS : COUNTER_GATE_GRANTS_MISSED, 1);
  __atomic_store_n (&own->until_ms, until_ms, __ATOMIC_RELEASE);
}

static void
renew_once (Gate *gate)
{
  bool stopping = __atomic_load_n (&gate->stopping, __ATOMIC_ACQUIRE);
  rpc_grant_ask ask = {
    .incarnation = gate->incarnation,
    .number = gate_config_number (gate),
    .in_flight = (u_int)__atomic_load_n (&gate->in_flight, __ATOMIC_RELAXED),
    .stopping = stopping,
  };
  rpc_evidence evidence[LOVAGE_BRAKES_MAX];
  DeathReports reports;
  rpc_grant grant = { 0 };
  int64_t sent_ms = clock_boot_ms ();
  Status st = { 0 };
  StatusCode code;

  gate_deaths_collect (gate, &reports);
  ask.deaths.deaths_val = reports.list;
  ask.deaths.deaths_len = reports.count;
  ask.evidence.evidence_val = evidence;
  ask.evidence.evidence_len
      = (u_int)gate_evidence_take (gate->evidence, evidence, LOVAGE_BRAKES_MAX);
  code = rpc_client_call (gate->grant.steward, LOVAGE_GRANT, (xdrproc_t)xdr_rpc_grant_ask, &ask,
                          (xdrproc_t)xdr_rpc_grant, &grant, RENEW_TIMEOUT_MS, &st);

  if (code != STATUS_OK)
    {
      counter_add (COUNTER_GATE_GRANTS_MISSED, 1);
      /* If it is unknown whether the evidence arrived, it is dropped rather than counted twice. */
      if (code != STATUS_UNKNOWN)
        gate_evidence_put_back (gate->evidence, evidence, ask.evidence.evidence_len);
      return;
    }
  add_brakes (gate, &grant);
  gate_deaths_merge (gate, grant.deaths.deaths_val, grant.deaths.deaths_len);
  apply_grant (gate, &grant, sent_ms);
  xdr_free ((xdrproc_t)xdr_rpc_grant, (char *)&grant);
}

void
gate_grant_renew (Gate *gate)
{
  GateGrant *grant = &gate->grant;

  if (!grant->running)
    return;
  pthread_mutex_lock (&grant->lock);
  grant->requested++;
  pthread_cond_broadcast (&grant->changed);
  pthread_mutex_unlock (&grant->lock);
}

void
gate_grant_renew_and_wait (Gate *gate, int64_t max_ms)
{
  GateGrant *grant = &gate->grant;
  int64_t until_ms = clock_boot_ms () + max_ms;
  uint64_t target;

  if (!grant->running)
    return;
  pthread_mutex_lock (&grant->lock);
  target = ++grant->requested;
  pthread_cond_broadcast (&grant->changed);
  while (grant->completed < target && !grant->stop
         && wait_ms (&grant->changed, &grant->lock, until_ms - clock_boot_ms ()))
    continue;
  pthread_mutex_unlock (&grant->lock);
}

/* Sets *requested to the renewals that the one that begins now satisfies. False: the thread is to
 * end. */
static bool
begin_renewal (GateGrant *grant, uint64_t *requested)
{
  bool keep_running;

  pthread_mutex_lock (&grant->lock);
  *requested = grant->requested;
  keep_running = !grant->stop;
  pthread_mutex_unlock (&grant->lock);
  return keep_running;
}

/*
 * Marks the renewal as completed, then waits until next_ms or until another renewal is requested.
 */
static void
finish_renewal (GateGrant *grant, uint64_t requested, int64_t next_ms)
{
  pthread_mutex_lock (&grant->lock);
  grant->completed = requested;
  pthread_cond_broadcast (&grant->changed);
  while (grant->requested == requested && !grant->stop
         && wait_ms (&grant->changed, &grant->lock, next_ms - clock_boot_ms ()))
    continue;
  pthread_mutex_unlock (&grant->lock);
}

static void *
grant_run (void *context)
{
  Gate *gate = context;
  bool was_valid = false;
  uint64_t requested;

  gate_rcu_register ();
  while (begin_renewal (&gate->grant, &requested))
    {
      int64_t next_ms = clock_boot_ms () + RENEW_INTERVAL_MS;
      int64_t number = gate_config_number (gate);
      bool is_valid;
      renew_once (gate);
      is_valid = gate_grant_valid (gate);
      log_change (was_valid, is_valid);
      was_valid = is_valid;
      /* The steward treats a configuration as in force only once the gate has reported its
         number, so a new number is reported at once. */
      finish_renewal (&gate->grant, requested, gate_config_number (gate) > number ? 0 : next_ms);
    }
  return NULL;
}

void
gate_grant_start (Gate *gate)
{
  GateGrant *grant = &gate->grant;
  const SettingsAddress *steward = &gate->settings.steward;

  grant->brakes = cluster_brakes_new ();
  grant->steward
      = rpc_client_new (&gate->site_key, gate->incarnation, steward->address, (int)steward->port);
  pthread_mutex_init (&grant->lock, NULL);
  wait_init (&grant->changed);
  grant->running = true;
  gate_thread_start (&grant->thread, grant_run, gate);
}

void
gate_grant_stop (Gate *gate)
{
  GateGrant *grant = &gate->grant;

  if (!grant->running)
    return;
  pthread_mutex_lock (&grant->lock);
  grant->stop = true;
  pthread_cond_broadcast (&grant->changed);
  pthread_mutex_unlock (&grant->lock);
  pthread_join (grant->thread, NULL);
  pthread_cond_destroy (&grant->changed);
  pthread_mutex_destroy (&grant->lock);
  rpc_client_free (grant->steward);
  cluster_brakes_free (grant->brakes);
  grant->running = false;
}
