/* Runs a scenario: callers send requests, fronts decide by a policy, engines answer. */
#include "front_model.h"
#include "model_event.h"
#include "util_memory.h"
#include <gsl/gsl_randist.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOMAINS         4
#define FRONTS          68
#define ENGINES         88
#define LENGTH_MS       24000 /* of a scenario; its faults are active in the middle third */
#define ATTEMPTS_MAX    3     /* of a request */
#define REUSE_WINDOW_MS 6000  /* in which fronts expect a shared prefix to be used again */
#define FIRST_TOKEN_MS  60.0  /* added to a predicted time to the first token */
#define US_PER_MS       1000
#define MS_PER_S        1000.0
#define READ_PER_MS     140.0 /* prompt tokens, as fronts assume */
/* A model's stated confidence in its answer, 0 to 100: noisy, higher for a good one. According to
 * a site's logs, of 11,900 answers of the smallest model that were dropped, 45% stated less than 10
 * and 10% more than 40. */
#define CONFIDENCE_GOOD_MEAN 70.0
#define CONFIDENCE_POOR_MEAN 14.0
#define CONFIDENCE_DEVIATION 22.0
#define READ_PRICE           0.25 /* of a prompt token that is read, relative to a generated token */
/* Share of a good answer's worth that a poor answer earns. */
#define POOR_WORTH_SHARE 0.05

typedef struct
{
  const ModelClass *class;
  unsigned front;
  int64_t arrived_ms;
  int64_t sent_ms;
  double difficulty; /* a model answers well if its quality is above this */
  double output_tokens;
  FrontCall call;
  unsigned model;
  unsigned attempts;
  FrontServer *server; /* that the current attempt is sent to, or NULL */
  unsigned engine;
  double predicted_ms, pending_ms;
  double first_ms; /* of the answer relayed to the caller; 0: none */
} Call;

typedef struct
{
  const Scenario *scenario;
  const Policy *policy;
  Clock clock;
  int64_t now_us;
  EventQueue events;
  SiteEngine engines[ENGINES];
  FrontServers *views[FRONTS];
  FrontLag lags[FRONTS];
  Call *calls;
  unsigned call_count;
  double possible, earned, price; /* worth of all calls, worth earned, price of the models' work */
  unsigned in_time, attempts, other_domain;
  int64_t tokens, reread; /* prompt tokens sent, and those read again */
} Simulation;

static bool
in_fault (int64_t now_ms)
{
  return now_ms >= LENGTH_MS / 3 && now_ms < LENGTH_MS * 2 / 3;
}

static void
create_views (Simulation *sim)
{
  char domain[SERVER_TEXT_MAX];

  for (unsigned i = 0; i < FRONTS; i++)
    {
      snprintf (domain, sizeof domain, "domain-%u", i % DOMAINS);
      sim->views[i] = front_servers_new (domain);
      for (unsigned j = 0; j < ENGINES; j++)
        {
          ServerEntry entry = { .service = "texts", .version = "v1", .slots = ENGINE_BATCH };
          bool changed;

          snprintf (entry.id, sizeof entry.id, "%u", j);
          snprintf (entry.address, sizeof entry.address, "10.0.0.%u:80", j + 1);
          snprintf (entry.failure_domain, sizeof entry.failure_domain, "domain-%u", j % DOMAINS);
          front_servers_set (sim->views[i], &entry, 0, &changed);
        }
    }
}

static void
push (Simulation *sim, EventKind kind, unsigned call, double in_ms)
{
  Event event
      = { .at_us = sim->now_us + (int64_t)(in_ms * US_PER_MS), .kind = kind, .subject = call };

  event.attempt = kind == EVENT_ARRIVAL ? 0 : sim->calls[call].attempts;
  event_push (&sim->events, &event);
}

static const ModelClass *
draw_class (Simulation *sim)
{
  double at = gsl_rng_uniform (sim->clock.rng);
  unsigned i = 0;

  while (i + 1 < CLASSES && at >= model_classes[i].share)
    at -= model_classes[i++].share;
  return &model_classes[i];
}

/* prompt_factor applies to the shared prefix as well as to the rest of the prompt. */
static void
draw_prompt (Simulation *sim, Call *call)
{
  const ModelClass *class = call->class;
  gsl_rng *rng = sim->clock.rng;
  double spread = class->prompt_spread;
  double own = gsl_ran_lognormal (rng, -spread * spread / 2, spread)
               * (class->prompt_tokens - (double)class->shared_tokens);
  uint64_t prefix_number = gsl_rng_uniform_int (rng, class->shared_prefixes);
  double factor = sim->scenario->prompt_factor;

  call->call.part_count = 2;
  call->call.parts[0] = (PromptPart){
    .id = 1 + prefix_number + 10000 * (uint64_t)(class - model_classes),
    .tokens = (int64_t)((double)class->shared_tokens * factor),
  };
  call->call.parts[1] = (PromptPart){
    .id = 1000000 + (uint64_t)(call - sim->calls),
    .tokens = (int64_t)(own * factor),
  };
  call->call.prompt_tokens = call->call.parts[0].tokens + call->call.parts[1].tokens;
}

static void
release_server (Call *call)
{
  if (!call->server)
    return;
  call->server->running--;
  call->server->pending_ms = fmax (0, call->server->pending_ms - call->pending_ms);
  call->pending_ms = 0;
  call->server = NULL;
}

static PickQuery
query_of (const Call *call, unsigned model)
{
  return (PickQuery){
    .service = "texts",
    .call = &call->call,
    .model = model + 1,
    .read_time = { .ms_per_token = model_sizes[model].time_factor / READ_PER_MS },
    .objective_ms = call->class->objective_ms,
    .is_model = true,
    .affinity_tokens = call->call.parts[0].tokens,
    .reuse_window_ms = REUSE_WINDOW_MS,
  };
}

static void
record_attempt (Simulation *sim,
                Call *call,
                const PickQuery *query,
                const PickAnswer *pick,
                int64_t read)
{
  sim->price += model_sizes[call->model].price * (double)read * READ_PRICE / 1000;
  sim->tokens += call->call.prompt_tokens;
  sim->reread += read - call->call.parts[1].tokens > 0 ? read - call->call.parts[1].tokens : 0;
  sim->other_domain += !pick->server->is_same_domain;
  call->predicted_ms = pick->predicted_ms + FIRST_TOKEN_MS;
  call->pending_ms = pick->prompt_ms;
  pick->server->pending_ms += pick->prompt_ms;
  pick->server->running++;
  front_prompts_sent (&pick->server->prompts, &call->call, query->model, sim->clock.now_ms);
}

/* Sends the call to an engine. As in the product, an engine that refuses or does not answer is
 * recorded in the server's health, and another one is tried. */
static void
send_call (Simulation *sim, unsigned number)
{
  Call *call = &sim->calls[number];
  PickQuery query = query_of (call, call->model);
  int64_t now_ms = sim->clock.now_ms;

  while (call->attempts < ATTEMPTS_MAX)
    {
      PickAnswer pick = sim->policy->pick (sim->views[call->front], &query, &sim->clock);
      SiteEngine *engine;
      int64_t read;
      double first_ms;

      if (!pick.server)
        return;
      call->attempts++;
      call->sent_ms = now_ms;
      sim->attempts++;
      call->engine = (unsigned)strtoul (pick.server->entry.id, NULL, 10);
      engine = &sim->engines[call->engine];
      if (engine->lost)
        front_health_unreachable (&pick.server->health, now_ms);
      else if (!site_engine_accepts (engine))
        front_health_full (&pick.server->health, now_ms);
      else
        {
          call->server = pick.server;
          engine->running++;
          first_ms = site_engine_first_ms (engine, &call->call, call->model, now_ms, &read);
          record_attempt (sim, call, &query, &pick, read);
          push (sim, EVENT_RATED, number, first_ms);
          return;
        }
      query.tried[query.tried_count++] = pick.server->hash;
    }
}

static void
on_arrival (Simulation *sim)
{
  const Scenario *scenario = sim->scenario;
  double rate = scenario->rate * (in_fault (sim->clock.now_ms) ? scenario->burst_factor : 1);
  Call *call = &sim->calls[sim->call_count];

  if (sim->clock.now_ms >= LENGTH_MS || sim->call_count == MODEL_CALLS_MAX)
    return;
  *call = (Call){
    .class = draw_class (sim),
    .front = (unsigned)gsl_rng_uniform_int (sim->clock.rng, FRONTS),
    .arrived_ms = sim->clock.now_ms,
    .difficulty = gsl_rng_uniform (sim->clock.rng),
    .model = sim->policy->first_model,
  };
  call->output_tokens = gsl_ran_exponential (sim->clock.rng, call->class->output_tokens);
  draw_prompt (sim, call);
  sim->possible += call->class->worth;
  send_call (sim, sim->call_count++);
  push (sim, EVENT_ARRIVAL, 0, gsl_ran_exponential (sim->clock.rng, MS_PER_S / rate));
}

static bool
answers_well (const Call *call)
{
  return call->difficulty < model_sizes[call->model].quality;
}

static int
confidence_of (Simulation *sim, const Call *call)
{
  double mean = answers_well (call) ? CONFIDENCE_GOOD_MEAN : CONFIDENCE_POOR_MEAN;
  double confidence = mean + gsl_ran_gaussian (sim->clock.rng, CONFIDENCE_DEVIATION);

  return (int)fmin (fmax (confidence, 0), 100);
}

/* Context of forecast: a call that may be sent to a larger model. */
typedef struct
{
  Simulation *sim;
  Call *call;
} ForecastContext;

static unsigned
step_model (CascadeStep step)
{
  return step == CASCADE_MIDDLE ? MODELS / 2 : MODELS - 1;
}

static CascadeForecast
forecast (void *user, CascadeStep step)
{
  const ForecastContext *context = user;
  Simulation *sim = context->sim;
  PickQuery query = query_of (context->call, step_model (step));
  PickAnswer pick = front_pick (sim->views[context->call->front], &query, sim->clock.now_ms);

  return (CascadeForecast){ .has_server = pick.server != NULL,
                            .first_ms = pick.predicted_ms,
                            .reading_ms = pick.prompt_ms };
}

static CascadeStep
next_step (Simulation *sim, Call *call)
{
  ForecastContext context = { .sim = sim, .call = call };
  CascadeCase c = {
    .confidence = confidence_of (sim, call),
    .has_middle = MODELS > 2,
    .priority = call->class->priority,
    .elapsed_ms = sim->clock.now_ms - call->arrived_ms,
    .objective_ms = call->class->objective_ms,
    .lag_ms = front_lag_now (&sim->lags[call->front], sim->clock.now_ms),
    .forecast = forecast,
    .user = &context,
  };

  if (call->model == MODELS - 1 || call->attempts >= ATTEMPTS_MAX)
    return CASCADE_KEEP;
  return sim->policy->step (&c);
}

/* The answer begins: it is relayed to the caller, or dropped and a larger model tried. */
static void
on_first_token (Simulation *sim, unsigned number)
{
  Call *call = &sim->calls[number];
  SiteEngine *engine = &sim->engines[call->engine];
  double first_ms = (double)(sim->clock.now_ms - call->arrived_ms);
  double attempt_ms = (double)(sim->clock.now_ms - call->sent_ms);
  double late_ms = attempt_ms - call->predicted_ms;
  CascadeStep step;

  call->server->pending_ms = fmax (0, call->server->pending_ms - call->pending_ms);
  call->pending_ms = 0;
  front_health_answered (&call->server->health, sim->clock.now_ms, attempt_ms, call->predicted_ms);
  front_lag_add (&sim->lags[call->front], late_ms, sim->clock.now_ms);
  step = next_step (sim, call);
  if (step != CASCADE_KEEP)
    {
      engine->running--;
      release_server (call);
      call->model = step_model (step);
      send_call (sim, number);
      return;
    }
  call->first_ms = fmax (first_ms, 1);
  sim->price += model_sizes[call->model].price * call->output_tokens / 1000;
  push (sim, EVENT_DONE, number, site_engine_rest_ms (engine, call->output_tokens, call->model));
}

static void
on_done (Simulation *sim, unsigned number)
{
  Call *call = &sim->calls[number];
  const ModelClass *class = call->class;
  int64_t whole_ms = sim->clock.now_ms - call->arrived_ms;
  bool in_time = call->first_ms <= (double)class->objective_ms;
  double worth = in_time ? class->worth : class->late_worth;

  sim->engines[call->engine].running--;
  release_server (call);
  if (whole_ms > class->deadline_ms)
    return;
  sim->in_time += in_time;
  sim->earned += answers_well (call) ? worth : worth * POOR_WORTH_SHARE;
}

/* Faults affect the engines with the lowest numbers; failure domains alternate by number. */
static void
set_faults (Simulation *sim)
{
  bool now = in_fault (sim->clock.now_ms);

  for (unsigned i = 0; i < ENGINES; i++)
    {
      SiteEngine *engine = &sim->engines[i];
      double position = (double)i / ENGINES;

      engine->lost = now && position < sim->scenario->lost_share;
      engine->slowness
          = now && position < sim->scenario->slow_share ? sim->scenario->slow_factor : 1;
    }
}

/* Uses EVENT_RATED for the beginning of an answer. */
static void
handle_event (Simulation *sim, const Event *event)
{
  sim->now_us = event->at_us;
  sim->clock.now_ms = event->at_us / US_PER_MS;
  set_faults (sim);
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      on_arrival (sim);
      break;
    case EVENT_RATED:
      on_first_token (sim, event->subject);
      break;
    case EVENT_DONE:
      on_done (sim, event->subject);
      break;
    default:
      break;
    }
}

static ModelResult
make_result (const Simulation *sim)
{
  ModelResult result = {
    .in_time = (double)sim->in_time / sim->call_count,
    .worth = sim->earned / sim->possible,
    .price = sim->price / sim->possible,
    .net = (sim->earned - sim->price) / sim->possible,
    .other_domain = (double)sim->other_domain / sim->attempts,
    .reread = (double)sim->reread / (double)sim->tokens,
  };
  double *first = memory_alloc (sim->call_count * sizeof *first);
  size_t count = 0;

  for (unsigned i = 0; i < sim->call_count; i++)
    {
      if (sim->calls[i].first_ms > 0)
        first[count++] = sim->calls[i].first_ms;
    }
  if (count > 0)
    {
      gsl_sort (first, 1, count);
      result.first_p50_ms = gsl_stats_quantile_from_sorted_data (first, 1, count, 0.5);
      result.first_p99_ms = gsl_stats_quantile_from_sorted_data (first, 1, count, 0.99);
    }
  free (first);
  return result;
}

ModelResult
model_simulate (const Scenario *scenario, const Policy *policy, unsigned long seed)
{
  Simulation *sim = memory_alloc (sizeof *sim);
  ModelResult result;
  Event event;

  sim->scenario = scenario;
  sim->policy = policy;
  sim->clock.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim->clock.rng, seed);
  sim->calls = memory_alloc (MODEL_CALLS_MAX * sizeof *sim->calls);
  create_views (sim);
  push (sim, EVENT_ARRIVAL, 0, 0);
  while (event_pop (&sim->events, &event))
    handle_event (sim, &event);
  result = make_result (sim);
  for (unsigned i = 0; i < FRONTS; i++)
    front_servers_free (sim->views[i]);
  event_queue_free (&sim->events);
  gsl_rng_free (sim->clock.rng);
  free (sim->calls);
  free (sim);
  return result;
}
