#include "front_admission.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include "wire_call.h"
#include <stdlib.h>
#include <string.h>

/* Retry-After of refusals, in milliseconds. */
#define RETRY_AFTER_STARTING_MS    400  /* by then a starting process has the configuration */
#define RETRY_AFTER_QUARANTINED_MS 3000 /* the request crashes servers, and will again soon */

/* Milliseconds after the stop signal from which streams are refused. By then the load balancer
 * sends callers elsewhere; streams that still arrive are refused at once, as an answer that
 * outlasts the process would be cut off. */
#define STOP_ACCEPTS_STREAMS_MS 2600

FrontRequest *
front_request_new (Front *front, FrontConn *conn)
{
  FrontRequest *request = memory_alloc (sizeof *request);

  request->front = front;
  request->conn = conn;
  request->arrived_ms = clock_boot_ms ();
  request->model = NO_MODEL;
  request->first_ms = -1;
  front_events_init (&request->events);
  cds_list_add_tail (&request->node, &front->requests);
  front->request_count++;
  front_counter_add (FRONT_COUNTER_REQUESTS);
  return request;
}

FrontConn *
front_request_conn (FrontRequest *request)
{
  return request->conn;
}

void
request_free (FrontRequest *request)
{
  request_drop_attempt (request);
  request_hedge_free (request);
  request_stop_waiting (request);
  request_stop_returning (request);
  request_stop_hold (request);
  if (request->version_hash)
    front_sessions_end (request->front->sessions, request->session, clock_boot_ms ());
  if (request->timer)
    event_free (request->timer);
  cds_list_del (&request->node);
  request->front->request_count--;
  front_config_unref (request->config);
  free (request);
}

static FrontLine *
log_begin (const FrontRequest *request, FrontEventId id, const char *reason)
{
  FrontLine *line = front_log_begin (id);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "reason", reason);
  front_log_text (line, "route", request->route ? request->route->name : NULL);
  front_log_number (line, "attempts", request->attempts);
  front_log_number (line, "after_ms", clock_boot_ms () - request->arrived_ms);
  front_log_number (line, "config", request->config ? request->config->version : 0);
  return line;
}

/* Ends a stream that has begun, so that its caller doesn't take it for complete. */
static void
break_off (FrontRequest *request, const char *reason)
{
  FrontConn *conn = request->conn;

  front_log_end (log_begin (request, FRONT_EVENT_FAILED, reason));
  front_counter_add (FRONT_COUNTER_FAILED);
  request_free (request);
  front_conn_abort (conn);
}

static void
answer_status (FrontRequest *request, int status, const char *reason, int64_t retry_after_ms)
{
  FrontConn *conn = request->conn;
  Buffer head = { 0 };
  bool not_run = status != HTTP_STATUS_BAD_GATEWAY && status != HTTP_STATUS_GATEWAY_TIMEOUT;
  FrontLine *line = log_begin (request, not_run ? FRONT_EVENT_REFUSED : FRONT_EVENT_FAILED, reason);

  front_log_number (line, "status", status);
  front_log_number (line, "retry_after_ms", retry_after_ms);
  front_log_span (line, "path", request->call.path);
  front_log_end (line);
  front_counter_add (not_run ? FRONT_COUNTER_REFUSED : FRONT_COUNTER_FAILED);
  wire_refusal_encode (&head, status, request->call.id, retry_after_ms);
  request_free (request);
  front_conn_answer (conn, &head, &(Buffer){ 0 });
  buffer_free (&head);
}

void
request_refuse (FrontRequest *request, int status, const char *reason, int64_t retry_after_ms)
{
  if (request->head_sent)
    break_off (request, reason);
  else
    answer_status (request, status, reason, retry_after_ms);
}

void
request_give_up (FrontRequest *request, const char *reason, int64_t wait_ms)
{
  int64_t now_ms = clock_boot_ms ();
  int64_t backoff_ms;
  bool past_deadline = now_ms >= request->end_ms;

  if (request->head_sent)
    break_off (request, reason);
  else if (request->may_have_run)
    request_refuse (request, past_deadline ? HTTP_STATUS_GATEWAY_TIMEOUT : HTTP_STATUS_BAD_GATEWAY,
                    reason, 0);
  else
    {
      backoff_ms = front_budget_count_refusal (request->front->budget, request->service, now_ms);
      request_refuse (request, HTTP_STATUS_SERVICE_UNAVAILABLE, reason,
                      wait_ms > backoff_ms ? wait_ms : backoff_ms);
    }
}

void
front_request_cancel (FrontRequest *request)
{
  request_count_unanswered (request);
  request_hold_ended (request, false, clock_boot_ms ());
  front_log_end (log_begin (request, FRONT_EVENT_CANCELLED, "caller_left"));
  front_counter_add (FRONT_COUNTER_CANCELLED);
  request_free (request);
}

/* Chooses the route's service by weight; a session always gets the same one. */
static const char *
target_of (const FrontRoute *route, uint64_t session)
{
  double all = 0, at;

  for (unsigned i = 0; i < route->target_count; i++)
    all += route->targets[i].weight;
  at = all * ((double)(session >> 11) / (double)(UINT64_MAX >> 11));
  for (unsigned i = 0; i < route->target_count; i++)
    {
      at -= route->targets[i].weight;
      if (at < 0 && route->targets[i].weight > 0)
        return route->targets[i].service;
    }
  return route->targets[route->target_count - 1].service;
}

/* The last part of a prompt belongs to a session or to the request alone. A request with neither
 * session nor prompt is a session of its own. */
static uint64_t
session_of (const FrontCall *call)
{
  if (call->session.len > 0)
    return span_hash (call->session);
  if (call->part_count > 0)
    return call->parts[call->part_count - 1].id;
  return span_hash (call->id);
}

static uint64_t
fingerprint_of (const FrontRequest *request)
{
  const HttpRequestParser *request_parser = front_conn_request_parser (request->conn);
  const char *team = request->team ? request->team->name : "";
  uint64_t hash
      = quarantine_fingerprint (team, request_parser->body.data, request_parser->body.len);

  return id_hash (request_parser->target.text, request_parser->target.len, hash) | 1;
}

/* Whether the end of a graceful stop may cut off the answer. Where all fronts of a failure domain
 * stop at once, no other front can take its callers' requests, so a request whose time-out ends
 * before the process is killed is still served. */
static bool
may_outlive_stop (const FrontRequest *request)
{
  const Front *front = request->front;
  int64_t elapsed_ms = request->arrived_ms - front->stop_requested_ms;

  if (front->stop_requested_ms == 0 || elapsed_ms <= STOP_ACCEPTS_STREAMS_MS)
    return false;
  return request->route->kind == ROUTE_STREAM
         || request->route->timeout_ms > front_stop_left_ms (front, request->arrived_ms);
}

bool
request_is_quarantined (const FrontRequest *request, int64_t now_ms)
{
  Quarantine *quarantine = request->front->quarantine;

  for (unsigned i = 0; i < request->part_count; i++)
    {
      if (quarantine_contains (quarantine, request->parts[i], now_ms))
        return true;
    }
  return quarantine_contains (quarantine, request->fingerprint, now_ms);
}

/* Routes and authenticates the request; false if it was refused. */
static bool
admit (FrontRequest *request)
{
  Front *front = request->front;
  FrontConfig *config = front->config;

  if (!config || !front->servers_known)
    {
      request_refuse (request, HTTP_STATUS_SERVICE_UNAVAILABLE, "no_configuration",
                      RETRY_AFTER_STARTING_MS);
      return false;
    }
  request->config = front_config_ref (config);
  request->route = front_config_route (config, request->call.host, request->call.path);
  if (!request->route)
    {
      request_refuse (request, HTTP_STATUS_NOT_FOUND, "no_route", 0);
      return false;
    }
  request->team = front_config_team (config, request->call.key);
  if (!request->team && !request->route->is_public && config->team_count > 0)
    {
      request_refuse (request, HTTP_STATUS_UNAUTHORIZED, "unknown_key", 0);
      return false;
    }
  if (may_outlive_stop (request))
    {
      request_refuse (request, HTTP_STATUS_SERVICE_UNAVAILABLE, "stopping",
                      FRONT_RETRY_AFTER_STOPPING_MS);
      return false;
    }
  request->fingerprint = fingerprint_of (request);
  request->part_count = front_parts_of (&request->call, request->parts, PROMPT_PARTS_MAX);
  if (!request_is_quarantined (request, request->arrived_ms))
    return true;
  request_refuse (request, HTTP_STATUS_SERVICE_UNAVAILABLE, "quarantined",
                  RETRY_AFTER_QUARANTINED_MS);
  return false;
}

void
front_request_start (FrontRequest *request)
{
  const FrontRoute *route;

  wire_call_decode (front_conn_request_parser (request->conn), &request->call);
  if (!admit (request))
    return;
  route = request->route;
  request->end_ms = request->arrived_ms + route->timeout_ms;
  if (request->call.deadline_ms >= 0 && request->call.deadline_ms < route->timeout_ms)
    request->end_ms = request->arrived_ms + request->call.deadline_ms;
  request->session = session_of (&request->call);
  request->service = target_of (route, request->session);
  if (route->model_count > 0 && span_is (request->call.model, "*"))
    request->model = 0;
  request->events.last_id = request->call.after_event;
  request_set_rank (request);
  if (request->call.handed_off_attempts < 0)
    {
      front_budget_count_request (request->front->budget, request->service, request->arrived_ms);
      front_hedge_count_request (request->front->hedge, request->service, request->arrived_ms);
    }
  else
    request->attempts = request->call.handed_off_attempts < route->attempts_max
                            ? (unsigned)request->call.handed_off_attempts
                            : route->attempts_max;
  request_send (request);
}

/* A server that stopped answering and restarted closes none of its old connections if a broken
 * network path holds back its resets; without this a stream on such a connection waits for two
 * allowed pauses. */
void
front_requests_cut_restarted (Front *front)
{
  FrontRequest *request, *next;

  cds_list_for_each_entry_safe (request, next, &front->requests, node)
  {
    request_hedge_cut_restarted (request);
    if (request->attempt && request->server && request->server->restarted)
      request_handle_cut (request);
  }
}

unsigned
front_requests_count_running (const Front *front, const char *service, const char *version)
{
  const FrontRequest *request;
  unsigned count = 0;

  cds_list_for_each_entry (request, &front->requests, node)
  {
    count += request->attempt && strcmp (request->service, service) == 0
             && (!version || strcmp (request->version, version) == 0);
  }
  return count;
}
