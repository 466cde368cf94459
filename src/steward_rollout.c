#include "steward_rollout.h"
#include "cluster_brake.h"
#include "steward_brake.h"
#include "steward_cluster.h"
#include "steward_duty.h"
#include "steward_orders.h"
#include "steward_rollout_set.h"
#include "steward_rollout_submit.h"
#include "steward_rollout_table.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUND_INTERVAL_MS 250
/* Delay after a step that could not be submitted. */
#define RETRY_DELAY_MS 1000
/* Interval between reads of the evidence rows while no roll-out is open. */
#define SWEEP_INTERVAL_MS 10000
#define REASON_SIZE       256

struct StewardRollout
{
  Steward *s;
  pthread_t thread;
  pthread_mutex_t lock; /**< guards stop */
  pthread_cond_t wake;
  bool stop;
  StewardDuty *duty;
  StewardOrders *orders;
  /* The fields below belong to the thread. */
  int64_t number; /**< number of the configuration last applied to the evidence */
  EvidenceRow row;
  EvidenceRollout *open; /**< this VM's totals of the open roll-outs */
  size_t open_count;
  RolloutSet own;    /**< tests of this VM's evidence, on every steward, also without the table */
  RolloutSet merged; /**< tests of all VMs' evidence, on the holder of the duty */
  int64_t next_write_at;
  bool unwritten; /**< some totals are not in the table yet */
  int64_t next_merge_at;
  int64_t next_step_at; /**< no step before this time */
};

static const ConfigRollout *
rollout_of (const Config *config, const EvidenceRollout *open)
{
  int model = config_find_model (config, open->model);

  for (size_t i = 0; model >= 0 && i < config->rollout_count; i++)
    if (config->rollouts[i].model == (unsigned)model)
      return &config->rollouts[i];
  return NULL;
}

static bool
is_stopped (Steward *s, const Config *config, unsigned version)
{
  const ConfigVersion *v = &config->versions[version];
  bool braked;

  pthread_mutex_lock (&s->brakes.lock);
  braked = cluster_brakes_find (s->brakes.set, config->models[v->model].name, v->name) != NULL;
  pthread_mutex_unlock (&s->brakes.lock);
  return braked || v->state == VERSION_WITHDRAWN;
}

/* A brake needs neither the duty nor the table service: it only takes work away from a version,
   and merging the brakes of several stewards is harmless. So it is raised before the patch is
   submitted and, in an outage, without a patch. */
static void
raise_brake (StewardRollout *r, const Config *config, const ConfigRollout *rollout, const char *why)
{
  ClusterBrake brake = { .since = config->number };

  if (is_stopped (r->s, config, rollout->to))
    return;
  snprintf (brake.model, sizeof brake.model, "%s", config->models[rollout->model].name);
  snprintf (brake.version, sizeof brake.version, "%s", config->versions[rollout->to].name);
  snprintf (brake.by, sizeof brake.by, "%s", STEWARD_ROLLOUT_OPERATOR);
  snprintf (brake.why, sizeof brake.why, "%s", why);
  (void)steward_brake_raise (r->s, &brake);
}

static void
update_open_rollouts (StewardRollout *r, const Config *config, int64_t now)
{
  if (config->number != r->number)
    {
      steward_evidence_apply_config (&r->s->evidence, config);
      r->number = config->number;
      r->unwritten = true;
    }
  r->open_count = steward_evidence_copy (&r->s->evidence, r->open);
  rollout_set_update (&r->own, r->open, r->open_count, config->team_count,
                      steward_cluster_members (r->s), now);
}

/* Each steward tests its own VM's evidence: in an outage of the table service no other evidence is
   available. */
static void
test_own_evidence (StewardRollout *r, const Config *config, int64_t now)
{
  for (size_t i = 0; i < r->open_count; i++)
    {
      const ConfigRollout *rollout = rollout_of (config, &r->open[i]);
      RolloutWatch *w = rollout_set_find (&r->own, &r->open[i]);
      RolloutDecision decision;
      if (rollout == NULL || w == NULL)
        continue;
      rollout_watch_add_totals (w, r->row.key, &r->open[i]);
      decision = rollout_watch_decide (w, rollout->stage, now);
      if (decision.verdict == ROLLOUT_BRAKE)
        raise_brake (r, config, rollout, decision.why);
    }
}

/* Calls of an unavailable table service would only delay the test of this VM's own evidence. */
static bool
table_is_up (StewardRollout *r)
{
  return atomic_load (&r->s->platform_up);
}

static void
write_row (StewardRollout *r, int64_t now)
{
  char *text;

  if (r->open_count == 0 || now < r->next_write_at || !table_is_up (r))
    return;
  r->unwritten |= steward_evidence_changed (&r->s->evidence);
  if (!r->unwritten)
    return;
  r->next_write_at = now + steward_evidence_interval_ms (steward_cluster_members (r->s));
  text = steward_evidence_text (r->s->self.vm, r->open, r->open_count);
  r->unwritten = evidence_row_write (&r->row, r->s->platform, text, NULL) != STATUS_OK;
  free (text);
}

static bool
add_totals (void *context, const char *key, const EvidenceRollout *totals)
{
  return rollout_set_add_totals (context, key, totals);
}

/* Without open roll-outs the rows are still read from time to time, to delete rows that are written
   late. */
static void
merge_rows (StewardRollout *r, int64_t now)
{
  int64_t interval_ms = steward_evidence_interval_ms (steward_cluster_members (r->s));

  if (now < r->next_merge_at || !table_is_up (r))
    return;
  r->next_merge_at
      = now
        + (r->open_count > 0 || interval_ms > SWEEP_INTERVAL_MS ? interval_ms : SWEEP_INTERVAL_MS);
  (void)evidence_rows_read (r->s->platform, add_totals, &r->merged, NULL);
}

static void
make_step (StewardRollout *r,
           const Config *config,
           const ConfigRollout *rollout,
           RolloutStep step,
           const RolloutDecision *decision,
           int64_t callers)
{
  char reason[REASON_SIZE];

  snprintf (reason, sizeof reason, "%s: %s; callers of the new version: at most %lld",
            rollout_step_name (step),
            decision->why[0] == '\0' ? "a brake binds the version" : decision->why,
            (long long)callers);
  if (!rollout_submit (r->s, r->duty, config, rollout, step, reason))
    r->next_step_at = clock_boot_ms () + RETRY_DELAY_MS;
}

/* True if a step was submitted: the configuration may be another one now. */
static bool
drive_rollout (StewardRollout *r, const Config *config, const EvidenceRollout *open, int64_t now)
{
  const ConfigRollout *rollout = rollout_of (config, open);
  RolloutWatch *w = rollout_set_find (&r->merged, open);
  RolloutDecision decision;
  RolloutStep step;

  if (rollout == NULL || w == NULL)
    return false;
  decision = rollout_watch_decide (w, rollout->stage, now);
  if (decision.verdict == ROLLOUT_BRAKE)
    raise_brake (r, config, rollout, decision.why);
  RolloutStepInput input
      = { .verdict = decision.verdict,
          .braked = is_stopped (r->s, config, rollout->to),
          .accepted = steward_cluster_progress (r->s, config->number, clock_boot_ms ()).accepted,
          .ordered = steward_orders_sent (r->orders, config, rollout->to) };
  step = rollout_step_due (rollout, &input);
  if (step == ROLLOUT_STEP_NONE || now < r->next_step_at)
    return false;
  make_step (r, config, rollout, step, &decision, rollout_watch_callers (w));
  return true;
}

/* A new holder starts without evidence. It needs none of its predecessor's, because the rows'
   totals contain all evidence since the roll-out began. */
static void
act_as_holder (StewardRollout *r, const Config *config, int64_t now)
{
  if (steward_duty_fence (r->duty) == 0)
    {
      rollout_set_clear (&r->merged);
      r->next_merge_at = 0;
      return;
    }
  rollout_set_update (&r->merged, r->open, r->open_count, config->team_count, 1, now);
  merge_rows (r, now);
  for (size_t i = 0; i < r->open_count; i++)
    if (drive_rollout (r, config, &r->open[i], now))
      return;
}

static void
run_round (StewardRollout *r)
{
  int64_t now = clock_boot_ms ();
  Config *config;

  steward_duty_step (r->duty, steward_cluster_members (r->s));
  config = steward_document_config (&r->s->document);
  if (config == NULL)
    return;
  update_open_rollouts (r, config, now);
  test_own_evidence (r, config, now);
  write_row (r, now);
  act_as_holder (r, config, now);
  config_unref (config);
}

static void *
run (void *context)
{
  StewardRollout *r = context;

  pthread_mutex_lock (&r->lock);
  while (!r->stop)
    {
      pthread_mutex_unlock (&r->lock);
      run_round (r);
      pthread_mutex_lock (&r->lock);
      if (!r->stop)
        (void)wait_ms (&r->wake, &r->lock, ROUND_INTERVAL_MS);
    }
  pthread_mutex_unlock (&r->lock);
  return NULL;
}

StewardRollout *
steward_rollout_start (Steward *s)
{
  StewardRollout *r = memory_alloc (sizeof *r);
  StewardDutyOptions options = { .platform = s->platform,
                                 .name = STEWARD_ROLLOUT_DUTY,
                                 .vm = s->self.vm,
                                 .incarnation = s->incarnation,
                                 .clock_ms = clock_boot_ms };

  r->s = s;
  r->duty = steward_duty_new (&options);
  r->orders = steward_orders_start (s, r->duty);
  r->open = memory_array (EVIDENCE_ROLLOUTS_MAX, sizeof *r->open);
  evidence_row_init (&r->row, s->incarnation);
  pthread_mutex_init (&r->lock, NULL);
  wait_init (&r->wake);
  int error = pthread_create (&r->thread, NULL, run, r);
  INVARIANT (error == 0, "pthread_create: %s", strerror (error));
  return r;
}

void
steward_rollout_stop (StewardRollout *r)
{
  if (r == NULL)
    return;
  pthread_mutex_lock (&r->lock);
  r->stop = true;
  pthread_cond_signal (&r->wake);
  pthread_mutex_unlock (&r->lock);
  pthread_join (r->thread, NULL);
  steward_orders_stop (r->orders);
  steward_duty_release (r->duty);
  steward_duty_free (r->duty);
  rollout_set_clear (&r->own);
  rollout_set_clear (&r->merged);
  free (r->open);
  pthread_cond_destroy (&r->wake);
  pthread_mutex_destroy (&r->lock);
  free (r);
}
