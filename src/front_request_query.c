/* What a request asks of the choice of a server, and what its answers teach of an engine's speed.
 */
#include "front_canary.h"
#include "front_request_private.h"
#include "util_clock.h"
#include <string.h>

#define MS_PER_S 1000

static ReadTime
read_prior (const FrontRequest *request, uint32_t model)
{
  unsigned count = request->route->model_count;

  return model == NO_MODEL ? front_speeds_prior (0, 1) : front_speeds_prior (model, count);
}

Span
request_model_name (const FrontRequest *request, uint32_t model)
{
  if (model == NO_MODEL)
    return (Span){ 0 };
  return span_of (request->route->models[model]);
}

static uint64_t
model_hash (const FrontRequest *request, uint32_t model)
{
  return span_hash (model == NO_MODEL ? request->call.model : request_model_name (request, model));
}

/* The configuration gives the rate that cold servers tolerate; the settings say by how much it may
 * be exceeded. */
static ColdRule
cold_rule (const Front *front, const FrontService *service)
{
  const SettingsFront *settings = &front->settings;

  if (!service || service->cold_per_s <= 0)
    return (ColdRule){ 0 };
  return (ColdRule){
    .max_per_s = service->cold_per_s * settings->cold_overage + settings->cold_slack,
    .start_ms = service->cold_start_ms,
  };
}

/* Each of the n fronts of a failure domain gets about one of n requests. A shared part that was
 * requested here within the last n reuse windows is thus requested about once per window in the
 * whole domain, and so stays cached. */
static int64_t
affinity_tokens (const FrontRequest *request, uint64_t model)
{
  const Front *front = request->front;
  double window_ms = front->settings.reuse_window_s * MS_PER_S * front->fronts.domain_fronts;

  return front_prompts_cached (&front->caller_prompts, &request->call, model, clock_boot_ms (),
                               (int64_t)window_ms);
}

PickQuery
request_pick_query (const FrontRequest *request, uint32_t model, const char *version)
{
  const FrontService *service = front_config_service (request->config, request->service);
  uint64_t hash = model_hash (request, model);
  ReadTime prior = read_prior (request, model);
  ReadTime time = front_speeds_of (&request->front->speeds, hash, &prior);
  PickQuery query = {
    .service = request->service,
    .version = version,
    .call = &request->call,
    .model = hash,
    .running_weight = front_speeds_weight (&time),
    .read_time = time,
    .objective_ms = request->route->objective_ms,
    .slots = service ? service->slots : 0,
    .is_model = service && service->kv_tokens > 0,
    .affinity_tokens = affinity_tokens (request, hash),
    .reuse_window_ms = (int64_t)(request->front->settings.reuse_window_s * MS_PER_S),
    .only_server = request->return_to,
    .tried_count = request->return_to ? 0 : request->tried_count,
    .cold = cold_rule (request->front, service),
    .share.self = request->front->vm_hash,
  };

  if (query.is_model && front_is_contended (request->front))
    {
      query.pause_ms = (double)request->route->gap_ms;
      query.waits = request->front->waits;
      query.service_hash = request_service_hash (request);
      query.rank = request_wait_rank (request);
    }
  else if (front_is_contended (request->front))
    query.typical_ms = front_answer_times_typical_ms (&request->front->answer_times,
                                                      request_service_hash (request));
  if (version)
    query.canary_hash_max = front_canary_hash_max (
        front_rollouts_get (request->front->rollouts, request->service), version, clock_boot_ms ());
  front_share_set (&query.share, &request->front->fronts);
  memcpy (query.tried, request->tried, sizeof query.tried);
  return query;
}

CascadeForecast
request_forecast (const FrontRequest *request, uint32_t model)
{
  PickQuery query
      = request_pick_query (request, model, request->version[0] ? request->version : NULL);
  PickAnswer pick;

  query.tried_count = 0;
  pick = front_pick (request->front->servers, &query, clock_boot_ms ());
  return (CascadeForecast){ .has_server = pick.server != NULL,
                            .first_ms = pick.predicted_ms,
                            .wait_ms = pick.belief.ms,
                            .reading_ms = pick.prompt_ms };
}

void
request_learn_speed (FrontRequest *request, double first_ms, int64_t now_ms)
{
  FrontSpeeds *speeds = &request->front->speeds;
  SpeedSample sample = {
    .model = model_hash (request, request->model),
    .prior = read_prior (request, request->model),
    .tokens = request->prompt_tokens,
    .prompt_tokens = request->call.prompt_tokens,
    .read_ms = first_ms - (request->predicted_ms - request->prompt_ms),
    .overhead_ms = first_ms - request->predicted_ms + front_speeds_first_ms (speeds),
  };

  if (request->call.prompt_tokens > 0)
    front_speeds_add (speeds, &sample, now_ms);
}
