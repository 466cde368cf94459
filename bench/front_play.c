/* Plays a scenario: callers' requests, fronts that decide by a policy, engines that answer. */
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
#define LENGTH_MS       24000 /* of a scenario; its fault takes the middle third */
#define ATTEMPTS_MOST   3
#define REUSE_WINDOW_MS 6000
#define FIRST_TOKEN_MS  60.0 /* that fronts add to a prediction */
#define US_PER_MS       1000
#define MS_PER_S        1000.0
#define READ_A_MS       140.0 /* what fronts expect, as their configuration says */
/* The model's own opinion of its answer, 0 to 100: rough, higher for a good one. Of 11,900 answers
 * of the smallest model that a site's logs say were dropped, 45% said less than 10, 10% more
 * than 40.
 */
#define CONFIDENCE_WELL   70.0
#define CONFIDENCE_POOR   14.0
#define CONFIDENCE_SPREAD 22.0
#define READ_PRICE        0.25 /* of a token that is read, against one that is generated */
/* What a poor answer earns of a good one's worth. */
#define POOR_WORTH 0.05

typedef struct
{
  const ModelClass *class;
  unsigned front;
  int64_t arrived_ms;
  int64_t sent_ms;
  double hard; /* a model answers it well if its quality is above this */
  double output_tokens;
  FrontCall call;
  unsigned model;
  unsigned attempts;
  FrontServer *server; /* NULL: none has it */
  unsigned engine;
  double predicted_ms, pending_ms;
  double first_ms; /* of the answer that went to the caller; 0: none did */
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
  double possible, earned, price;
  unsigned in_time, attempts, far;
  int64_t tokens, reread;
} Play;

static bool
in_fault (int64_t now_ms)
{
  return now_ms >= LENGTH_MS / 3 && now_ms < LENGTH_MS * 2 / 3;
}

static void
views_new (Play *play)
{
  char domain[SERVER_TEXT_MAX];

  for (unsigned i = 0; i < FRONTS; i++)
    {
      snprintf (domain, sizeof domain, "domain-%u", i % DOMAINS);
      play->views[i] = front_servers_new (domain);
      for (unsigned j = 0; j < ENGINES; j++)
        {
          ServerEntry entry = { .service = "texts", .version = "v1", .slots = ENGINE_BATCH };
          bool changed;

          snprintf (entry.id, sizeof entry.id, "%u", j);
          snprintf (entry.address, sizeof entry.address, "10.0.0.%u:80", j + 1);
          snprintf (entry.failure_domain, sizeof entry.failure_domain, "domain-%u", j % DOMAINS);
          front_servers_set (play->views[i], &entry, 0, &changed);
        }
    }
}

static void
push (Play *play, EventKind kind, unsigned call, double in_ms)
{
  Event event
      = { .at_us = play->now_us + (int64_t)(in_ms * US_PER_MS), .kind = kind, .subject = call };

  event.attempt = kind == EVENT_ARRIVAL ? 0 : play->calls[call].attempts;
  event_push (&play->events, &event);
}

static const ModelClass *
draw_class (Play *play)
{
  double at = gsl_rng_uniform (play->clock.rng);
  unsigned i = 0;

  while (i + 1 < CLASSES && at >= model_classes[i].share)
    at -= model_classes[i++].share;
  return &model_classes[i];
}

/* A long prompt is long in the part that it shares with others, too. */
static void
draw_prompt (Play *play, Call *call)
{
  const ModelClass *class = call->class;
  gsl_rng *rng = play->clock.rng;
  double spread = class->prompt_spread;
  double own = gsl_ran_lognormal (rng, -spread * spread / 2, spread)
               * (class->prompt_tokens - (double)class->shared_tokens);
  uint64_t thing = gsl_rng_uniform_int (rng, class->things);
  double times = play->scenario->long_times;

  call->call.part_count = 2;
  call->call.parts[0] = (PromptPart){
    .id = 1 + thing + 10000 * (uint64_t)(class - model_classes),
    .tokens = (int64_t)((double)class->shared_tokens * times),
  };
  call->call.parts[1] = (PromptPart){
    .id = 1000000 + (uint64_t)(call - play->calls),
    .tokens = (int64_t)(own * times),
  };
  call->call.prompt_tokens = call->call.parts[0].tokens + call->call.parts[1].tokens;
}

static void
free_server (Call *call)
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
    .read_time = { .ms_per_token = model_sizes[model].pace / READ_A_MS },
    .objective_ms = call->class->objective_ms,
    .is_model = true,
    .affinity_tokens = call->call.parts[0].tokens,
    .reuse_window_ms = REUSE_WINDOW_MS,
  };
}

static void
account (Play *play, Call *call, const PickQuery *query, const PickAnswer *pick, int64_t read)
{
  play->price += model_sizes[call->model].price * (double)read * READ_PRICE / 1000;
  play->tokens += call->call.prompt_tokens;
  play->reread += read - call->call.parts[1].tokens > 0 ? read - call->call.parts[1].tokens : 0;
  play->far += !pick->server->is_same_domain;
  call->predicted_ms = pick->predicted_ms + FIRST_TOKEN_MS;
  call->pending_ms = pick->prompt_ms;
  pick->server->pending_ms += pick->prompt_ms;
  pick->server->running++;
  front_prompts_sent (&pick->server->prompts, &call->call, query->model, play->clock.now_ms);
}

/* Sends the call to some engine; those that turn it away or don't answer are told of, as the
 * product does, and another one is asked. */
static void
send_call (Play *play, unsigned number)
{
  Call *call = &play->calls[number];
  PickQuery query = query_of (call, call->model);
  int64_t now_ms = play->clock.now_ms;

  while (call->attempts < ATTEMPTS_MOST)
    {
      PickAnswer pick = play->policy->pick (play->views[call->front], &query, &play->clock);
      SiteEngine *engine;
      int64_t read;
      double first_ms;

      if (!pick.server)
        return;
      call->attempts++;
      call->sent_ms = now_ms;
      play->attempts++;
      call->engine = (unsigned)strtoul (pick.server->entry.id, NULL, 10);
      engine = &play->engines[call->engine];
      if (engine->lost)
        front_health_unreachable (&pick.server->health, now_ms);
      else if (!site_engine_takes (engine))
        front_health_full (&pick.server->health, now_ms);
      else
        {
          call->server = pick.server;
          engine->running++;
          first_ms = site_engine_first_ms (engine, &call->call, call->model, now_ms, &read);
          account (play, call, &query, &pick, read);
          push (play, EVENT_RATED, number, first_ms);
          return;
        }
      query.tried[query.tried_count++] = pick.server->hash;
    }
}

static void
on_arrival (Play *play)
{
  const Scenario *scenario = play->scenario;
  double rate = scenario->rate * (in_fault (play->clock.now_ms) ? scenario->burst : 1);
  Call *call = &play->calls[play->call_count];

  if (play->clock.now_ms >= LENGTH_MS || play->call_count == MODEL_CALLS_MAX)
    return;
  *call = (Call){
    .class = draw_class (play),
    .front = (unsigned)gsl_rng_uniform_int (play->clock.rng, FRONTS),
    .arrived_ms = play->clock.now_ms,
    .hard = gsl_rng_uniform (play->clock.rng),
    .model = play->policy->first_model,
  };
  call->output_tokens = gsl_ran_exponential (play->clock.rng, call->class->output_tokens);
  draw_prompt (play, call);
  play->possible += call->class->worth;
  send_call (play, play->call_count++);
  push (play, EVENT_ARRIVAL, 0, gsl_ran_exponential (play->clock.rng, MS_PER_S / rate));
}

static bool
answers_well (const Call *call)
{
  return call->hard < model_sizes[call->model].quality;
}

static int
confidence_of (Play *play, const Call *call)
{
  double middle = answers_well (call) ? CONFIDENCE_WELL : CONFIDENCE_POOR;
  double said = middle + gsl_ran_gaussian (play->clock.rng, CONFIDENCE_SPREAD);

  return (int)fmin (fmax (said, 0), 100);
}

/* A call that may be sent to a larger model. */
typedef struct
{
  Play *play;
  Call *call;
} Asking;

static unsigned
step_model (CascadeStep step)
{
  return step == CASCADE_MIDDLE ? MODELS / 2 : MODELS - 1;
}

static CascadeForecast
forecast (void *user, CascadeStep step)
{
  const Asking *asking = user;
  Play *play = asking->play;
  PickQuery query = query_of (asking->call, step_model (step));
  PickAnswer pick = front_pick (play->views[asking->call->front], &query, play->clock.now_ms);

  return (CascadeForecast){ .first_ms = pick.predicted_ms, .reading_ms = pick.prompt_ms };
}

static CascadeStep
next_step (Play *play, Call *call)
{
  Asking asking = { .play = play, .call = call };
  CascadeCase c = {
    .confidence = confidence_of (play, call),
    .has_middle = MODELS > 2,
    .priority = call->class->priority,
    .elapsed_ms = play->clock.now_ms - call->arrived_ms,
    .objective_ms = call->class->objective_ms,
    .lag_ms = front_lag_now (&play->lags[call->front], play->clock.now_ms),
    .forecast = forecast,
    .user = &asking,
  };

  if (call->model == MODELS - 1 || call->attempts >= ATTEMPTS_MOST)
    return CASCADE_KEEP;
  return play->policy->step (&c);
}

/* The answer begins: it goes to the caller, or is dropped for a larger model's. */
static void
on_first (Play *play, unsigned number)
{
  Call *call = &play->calls[number];
  SiteEngine *engine = &play->engines[call->engine];
  double first_ms = (double)(play->clock.now_ms - call->arrived_ms);
  double attempt_ms = (double)(play->clock.now_ms - call->sent_ms);
  double late_ms = attempt_ms - call->predicted_ms;
  CascadeStep step;

  call->server->pending_ms = fmax (0, call->server->pending_ms - call->pending_ms);
  call->pending_ms = 0;
  front_health_answered (&call->server->health, play->clock.now_ms, attempt_ms, call->predicted_ms);
  front_lag_add (&play->lags[call->front], late_ms, play->clock.now_ms);
  step = next_step (play, call);
  if (step != CASCADE_KEEP)
    {
      engine->running--;
      free_server (call);
      call->model = step_model (step);
      send_call (play, number);
      return;
    }
  call->first_ms = fmax (first_ms, 1);
  play->price += model_sizes[call->model].price * call->output_tokens / 1000;
  push (play, EVENT_DONE, number, site_engine_rest_ms (engine, call->output_tokens, call->model));
}

static void
on_done (Play *play, unsigned number)
{
  Call *call = &play->calls[number];
  const ModelClass *class = call->class;
  int64_t whole_ms = play->clock.now_ms - call->arrived_ms;
  bool in_time = call->first_ms <= (double)class->objective_ms;
  double worth = in_time ? class->worth : class->late_worth;

  play->engines[call->engine].running--;
  free_server (call);
  if (whole_ms > class->deadline_ms)
    return;
  play->in_time += in_time;
  play->earned += answers_well (call) ? worth : worth * POOR_WORTH;
}

/* The first engines of each failure domain in turn are those with a fault. */
static void
faults_set (Play *play)
{
  bool now = in_fault (play->clock.now_ms);

  for (unsigned i = 0; i < ENGINES; i++)
    {
      SiteEngine *engine = &play->engines[i];
      double place = (double)i / ENGINES;

      engine->lost = now && place < play->scenario->lost;
      engine->slowness = now && place < play->scenario->slow ? play->scenario->slow_times : 1;
    }
}

static void
happen (Play *play, const Event *event)
{
  play->now_us = event->at_us;
  play->clock.now_ms = event->at_us / US_PER_MS;
  faults_set (play);
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      on_arrival (play);
      break;
    case EVENT_RATED:
      on_first (play, event->subject);
      break;
    case EVENT_DONE:
      on_done (play, event->subject);
      break;
    default:
      break;
    }
}

static ModelResult
result_of (const Play *play)
{
  ModelResult result = {
    .in_time = (double)play->in_time / play->call_count,
    .worth = play->earned / play->possible,
    .price = play->price / play->possible,
    .net = (play->earned - play->price) / play->possible,
    .far = (double)play->far / play->attempts,
    .reread = (double)play->reread / (double)play->tokens,
  };
  double *first = memory_alloc (play->call_count * sizeof *first);
  size_t count = 0;

  for (unsigned i = 0; i < play->call_count; i++)
    {
      if (play->calls[i].first_ms > 0)
        first[count++] = play->calls[i].first_ms;
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
model_play (const Scenario *scenario, const Policy *policy, unsigned long seed)
{
  Play *play = memory_alloc (sizeof *play);
  ModelResult result;
  Event event;

  play->scenario = scenario;
  play->policy = policy;
  play->clock.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (play->clock.rng, seed);
  play->calls = memory_alloc (MODEL_CALLS_MAX * sizeof *play->calls);
  views_new (play);
  push (play, EVENT_ARRIVAL, 0, 0);
  while (event_pop (&play->events, &event))
    happen (play, &event);
  result = result_of (play);
  for (unsigned i = 0; i < FRONTS; i++)
    front_servers_free (play->views[i]);
  event_queue_free (&play->events);
  gsl_rng_free (play->clock.rng);
  free (play->calls);
  free (play);
  return result;
}
