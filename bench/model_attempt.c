/**
 * Attempts of a request: choice of a server, its run in the engine's batch, an engine's death,
 * time-outs and retries.
 */
#include "model_site.h"

#include "choose_breaker.h"
#include "util_assert.h"

#define US_PER_MS                1000
#define LOCAL_HOP_MS             1     /**< one way, within a failure domain */
#define NO_SERVER_RETRY_AFTER_MS 1000  /**< sent to callers if no server is usable */
#define RESTART_MS               30000 /**< until an engine that a request crashed runs again */

ModelGate *
site_gate (ModelSite *site, const ModelRequest *request)
{
  return &site->gates[request->gate];
}

static int64_t
hop_us (const ModelSite *site, const ModelRequest *request, unsigned engine)
{
  bool local = site->gates[request->gate].domain == engine % site->scenario->config.domains;

  return (local ? LOCAL_HOP_MS : site->scenario->hop_ms) * US_PER_MS;
}

static void
push_attempt (ModelSite *site, int64_t in_us, EventKind kind, unsigned index)
{
  const ModelRequest *request = site->requests[index];
  unsigned engine = (unsigned)request->engine;
  Event event = {
    .at_us = site->now_us + in_us,
    .kind = kind,
    .subject = index,
    .attempt = request->attempt,
    .engine = engine,
    .engine_incarnation = site->engines[engine].incarnation,
  };

  event_push (&site->events, &event);
}

static ServerQuery
server_query (ModelSite *site, const ModelRequest *request)
{
  const ModelGate *gate = &site->gates[request->gate];
  unsigned i;

  for (i = 0; i < site->engine_count; i++)
    site->excluded[i] = 0;
  for (i = 0; i < request->tried_count; i++)
    site->excluded[request->tried[i]] = 1;
  return (ServerQuery){
    .config = site->config,
    .views = gate->views,
    .version = request->plan.versions[request->stage],
    .failure_domain = gate->domain_name,
    .excluded = site->excluded,
    .prefix_hash = request->prefix,
    .random = site_random (site),
    .now_ms = site_ms (site),
    .index = gate->index,
  };
}

static int
pick_server (ModelSite *site, const ModelRequest *request)
{
  ServerQuery query = server_query (site, request);

  if (site->policy->server == NULL)
    return quality_oracle_server (site, &query);
  return site->policy->server->pick (&query);
}

static void
send_attempt (ModelSite *site, unsigned index, unsigned server)
{
  ModelRequest *request = site->requests[index];
  ServerView *view = &site_gate (site, request)->views[server];

  request->attempt++;
  request->stage_attempts++;
  request->engine = (int)server;
  request->started = false;
  request->sent_us = site->now_us;
  if (request->tried_count < TRIED_MAX)
    request->tried[request->tried_count++] = server;
  view->in_flight++;
  breaker_sent (view, site_ms (site));
  load_history_add (&site_gate (site, request)->histories[server], view, site_ms (site));
  cds_list_add_tail (&request->engine_node, &site->engine_requests[server]);
  site->result.attempts += request_measured (site, request);
  push_attempt (site, hop_us (site, request, server), EVENT_ENQUEUE, index);
  push_attempt (site, site->scenario->timeout_ms * US_PER_MS, EVENT_TIMEOUT, index);
}

void
attempt_start_stage (ModelSite *site, unsigned index)
{
  ModelRequest *request = site->requests[index];
  int server;

  request->tried_count = 0;
  request->stage_attempts = 0;
  server = pick_server (site, request);
  if (server < 0)
    {
      request_refuse (site, index, REASON_NO_SERVER, NO_SERVER_RETRY_AFTER_MS);
      return;
    }
  retry_budget_add_first (site_gate (site, request)->budget, site_ms (site));
  send_attempt (site, index, (unsigned)server);
}

void
attempt_end (ModelSite *site, ModelRequest *request)
{
  ModelGate *gate = site_gate (site, request);
  unsigned server = (unsigned)request->engine;

  INVARIANT (gate->views[server].in_flight > 0, "server=%u", server);
  gate->views[server].in_flight--;
  load_history_add (&gate->histories[server], &gate->views[server], site_ms (site));
  cds_list_del (&request->engine_node);
  request->engine = -1;
}

static void
start_queued (ModelSite *site, unsigned engine)
{
  EngineWork work;
  EngineTimes times;

  while (engine_start (&site->engines[engine], &work, &times))
    {
      ModelRequest *request = site->requests[work.request];
      Event done = {
        .at_us = site->now_us + times.done_us,
        .kind = EVENT_DONE,
        .subject = work.request,
        .attempt = work.attempt,
        .engine = engine,
        .engine_incarnation = site->engines[engine].incarnation,
      };

      if (work.crashes)
        {
          site->result.crashed++;
          attempt_engine_died (site, engine);
          site_push (site, (int64_t)RESTART_MS * US_PER_MS, EVENT_RESTART, engine);
          return;
        }
      event_push (&site->events, &done);
      if (request->attempt != work.attempt || request->engine != (int)engine)
        continue;
      request->started = true;
      request->first_us = site->now_us + times.first_us + hop_us (site, request, engine);
    }
}

static double
kind_time_factor (const ModelSite *site, ModelKind kind)
{
  static const double factors[MODEL_KINDS] = {
    [KIND_SMALL] = 0.5, [KIND_MEDIUM] = 1,      [KIND_LARGE] = 2,
    [KIND_LEDGER] = 1,  [KIND_CANDIDATE] = 0.5,
  };

  return kind == KIND_CANDIDATE ? factors[kind] * site->candidate_time_factor : factors[kind];
}

void
attempt_enqueue (ModelSite *site, const Event *event)
{
  ModelRequest *request = site->requests[event->subject];
  ModelEngine *engine = &site->engines[event->engine];
  ModelKind kind;
  EngineWork work;

  if (request->attempt != event->attempt || request->engine < 0)
    return;
  kind = quality_kind (site->config, request->plan.versions[request->stage]);
  work = (EngineWork){
    .request = event->subject,
    .attempt = event->attempt,
    .time_factor = kind_time_factor (site, kind),
    .prompt_tokens = request->prompt_tokens,
    .prefix_tokens = request->prefix_tokens,
    .output_tokens = request->output_tokens,
    .prefix = request->prefix,
    .low_priority = request->beyond_fair_share,
    .crashes = request->crashes,
  };
  if (!engine->up || !engine_enqueue (engine, &work))
    {
      push_attempt (site, hop_us (site, request, event->engine), EVENT_FAILED, event->subject);
      return;
    }
  start_queued (site, event->engine);
}

void
attempt_done (ModelSite *site, const Event *event)
{
  ModelRequest *request = site->requests[event->subject];
  ModelEngine *engine = &site->engines[event->engine];

  if (engine->incarnation != event->engine_incarnation)
    return;
  if (!engine_end (engine, event->subject, event->attempt))
    return;
  start_queued (site, event->engine);
  if (request->attempt == event->attempt && request->engine >= 0)
    request_answered (site, event->subject);
}

/** After a failed attempt: retries at another server, or refuses the request. If a part of the
 * answer was streamed to the caller already, a retry would repeat it. */
static void
retry_or_refuse (ModelSite *site, unsigned index, bool streamed)
{
  ModelRequest *request = site->requests[index];
  ModelGate *gate = site_gate (site, request);
  int server = pick_server (site, request);
  RetryQuery query = {
    .idempotent = request->plan.idempotent && !streamed,
    .attempts = request->stage_attempts,
    .server_left = server >= 0,
    .now_ms = site_ms (site),
    .deadline_ms = request->deadline_us / US_PER_MS,
  };
  RetryAnswer answer = site->policy->retry->decide (gate->budget, &query);

  if (answer.verdict != RETRY_NOW)
    {
      request_refuse (site, index, REASON_NONE, answer.retry_after_ms);
      return;
    }
  if (site->policy->quarantine
      && quarantine_contains (gate->quarantine, request->fingerprint, site_ms (site)))
    {
      request_refuse (site, index, REASON_QUARANTINED, 0);
      return;
    }
  site->result.retries += request_measured (site, request);
  send_attempt (site, index, (unsigned)server);
}

static void
fail_attempt (ModelSite *site, unsigned index)
{
  ModelRequest *request = site->requests[index];
  bool last_stage = !request->plan.rated || request->stage + 1 == request->plan.count;
  bool streamed = last_stage && request->started && site->now_us >= request->first_us;
  ServerView *view = &site_gate (site, request)->views[request->engine];

  breaker_failure (view, site_ms (site), site_random (site));
  attempt_end (site, request);
  retry_or_refuse (site, index, streamed);
}

void
attempt_failed (ModelSite *site, const Event *event)
{
  ModelRequest *request = site->requests[event->subject];

  if (request->attempt == event->attempt && request->engine >= 0)
    fail_attempt (site, event->subject);
}

void
attempt_timeout (ModelSite *site, const Event *event)
{
  ModelRequest *request = site->requests[event->subject];

  if (request->attempt != event->attempt || request->engine < 0 || request->started)
    return;
  engine_cancel (&site->engines[event->engine], event->subject, event->attempt);
  fail_attempt (site, event->subject);
}

void
attempt_engine_died (ModelSite *site, unsigned engine)
{
  ModelRequest *request;

  crash_record_death (site, engine);
  engine_die (&site->engines[engine]);
  cds_list_for_each_entry (request, &site->engine_requests[engine], engine_node)
  {
    Event failed = {
      .at_us = site->now_us + hop_us (site, request, engine),
      .kind = EVENT_FAILED,
      .subject = request->index,
      .attempt = request->attempt,
      .engine = engine,
    };

    event_push (&site->events, &failed);
  }
}
