/**
 * Set-up of the simulated site, its event loop and its faults.
 */
#include "model_site.h"

#include "util_assert.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>

#define US_PER_MS          1000
#define POLICY_SEED_OFFSET 1000003 /**< the policies' generator is independent of the callers' */
#define BIG_TEAMS          2       /**< number of teams that share BIG_TEAMS_SHARE of the load */
#define BIG_TEAMS_SHARE    0.5
#define VIEW_AGE_MS        100000 /**< of the gates at the start: the view counts as settled */
#define SLOWNESS           1.5    /**< of slow engines */

int64_t
site_ms (const ModelSite *site)
{
  return site->now_us / US_PER_MS;
}

uint64_t
site_random (ModelSite *site)
{
  uint64_t high = gsl_rng_get (site->policy_rng);

  return high << 32 | gsl_rng_get (site->policy_rng);
}

void
site_push (ModelSite *site, int64_t in_us, EventKind kind, unsigned subject)
{
  Event event = { .at_us = site->now_us + in_us, .kind = kind, .subject = subject };

  event_push (&site->events, &event);
}

static void
create_engines (ModelSite *site)
{
  const ModelScenario *scenario = site->scenario;
  unsigned i;

  site->engine_count = (unsigned)site->config->server_count;
  site->engines = memory_array (site->engine_count, sizeof *site->engines);
  site->engine_requests = memory_array (site->engine_count, sizeof *site->engine_requests);
  site->excluded = memory_array (site->engine_count, 1);
  for (i = 0; i < site->engine_count; i++)
    {
      bool slow = scenario->slow_every > 0 && i % scenario->slow_every == scenario->slow_every - 1;

      engine_init (&site->engines[i], scenario->config.slots, slow ? SLOWNESS : 1);
      site->engines[i].ignores_cancel = scenario->ignore_cancel;
      CDS_INIT_LIST_HEAD (&site->engine_requests[i]);
    }
}

static void
create_gates (ModelSite *site)
{
  const ModelScenario *scenario = site->scenario;
  unsigned i;

  site->gates = memory_array (scenario->gates, sizeof *site->gates);
  for (i = 0; i < scenario->gates; i++)
    {
      ModelGate *gate = &site->gates[i];

      gate->up = true;
      gate->domain = i % scenario->config.domains;
      snprintf (gate->domain_name, sizeof gate->domain_name, "d%u", gate->domain);
      gate->index = server_index_new (site->config, i + 1, gate->domain_name, INDEX_SUBSET);
      gate->views = memory_array (site->engine_count, sizeof *gate->views);
      gate->histories = memory_array (site->engine_count, sizeof *gate->histories);
      gate->estimates = estimates_new (&estimate_settings_default);
      gate->budget = retry_budget_new (&retry_settings_default);
      gate->limiter = limiter_new (&limit_settings_default);
      gate->quarantine = quarantine_new (&quarantine_settings_default);
      limiter_set_view (gate->limiter, scenario->gates, (int)i, -VIEW_AGE_MS);
      gate->candidate
          = memory_array (site->config->team_count * REQUEST_KINDS, sizeof *gate->candidate);
      gate->control
          = memory_array (site->config->team_count * REQUEST_KINDS, sizeof *gate->control);
      /* Spreads the gates' readings of the reports over the interval. */
      site_push (site, scenario->report_every_ms * US_PER_MS * (i + 1) / scenario->gates,
                 EVENT_REPORT, i);
    }
}

static void
set_team_rates (ModelSite *site)
{
  unsigned i, count = (unsigned)site->config->team_count;

  site->team_rates = memory_array (count, sizeof *site->team_rates);
  for (i = 0; i < count; i++)
    {
      bool big = i > 0 && i <= BIG_TEAMS;

      site->team_rates[i]
          = big ? BIG_TEAMS_SHARE / BIG_TEAMS : (1 - BIG_TEAMS_SHARE) / (count - BIG_TEAMS);
    }
}

static void
site_init (ModelSite *site, uint64_t seed)
{
  const ModelScenario *scenario = site->scenario;
  unsigned i;

  site->config = model_config (&scenario->config);
  site->callers_rng = gsl_rng_alloc (gsl_rng_mt19937);
  site->policy_rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (site->callers_rng, seed);
  gsl_rng_set (site->policy_rng, seed + POLICY_SEED_OFFSET);
  site->rate = scenario->rate;
  site->lag_ms = scenario->report_lag_ms;
  site->rating_available = true;
  site->candidate_time_factor = 1;
  site->bad_team_quality = 1;
  site->braked = memory_array (site->config->version_count, sizeof *site->braked);
  site->exposed = memory_array ((size_t)site->config->team_count * scenario->callers, 1);
  for (i = 0; i < MODEL_KINDS; i++)
    site->quality[i] = 1;
  create_engines (site);
  create_gates (site);
  set_team_rates (site);
  for (i = 0; i < FAULTS_MAX && scenario->faults[i].at_ms != 0; i++)
    site_push (site, scenario->faults[i].at_ms * US_PER_MS, EVENT_FAULT, i);
  rollout_prepare (site);
  site_push (site, 0, EVENT_SAMPLE, 0);
  site_push (site, 0, EVENT_ARRIVAL, 0);
}

static void
site_clear (ModelSite *site)
{
  size_t i;

  for (i = 0; i < site->scenario->gates; i++)
    {
      server_index_free (site->gates[i].index);
      free (site->gates[i].views);
      free (site->gates[i].histories);
      estimates_free (site->gates[i].estimates);
      retry_budget_free (site->gates[i].budget);
      limiter_free (site->gates[i].limiter);
      quarantine_free (site->gates[i].quarantine);
      free (site->gates[i].candidate);
      free (site->gates[i].control);
    }
  for (i = 0; i < site->request_count; i++)
    free (site->requests[i]);
  free (site->requests);
  free (site->gates);
  free (site->engines);
  free (site->engine_requests);
  free (site->excluded);
  free (site->braked);
  free (site->exposed);
  if (site->test != NULL)
    rollout_test_free (site->test);
  free (site->team_rates);
  event_queue_free (&site->events);
  gsl_rng_free (site->callers_rng);
  gsl_rng_free (site->policy_rng);
  config_unref (site->config);
}

static void
sample_engines (ModelSite *site)
{
  unsigned i;

  for (i = 0; i < site->engine_count; i++)
    engine_sample (&site->engines[i]);
  site_push (site, ENGINE_SAMPLE_US, EVENT_SAMPLE, 0);
}

static void
read_reports (ModelSite *site, unsigned gate_index)
{
  ModelGate *gate = &site->gates[gate_index];
  unsigned i;

  for (i = 0; i < site->engine_count; i++)
    {
      if (!site->engines[i].up || !gate->index->watched[i])
        continue;
      load_report (&gate->histories[i], &gate->views[i],
                   engine_load_before (&site->engines[i], site->lag_ms * US_PER_MS),
                   site_ms (site) - site->lag_ms, site_ms (site));
    }
  crash_exchange_deaths (site, gate_index);
  site_push (site, site->scenario->report_every_ms * US_PER_MS, EVENT_REPORT, gate_index);
}

static void
set_engine (ModelSite *site, unsigned engine, bool up)
{
  if (up)
    engine_restart (&site->engines[engine]);
  else
    attempt_engine_died (site, engine);
}

static void
set_domain (ModelSite *site, unsigned domain, bool up)
{
  unsigned i;

  for (i = 0; i < site->engine_count; i++)
    {
      if (i % site->scenario->config.domains == domain)
        set_engine (site, i, up);
    }
  /* The load balancer sends callers to the gates of other domains. Requests in progress at the lost
     gates go on in the simulation, which measures only the loss of engines. */
  for (i = 0; i < site->scenario->gates; i++)
    {
      if (site->gates[i].domain == domain)
        site->gates[i].up = up;
    }
}

static void
set_quality (ModelSite *site, unsigned kind, double factor)
{
  unsigned i;

  site->quality[kind] = factor;
  for (i = 0; i < CLASSES_COUNT; i++)
    site->oracle_known[i][0] = site->oracle_known[i][1] = false;
}

static void
apply_fault (ModelSite *site, const ModelFault *fault)
{
  unsigned i;

  switch (fault->kind)
    {
    case FAULT_RATE:
      site->rate = site->scenario->rate * fault->factor;
      break;
    case FAULT_DOMAIN_DOWN:
    case FAULT_DOMAIN_UP:
      set_domain (site, fault->subject, fault->kind == FAULT_DOMAIN_UP);
      break;
    case FAULT_ENGINES_DOWN:
    case FAULT_ENGINES_UP:
      for (i = 0; i < fault->subject; i++)
        set_engine (site, i, fault->kind == FAULT_ENGINES_UP);
      break;
    case FAULT_LAG:
      site->lag_ms = (int64_t)fault->factor;
      break;
    case FAULT_RATING_DOWN:
    case FAULT_RATING_UP:
      site->rating_available = fault->kind == FAULT_RATING_UP;
      break;
    case FAULT_QUALITY:
      set_quality (site, fault->subject, fault->factor);
      break;
    case FAULT_ROLLOUT:
      rollout_start (site);
      break;
    case FAULT_TEAM_QUALITY:
      site->bad_team = fault->subject;
      site->bad_team_quality = fault->factor;
      break;
    case FAULT_SLOW:
      site->candidate_time_factor = fault->factor;
      break;
    case FAULT_FLOOD:
      site->team_rates[fault->subject] *= fault->factor;
      break;
    case FAULT_CRASH:
      callers_crash_request (site);
      break;
    }
}

static void
handle_event (ModelSite *site, const Event *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      callers_arrival (site);
      break;
    case EVENT_SUBMIT:
      request_submit (site, event->subject);
      break;
    case EVENT_ENQUEUE:
      attempt_enqueue (site, event);
      break;
    case EVENT_DONE:
      attempt_done (site, event);
      break;
    case EVENT_FAILED:
      attempt_failed (site, event);
      break;
    case EVENT_TIMEOUT:
      attempt_timeout (site, event);
      break;
    case EVENT_RATED:
      request_rated (site, event);
      break;
    case EVENT_SAMPLE:
      sample_engines (site);
      break;
    case EVENT_REPORT:
      read_reports (site, event->subject);
      break;
    case EVENT_CONTROL:
      rollout_control (site);
      break;
    case EVENT_RESTART:
      engine_restart (&site->engines[event->subject]);
      break;
    case EVENT_FAULT:
      apply_fault (site, &site->scenario->faults[event->subject]);
      break;
    }
}

/** Events that schedule their successor; they stop at the end of the run. */
static bool
event_is_periodic (EventKind kind)
{
  return kind == EVENT_ARRIVAL || kind == EVENT_SAMPLE || kind == EVENT_REPORT
         || kind == EVENT_CONTROL;
}

ModelResult
model_run (const ModelScenario *scenario, const ModelPolicy *policy, uint64_t seed)
{
  ModelSite site = { .scenario = scenario, .policy = policy };
  ModelResult result;
  Event event;

  site_init (&site, seed);
  while (event_pop (&site.events, &event))
    {
      INVARIANT (event.at_us >= site.now_us, "at=%lld", (long long)event.at_us);
      site.now_us = event.at_us;
      if (site.now_us >= scenario->length_ms * US_PER_MS && event_is_periodic (event.kind))
        continue;
      handle_event (&site, &event);
    }
  result = site.result;
  INVARIANT (result.submitted == result.answered + result.failed + result_refused (&result),
             "asked=%u answered=%u failed=%u refused=%u", result.submitted, result.answered,
             result.failed, result_refused (&result));
  site_clear (&site);
  return result;
}
