/* Chooses a server for a request, sends the request there, and releases it again. */
#include "front_counter.h"
#include "front_keep.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "util_unused.h"
#include "wire_call.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Milliseconds from a plain service's acceptance to its answer. An answer after 60 ms is slow but
 * no silence, which starts at four times this. */
#define PLAIN_FIRST_MS 60.0

static void on_sent (void *user);
static void on_head (void *user);
static void on_progress (void *user);
static void on_cut (void *user);

const AttemptCallbacks request_attempt_callbacks = {
  .sent = on_sent,
  .head = on_head,
  .progress = on_progress,
  .cut = on_cut,
};

/* Registers the session on the version that it runs on from now on. */
static void
version_set (FrontRequest *request, const char *version, int64_t now_ms)
{
  uint64_t hash = version ? span_hash (span_of (version)) : 0;

  snprintf (request->version, sizeof request->version, "%s", version ? version : "");
  if (hash == request->version_hash)
    return;
  if (request->version_hash)
    front_sessions_end (request->front->sessions, request->session, now_ms);
  if (hash)
    front_sessions_begin (request->front->sessions, request->session, hash, now_ms);
  request->version_hash = hash;
}

/* How much of the prediction is belief, and where that comes from. */
static void
log_belief (FrontLine *line, const PickAnswer *pick)
{
  front_log_number (line, "wait_ms", (int64_t)pick->belief.ms);
  front_log_number (line, "wait_age_ms", pick->belief.age_ms);
  front_log_number (line, "wait_told", pick->belief.is_told);
  front_log_number (line, "wait_general", pick->belief.is_general);
}

static void
log_sent (const FrontRequest *request, const PickAnswer *pick)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_SENT);
  Span model = request_model_name (request, request->model);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "route", request->route->name);
  front_log_number (line, "config", request->config->version);
  front_log_text (line, "service", request->service);
  front_log_text (line, "version", request->version);
  front_log_number (line, "session", (int64_t)request->session);
  front_log_span (line, "model", model);
  front_log_text (line, "server", pick->server->entry.id);
  front_log_number (line, "running", pick->server->running);
  front_log_number (line, "predicted_ms",
                    (int64_t)(request->is_ordered ? request->predicted_ms + pick->belief.ms
                                                  : pick->predicted_ms));
  front_log_number (line, "prompt_ms", (int64_t)pick->prompt_ms);
  front_log_number (line, "avoided", pick->avoided);
  front_log_number (line, "attempt", request->attempts);
  front_log_number (line, "rank", request->rank);
  front_log_number (line, "behind", request->is_behind);
  front_log_number (line, "limited", pick->server->limit.is_named);
  front_log_number (line, "kept", front_attempt_is_kept (request->attempt));
  if (request->is_ordered)
    log_belief (line, pick);
  front_log_end (line);
}

/* Milliseconds from an idle server's acceptance to the beginning of its answer. */
static double
overhead_ms (const FrontRequest *request, const PickQuery *query)
{
  return query->is_model ? front_speeds_first_ms (&request->front->speeds) : PLAIN_FIRST_MS;
}

/* Records the attempt for later choices: the load that it adds, and the prompt that the server will
 * have read. */
static void
record_attempt (FrontRequest *request,
                const PickQuery *query,
                const PickAnswer *pick,
                int64_t now_ms)
{
  if (request->tried_count < PICK_TRIED_MAX)
    request->tried[request->tried_count++] = pick->server->hash;
  request->attempts++;
  if (request->is_let_out)
    request->return_to = 0;
  request->is_let_out = false;
  request->server = pick->server;
  front_server_ref (pick->server);
  cold_sent (&pick->server->cold_sends, now_ms);
  server_limit_sent (&pick->server->limit, now_ms);
  request->predicted_ms = pick->base_ms + overhead_ms (request, query);
  request->belief = pick->belief;
  request->is_ordered = query->waits != NULL;
  request->wait_key = ++request->front->wait_keys;
  request->prompt_ms = pick->prompt_ms;
  request->prompt_tokens = pick->prompt_tokens;
  request->loaded = query->canary_hash_max > 0 && query->canary_hash_max < UINT64_MAX
                    && pick->server->hash <= query->canary_hash_max;
  request->pending_ms = pick->prompt_ms;
  pick->server->pending_ms += pick->prompt_ms;
  request->attempt_ms = now_ms;
  request->sent_ms = now_ms;
  request->checked_ms = now_ms;
  request->event_ms = now_ms;
  request->relaying = false;
  request->has_begun = false;
  request->counted = false;
  request->overdue_count = 0;
  request->stream = (PaceStream){ 0 };
  if (!query->is_model)
    return;
  request->running_weight = query->running_weight;
  pick->server->running_weight += query->running_weight;
  front_prompts_sent (&pick->server->prompts, &request->call, query->model, now_ms);
  front_prompts_requested (&request->front->caller_prompts, &request->call, query->model, now_ms);
  front_peers_send_work (request->front->peers, pick->server, pick->prompt_ms,
                         query->running_weight, now_ms);
}

static bool
may_use_kept (const FrontRequest *request)
{
  const KeepUse use = {
    .is_idempotent = front_route_is_idempotent (request->route),
    .body_len = front_conn_request_parser (request->conn)->body.len,
    .attempts = request->attempts,
    .attempts_max = request->route->attempts_max,
  };

  return front_keep_may_use (&use);
}

static bool
attempt_begin (FrontRequest *request, const PickAnswer *pick, int64_t left_ms)
{
  CallHeaders headers = {
    .server_id = pick->server->entry.id,
    .team = request->team ? request->team->name : NULL,
    .model = request_model_name (request, request->model),
    .deadline_ms = left_ms,
    .priority = request->rank,
    .after_event = request->head_sent ? request->events.last_id : -1,
    .keeps_connection = front_keeps_connections (request->front),
  };
  AttemptTarget target = {
    .address = &pick->server->address,
    .server = pick->server,
    .may_use_kept = may_use_kept (request),
  };
  HttpRequestParser *request_parser = front_conn_request_parser (request->conn);
  Buffer head = { 0 };

  wire_call_encode (&head, request_parser, &headers);
  request->attempt = front_attempt_start (request->front, &target, &head, &request_parser->body,
                                          &request_attempt_callbacks, request);
  buffer_free (&head);
  if (request->attempt && front_attempt_is_kept (request->attempt))
    cold_connected (&pick->server->cold_sends, request->sent_ms, clock_boot_ms ());
  return request->attempt != NULL;
}

static const char *
no_server_reason (const PickAnswer *pick)
{
  static const char *const reasons[PICK_WAITS] = {
    [PICK_WAIT_COLD] = "servers_cold",
    [PICK_WAIT_LIMITED] = "servers_limited",
    [PICK_WAIT_RESTING] = "servers_resting",
    [PICK_WAIT_FULL] = "servers_full",
  };

  if (pick->wait != PICK_WAIT_NONE)
    return reasons[pick->wait];
  return pick->evacuated ? "evacuated" : "no_server";
}

/* A server that failed this request is better than none. */
static PickAnswer
pick_server (const FrontRequest *request, PickQuery *query, int64_t now_ms)
{
  PickAnswer pick = front_pick (request->front->servers, query, now_ms);

  if (pick.server || request->tried_count == 0)
    return pick;
  query->tried_count = 0;
  return front_pick (request->front->servers, query, now_ms);
}

PickAnswer
request_pick_copy (const FrontRequest *request, PickQuery *query)
{
  *query
      = request_pick_query (request, request->model, request->version[0] ? request->version : NULL);
  query->for_copy = true;
  return front_pick (request->front->servers, query, clock_boot_ms ());
}

bool
request_send_copy (FrontRequest *request, const PickQuery *query, const PickAnswer *pick)
{
  int64_t now_ms = clock_boot_ms ();

  record_attempt (request, query, pick, now_ms);
  if (!attempt_begin (request, pick, request->end_ms - now_ms))
    return false;
  front_counter_add (FRONT_COUNTER_ATTEMPTS);
  log_sent (request, pick);
  return true;
}

bool
request_has_server (const FrontRequest *request)
{
  PickQuery query
      = request_pick_query (request, request->model, request->version[0] ? request->version : NULL);

  return pick_server (request, &query, clock_boot_ms ()).server != NULL;
}

bool
request_other_server (const FrontRequest *request, double *first_ms)
{
  PickQuery query
      = request_pick_query (request, request->model, request->version[0] ? request->version : NULL);
  PickAnswer pick = front_pick (request->front->servers, &query, clock_boot_ms ());

  if (!pick.server)
    return false;
  *first_ms = pick.predicted_ms + overhead_ms (request, &query);
  return true;
}

static void
send_to_server (FrontRequest *request)
{
  Front *front = request->front;
  int64_t now_ms = clock_boot_ms ();
  const char *version = front_rollouts_choose (front->rollouts, front->servers, request->service,
                                               request->session, now_ms);
  PickQuery query = request_pick_query (request, request->model, version);
  PickAnswer pick = pick_server (request, &query, now_ms);

  if (!pick.server && pick.wait == PICK_WAIT_FULL && !request->return_to
      && (request_hand_off_for_room (request) || request_wait_for_room (request)))
    return;
  if (!pick.server)
    {
      request_give_up (request, no_server_reason (&pick), pick.wait_ms);
      return;
    }
  if (query.is_model
      && request_refuse_hopeless (request, &pick,
                                  pick.predicted_ms + overhead_ms (request, &query)))
    return;
  if (query.is_model && request_hold_arrival (request))
    return;
  version_set (request, version, now_ms);
  record_attempt (request, &query, &pick, now_ms);
  if (!attempt_begin (request, &pick, request->end_ms - now_ms))
    {
      request_retry (request, "no_descriptor", false);
      return;
    }
  front_counter_add (FRONT_COUNTER_ATTEMPTS);
  log_sent (request, &pick);
  request_arm_timer (request);
  request_hedge_begin (request);
}

void
request_send (FrontRequest *request)
{
  request_raise_rank (request, clock_boot_ms ());
  if (!request_hand_off (request))
    send_to_server (request);
}

static void
pending_clear (FrontRequest *request)
{
  request->server->pending_ms = fmax (0, request->server->pending_ms - request->pending_ms);
  request->pending_ms = 0;
}

static void
tell_room_freed (const FrontRequest *request)
{
  if (request->server->brittle.is_named)
    front_waiting_room_freed (request->front, request_service_hash (request), clock_boot_ms ());
  if (request->relaying)
    {
      front_returning_room_freed (request->front, request->server->hash, clock_boot_ms ());
      front_holding_room_freed (request->front, request->server->hash, clock_boot_ms ());
    }
}

void
request_drop_attempt (FrontRequest *request)
{
  request_hedge_end (request, "dropped");
  request_release_attempt (request);
}

void
request_release_attempt (FrontRequest *request)
{
  if (request->server)
    {
      tell_room_freed (request);
      pending_clear (request);
      request->server->running_weight -= request->running_weight;
      request->running_weight = 0;
      front_server_unref (request->server);
    }
  if (request->attempt)
    front_attempt_free (request->attempt);
  request->attempt = NULL;
  request->server = NULL;
  request->is_handed_off = false;
}

static void
on_sent (void *user)
{
  FrontRequest *request = user;

  cold_connected (&request->server->cold_sends, request->sent_ms, clock_boot_ms ());
  request_record_reached (request);
  request_arm_timer (request);
}

static void
on_head (void *user)
{
  FrontRequest *request = user;

  if (front_attempt_is_kept (request->attempt))
    request_record_reached (request);
  request_handle_head (user);
}

static void
on_progress (void *user)
{
  request_handle_progress (user);
}

static void
on_cut (void *user)
{
  request_handle_cut (user);
}
