/* Evaluates a backend server's answer and relays it to the caller. */
#include "front_cascade.h"
#include "front_counter.h"
#include "front_deaths.h"
#include "front_log.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "wire_call.h"
#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Number of models from which a route has one between the smallest and the largest. */
#define MODELS_WITH_MIDDLE 3
typedef enum
{
  REPLY_STREAM,       /* events, relayed as they arrive */
  REPLY_BUFFERED,     /* relayed when it is complete */
  REPLY_NOT_RUN,      /* rejected without running */
  REPLY_OTHER_SERVER, /* the address now belongs to another server */
  REPLY_FAILED,       /* server error */
  REPLY_GARBLED,      /* not a valid answer of this server to this request */
} ReplyKind;

static bool
is_success (int status)
{
  return status >= HTTP_STATUS_OK && status < HTTP_STATUS_MULTIPLE_CHOICES;
}

/* On a kept connection a late answer to an earlier request may arrive first. */
static bool
is_answer_to (const FrontRequest *request, const ReplyInfo *info)
{
  if (!info->request_id.text)
    return !front_attempt_is_kept (request->attempt);
  return span_equal (info->request_id, request->call.id);
}

/* Without parameters, such as a character set. */
static void
copy_media_type (const HttpReply *reply, char out[MEDIA_TYPE_MAX])
{
  Span rest = http_head_get (&reply->head, "Content-Type");
  Span type = span_trim (span_cut (&rest, ';'));

  snprintf (out, MEDIA_TYPE_MAX, "%.*s", (int)type.len, type.text ? type.text : "");
}

static bool
is_same_type (const FrontRequest *request, const HttpReply *reply)
{
  char type[MEDIA_TYPE_MAX];

  copy_media_type (reply, type);
  return type[0] == '\0' || request->head_type[0] == '\0'
         || strcasecmp (type, request->head_type) == 0;
}

bool
request_can_go_on_with (const FrontRequest *request, const HttpReply *reply)
{
  return !request->head_sent
         || (reply->status == request->head_status && is_same_type (request, reply));
}

static ReplyKind
reply_kind (const FrontRequest *request, const HttpReply *reply, const ReplyInfo *info)
{
  if (!is_answer_to (request, info))
    return REPLY_GARBLED;
  if (reply->status == HTTP_STATUS_MISDIRECTED_REQUEST && info->other_server)
    return REPLY_OTHER_SERVER;
  if (info->not_executed)
    return REPLY_NOT_RUN;
  if (is_success (reply->status))
    {
      if (!info->is_signed || info->is_encoded || !request_can_go_on_with (request, reply))
        return REPLY_GARBLED;
      return request->route->kind == ROUTE_STREAM ? REPLY_STREAM : REPLY_BUFFERED;
    }
  if (reply->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR
      || reply->status == HTTP_STATUS_TOO_MANY_REQUESTS || !request_can_go_on_with (request, reply))
    return REPLY_FAILED;
  return REPLY_BUFFERED;
}

/* Records the start of an answer for its server and, during a roll-out, for its version. */
static void
record_answer_start (FrontRequest *request, bool failed)
{
  int64_t now_ms = clock_boot_ms ();
  double first_ms = (double)(now_ms - request->sent_ms);

  request->server->pending_ms -= request->pending_ms;
  request->pending_ms = 0;
  if (!failed)
    {
      request_record_answer_time (request, now_ms);
      request_hedge_answered (request, first_ms);
    }
  if (failed)
    front_health_failed (&request->server->health, now_ms);
  else
    front_health_answered (&request->server->health, now_ms, first_ms, request->predicted_ms);
  if (!failed)
    {
      request_wait_begun (request, now_ms);
      request_hold_begun (request, now_ms);
    }
  if (!failed && request->route->kind == ROUTE_STREAM
      && !request_wait_is_believed (request, now_ms))
    request_learn_speed (request, first_ms, now_ms);
  if (!failed && request->model != NO_MODEL)
    front_lag_add (&request->front->lag, first_ms - request->predicted_ms, now_ms);
  request_add_evidence (request, failed, now_ms);
}

static uint32_t
step_model (const FrontRequest *request, CascadeStep step)
{
  return step == CASCADE_MIDDLE ? request->route->model_count / 2 : request->route->model_count - 1;
}

static CascadeForecast
forecast (void *user, CascadeStep step)
{
  const FrontRequest *request = user;

  return request_forecast (request, step_model (request, step));
}

static CascadeStep
cascade_step (FrontRequest *request, const ReplyInfo *info)
{
  int64_t now_ms = clock_boot_ms ();
  CascadeCase c = {
    .confidence = info->confidence,
    .has_middle = request->route->model_count >= MODELS_WITH_MIDDLE,
    .priority = request->route->priority,
    .elapsed_ms = now_ms - request->arrived_ms,
    .objective_ms = request->route->objective_ms,
    .lag_ms = front_lag_now (&request->front->lag, now_ms),
    .forecast = forecast,
    .user = request,
  };

  if (request->model == NO_MODEL || request->model + 1 >= request->route->model_count
      || request->cascade_done || request->head_sent
      || request->attempts >= request->route->attempts_max)
    return CASCADE_KEEP;
  return front_cascade_step (&c);
}

/* Drops the answer and asks a larger model; false if the cascade keeps the answer, or the budget
 * doesn't allow it. */
static bool
try_larger_model (FrontRequest *request, const ReplyInfo *info)
{
  CascadeStep step = cascade_step (request, info);
  uint32_t model = step_model (request, step);
  FrontLine *line;
  bool allowed;

  if (step == CASCADE_KEEP)
    return false;
  allowed = front_budget_take (request->front->budget, request->service, BUDGET_CASCADE,
                               clock_boot_ms ());
  request->cascade_done = true;
  line = front_log_begin (FRONT_EVENT_CASCADE);
  front_log_span (line, "request", request->call.id);
  front_log_text (line, "model", request->route->models[request->model]);
  front_log_number (line, "confidence", info->confidence);
  front_log_text (line, "next", request->route->models[model]);
  front_log_text (line, "verdict", allowed ? "larger" : "no_budget");
  front_log_end (line);
  if (!allowed)
    return false;
  front_counter_add (FRONT_COUNTER_CASCADES);
  request->model = model;
  request->tried_count = 0; /* the same server may run the larger model */
  request->may_have_run = true;
  request_drop_attempt (request);
  request_send (request);
  return true;
}

static void
log_answered (const FrontRequest *request, int status)
{
  int64_t whole_ms = clock_boot_ms () - request->arrived_ms;
  FrontLine *line = front_log_begin (FRONT_EVENT_ANSWERED);

  front_log_span (line, "request", request->call.id);
  front_log_number (line, "status", status);
  front_log_text (line, "version", request->version);
  front_log_text (line, "server", request->server ? request->server->entry.id : NULL);
  front_log_number (line, "first_ms", request->first_ms);
  front_log_number (line, "whole_ms", whole_ms);
  front_log_number (line, "objective_ms", request->route->objective_ms);
  front_log_number (line, "pause_ms", request->pause_ms);
  front_log_number (line, "pause_aim_ms", request->route->gap_ms);
  front_log_number (line, "events", request->events.forwarded);
  front_log_number (line, "attempts", request->attempts);
  front_log_end (line);
  front_counter_add (FRONT_COUNTER_ANSWERED);
  if (is_success (status))
    {
      request_hold_ended (request, true, clock_boot_ms ());
      quarantine_note_answer (request->front->quarantine, request->fingerprint, clock_boot_ms ());
    }
  front_counter_add_wait (FRONT_WAIT_WHOLE, whole_ms);
}

static void
record_first_byte (FrontRequest *request)
{
  if (request->first_ms >= 0)
    return;
  request->first_ms = clock_boot_ms () - request->arrived_ms;
  front_counter_add_wait (FRONT_WAIT_FIRST, request->first_ms);
}

static void
record_begun (FrontRequest *request)
{
  if (request->has_begun)
    return;
  request->has_begun = true;
  if (request->part_count > 0)
    front_deaths_parts_begun (request->front, request->parts, request->part_count,
                              clock_boot_ms ());
}

/* Of a backend server's answer, for the caller or for the front that handed the request over. */
static void
encode_head (const FrontRequest *request, Buffer *head)
{
  wire_reply_encode (head, front_attempt_reply (request->attempt));
  if (request->call.handed_off_attempts >= 0)
    wire_served_by_encode (head, request->server->entry.id);
}

static void
send_complete_answer (FrontRequest *request)
{
  HttpReply *reply = front_attempt_reply (request->attempt);
  FrontConn *conn = request->conn;
  Buffer head = { 0 }, body = reply->body;

  request_hedge_end (request, "answered");
  record_first_byte (request);
  if (is_success (reply->status))
    record_begun (request);
  log_answered (request, reply->status);
  encode_head (request, &head);
  if (is_success (reply->status))
    front_attempt_set_believed (request->attempt);
  reply->body = (Buffer){ 0 };
  request_free (request);
  front_conn_answer (conn, &head, &body);
  buffer_free (&head);
}

static void
stream_end (FrontRequest *request)
{
  FrontConn *conn = request->conn;

  log_answered (request, front_attempt_reply (request->attempt)->status);
  front_attempt_set_believed (request->attempt);
  request_free (request);
  front_conn_stream_end (conn);
}

static void
stream_head (FrontRequest *request)
{
  Buffer head = { 0 };

  encode_head (request, &head);
  front_conn_stream_begin (request->conn, &head);
  buffer_free (&head);
  request->head_sent = true;
  request->head_status = front_attempt_reply (request->attempt)->status;
  copy_media_type (front_attempt_reply (request->attempt), request->head_type);
}

static void
record_relayed_event (FrontRequest *request)
{
  int64_t now_ms = clock_boot_ms ();

  if (request->relayed_ms != 0 && now_ms - request->relayed_ms > request->pause_ms)
    request->pause_ms = now_ms - request->relayed_ms;
  request->relayed_ms = now_ms;
  request->event_ms = now_ms;
}

/* Relays the complete events that have arrived. */
static void
stream_progress (FrontRequest *request)
{
  HttpReply *reply = front_attempt_reply (request->attempt);
  Buffer out = { 0 };
  bool cut_off;

  front_events_forward (&request->events, &reply->body, &out);
  cut_off = request->events.id_skipped || (reply->complete && reply->body.len > 0);
  if (out.len > 0)
    {
      if (!request->head_sent)
        stream_head (request);
      record_first_byte (request);
      record_begun (request);
      record_relayed_event (request);
      request_add_pace (request, request->event_ms);
      front_conn_stream_data (request->conn, out.data, out.len);
    }
  buffer_free (&out);
  if (reply->body.len > EVENT_MAX_BYTES)
    {
      if (request->server)
        front_health_failed (&request->server->health, clock_boot_ms ());
      request_retry (request, "event_too_long", true);
    }
  else if (cut_off)
    request_retry (request, "stream_spoiled", true);
  else if (reply->complete)
    {
      if (!request->head_sent)
        stream_head (request);
      stream_end (request);
    }
  else
    {
      if (front_conn_output_is_full (request->conn))
        front_attempt_pause (request->attempt, true);
      request_arm_timer (request);
    }
}

void
front_request_drained (FrontRequest *request)
{
  if (request->attempt && request->relaying)
    front_attempt_pause (request->attempt, false);
}

/* Relays a server error to the caller, unless another server may be asked. */
static void
handle_server_failure (FrontRequest *request, const ReplyInfo *info)
{
  HttpReply *reply = front_attempt_reply (request->attempt);
  bool may_retry = front_route_is_idempotent (request->route)
                   && request->attempts < request->route->attempts_max;
  /* Callers take these two statuses as a guarantee that nothing ran, which this answer doesn't
   * give. */
  bool implies_not_run = reply->status == HTTP_STATUS_TOO_MANY_REQUESTS
                         || reply->status == HTTP_STATUS_SERVICE_UNAVAILABLE;

  if (request_hedge_go_on (request, "server_error", true))
    return;
  if (may_retry || implies_not_run || request->head_sent || !info->is_signed)
    request_retry (request, "server_error", true);
  else
    send_complete_answer (request);
}

/* Where another attempt is running, its answer may be a better one than an error. */
static void
complete (FrontRequest *request)
{
  if (is_success (front_attempt_reply (request->attempt)->status)
      || !request_hedge_go_on (request, "not_success", true))
    send_complete_answer (request);
}

/* Evaluates an answer whose head is complete. */
static void
handle_reply_head (FrontRequest *request)
{
  HttpReply *reply = front_attempt_reply (request->attempt);
  int64_t now_ms = clock_boot_ms ();
  ReplyInfo info;
  ReplyKind kind;

  wire_reply_decode (reply, request->server->entry.id, &info);
  kind = reply_kind (request, reply, &info);
  switch (kind)
    {
    case REPLY_OTHER_SERVER:
      front_server_lost_address (request->server);
      request_retry (request, "other_server", false);
      return;
    case REPLY_NOT_RUN:
      front_health_full (&request->server->health, now_ms);
      front_hedge_count_full (request->front->hedge, request->service, now_ms);
      request_wait_full (request, now_ms);
      request_handle_full (request);
      return;
    case REPLY_GARBLED:
      front_health_failed (&request->server->health, now_ms);
      request_retry (request, "answer_garbled", true);
      return;
    case REPLY_FAILED:
      if (!reply->complete)
        return;
      record_answer_start (request, true);
      handle_server_failure (request, &info);
      return;
    case REPLY_STREAM:
      record_answer_start (request, false);
      if (try_larger_model (request, &info))
        return;
      request->relaying = true;
      stream_progress (request);
      return;
    case REPLY_BUFFERED:
      if (!request->relaying)
        record_answer_start (request, false);
      request->relaying = true;
      if (reply->complete)
        complete (request);
      return;
    }
}

void
request_handle_progress (FrontRequest *request)
{
  HttpReply *reply = front_attempt_reply (request->attempt);

  if (!request->relaying)
    handle_reply_head (request);
  else if (request->route->kind == ROUTE_STREAM && is_success (reply->status))
    stream_progress (request);
  else if (reply->complete)
    complete (request);
}
