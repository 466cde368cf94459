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

#define ASK_INTERVAL_MS 250
#define ASK_TIMEOUT_MS  1000

static void *grant_run (void *context);
static void ask_once (Gate *gate);
static void take_brakes (Gate *gate, const rpc_grant *grant);

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

/* Brakes only ever add up here; a configuration that names a later `released` frees a version. */
static void
take_brakes (Gate *gate, const rpc_grant *grant)
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
note_change (bool had, bool has)
{
  if (had == has)
    return;
  log_msg (has ? MSG_GATE_GRANT : MSG_GATE_GRANT_LOST, NULL);
}

/*
 * The grant is counted from before the ask was sent: the steward's word was true at some moment
 * after that. It counts only once the configuration that it speaks of, or a newer one, is in force
 * here, so a gate that could not read a configuration takes no new work on the old one.
 */
static void
take_grant (Gate *gate, const rpc_grant *grant, int64_t sent_ms)
{
  GateGrant *own = &gate->grant;
  int64_t until_ms = 0;

  /* Each gate writes less often the more there are, so that the site stays within what the table
     service takes. */
  if (__atomic_exchange_n (&own->members, (int64_t)grant->members, __ATOMIC_RELAXED)
          != (int64_t)grant->members
      && grant->members > 0)
    platform_group_set_interval (gate->group, platform_group_site_interval_ms (grant->members));
  __atomic_store_n (&own->rank, (int64_t)grant->rank, __ATOMIC_RELAXED);
  gate_limit_view (&gate->limit, grant->members, grant->rank);
  gate_replicas_name (&gate->replicas, grant->peers.peers_val, grant->peers.peers_len);
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
ask_once (Gate *gate)
{
  bool stopping = __atomic_load_n (&gate->stopping, __ATOMIC_ACQUIRE);
  rpc_grant_ask ask = {
    .incarnation = gate->incarnation,
    .number = gate_config_number (gate),
    .in_flight = (u_int)__atomic_load_n (&gate->in_flight, __ATOMIC_RELAXED),
    .stopping = stopping,
  };
  rpc_evidence evidence[LOVAGE_BRAKES_MAX];
  DeathNews news;
  rpc_grant grant = { 0 };
  int64_t sent_ms = clock_boot_ms ();
  Status st = { 0 };
  StatusCode code;

  gate_deaths_news (gate, &news);
  ask.deaths.deaths_val = news.list;
  ask.deaths.deaths_len = news.count;
  ask.evidence.evidence_val = evidence;
  ask.evidence.evidence_len
      = (u_int)gate_evidence_take (gate->evidence, evidence, LOVAGE_BRAKES_MAX);
  code = rpc_client_call (gate->grant.steward, LOVAGE_GRANT, (xdrproc_t)xdr_rpc_grant_ask, &ask,
                          (xdrproc_t)xdr_rpc_grant, &grant, ASK_TIMEOUT_MS, &st);

  if (code != STATUS_OK)
    {
      counter_add (COUNTER_GATE_GRANTS_MISSED, 1);
      /* Evidence of which it is not known whether it arrived is lost rather than counted twice. */
      if (code != STATUS_UNKNOWN)
        gate_evidence_put_back (gate->evidence, evidence, ask.evidence.evidence_len);
      return;
    }
  take_brakes (gate, &grant);
  gate_deaths_take (gate, grant.deaths.deaths_val, grant.deaths.deaths_len);
  take_grant (gate, &grant, sent_ms);
  xdr_free ((xdrproc_t)xdr_rpc_grant, (char *)&grant);
}

void
gate_grant_wake (Gate *gate)
{
  GateGrant *grant = &gate->grant;

  if (!grant->running)
    return;
  pthread_mutex_lock (&grant->lock);
  grant->wanted++;
  pthread_cond_broadcast (&grant->changed);
  pthread_mutex_unlock (&grant->lock);
}

void
gate_grant_hear (Gate *gate, int64_t most_ms)
{
  GateGrant *grant = &gate->grant;
  int64_t until_ms = clock_boot_ms () + most_ms;
  uint64_t ask;

  if (!grant->running)
    return;
  pthread_mutex_lock (&grant->lock);
  ask = ++grant->wanted;
  pthread_cond_broadcast (&grant->changed);
  while (grant->heard < ask && !grant->stop
         && wait_ms (&grant->changed, &grant->lock, until_ms - clock_boot_ms ()))
    continue;
  pthread_mutex_unlock (&grant->lock);
}

/* What was wanted before the ask that begins now; false: to be stopped. */
static bool
begin_ask (GateGrant *grant, uint64_t *wanted)
{
  bool goes_on;

  pthread_mutex_lock (&grant->lock);
  *wanted = grant->wanted;
  goes_on = !grant->stop;
  pthread_mutex_unlock (&grant->lock);
  return goes_on;
}

/* Waits until next_ms, or until an ask is wanted that the last one was not. */
static void
end_ask (GateGrant *grant, uint64_t wanted, int64_t next_ms)
{
  pthread_mutex_lock (&grant->lock);
  grant->heard = wanted;
  pthread_cond_broadcast (&grant->changed);
  while (grant->wanted == wanted && !grant->stop
         && wait_ms (&grant->changed, &grant->lock, next_ms - clock_boot_ms ()))
    continue;
  pthread_mutex_unlock (&grant->lock);
}

static void *
grant_run (void *context)
{
  Gate *gate = context;
  bool had = false;
  uint64_t wanted;

  gate_rcu_enter ();
  while (begin_ask (&gate->grant, &wanted))
    {
      int64_t next_ms = clock_boot_ms () + ASK_INTERVAL_MS;
      int64_t number = gate_config_number (gate);
      bool has;
      ask_once (gate);
      has = gate_grant_valid (gate);
      note_change (had, has);
      had = has;
      /* The steward calls a number in force only once its gate has said so: say it at once. */
      end_ask (&gate->grant, wanted, gate_config_number (gate) > number ? 0 : next_ms);
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
