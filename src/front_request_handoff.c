/* Hands a request to another front, as a caller would send it there, if this front can't reach the
 * servers of its service. The other front chooses the server, and its answer is relayed. */
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_request_private.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_unused.h"
#include "wire_call.h"
#include <arpa/inet.h>

static void on_sent (void *user);
static void on_head (void *user);
static void on_progress (void *user);
static void on_cut (void *user);

static const AttemptCallbacks handoff_callbacks = {
  .sent = on_sent,
  .head = on_head,
  .progress = on_progress,
  .cut = on_cut,
};

static struct sockaddr_in *
asked_front (FrontRequest *request)
{
  return &request->handoff.asked[request->handoff.asked_count - 1];
}

static void
log_handoff (FrontRequest *request, const char *state, int status)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_HANDOFF);
  char ip[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &asked_front (request)->sin_addr, ip, sizeof ip);
  front_log_span (line, "request", request->call.id);
  front_log_text (line, "state", state);
  front_log_text (line, "peer", ip);
  front_log_number (line, "status", status);
  front_log_end (line);
}

/* A stream that has begun goes on with the model that began it. */
static Span
stream_model (const FrontRequest *request)
{
  return request->head_sent ? request_model_name (request, request->model) : (Span){ 0 };
}

static bool
start_attempt (FrontRequest *request, int64_t now_ms)
{
  HttpRequestParser *request_parser = front_conn_request_parser (request->conn);
  HandoffHeaders headers = {
    .attempts = request->attempts,
    .deadline_ms = request->end_ms - now_ms,
    .after_event = request->head_sent ? request->events.last_id : -1,
    .model = stream_model (request),
  };
  AttemptTarget target = { .address = asked_front (request) };
  Buffer head = { 0 };

  wire_handoff_encode (&head, request_parser, &headers);
  request->attempt = front_attempt_start (request->front, &target, &head, &request_parser->body,
                                          &handoff_callbacks, request);
  buffer_free (&head);
  return request->attempt != NULL;
}

/* True if the request was handed to another front. */
static bool
send_to_front (FrontRequest *request, int64_t now_ms)
{
  PeerHandoff *handoff = &request->handoff;
  const struct sockaddr_in *address;

  if (handoff->asked_count == HANDOFFS_MAX || now_ms >= request->end_ms)
    return false;
  address = front_peers_choose_handoff (request->front->peers, handoff, now_ms);
  if (!address)
    return false;
  handoff->asked[handoff->asked_count++] = *address;
  asked_front (request)->sin_port = request->front->callers_port;
  request->is_handed_off = true;
  request->attempt_ms = now_ms;
  request->sent_ms = now_ms;
  request->event_ms = now_ms;
  request->relaying = false;
  request->has_begun = false;
  if (!start_attempt (request, now_ms))
    {
      request->is_handed_off = false;
      return false;
    }
  front_counter_add (FRONT_COUNTER_HANDOFFS);
  log_handoff (request, "sent", 0);
  request_arm_timer (request);
  return true;
}

/* True if this front may try to reach the service with the request, before it hands it on. */
static bool
should_try_servers (FrontRequest *request, int64_t now_ms)
{
  return request->unreached == 0 && request->handoff.asked_count == 0
         && front_reach_should_try (&request->front->reach, request->handoff.service, now_ms);
}

bool
request_hand_off (FrontRequest *request)
{
  PeerHandoff *handoff = &request->handoff;
  int64_t now_ms = clock_boot_ms ();
  ReachState state;

  handoff->service = request_service_hash (request);
  state = front_reach_state (&request->front->reach, handoff->service);
  if (state != REACH_LOST)
    return false;
  /* Two fronts must not pass a request to and fro. */
  if (request->call.handed_off_attempts >= 0)
    {
      request_give_up (request, "servers_unreachable", 0);
      return true;
    }
  return !should_try_servers (request, now_ms) && send_to_front (request, now_ms);
}

bool
request_hand_off_for_room (FrontRequest *request)
{
  PeerHandoff *handoff = &request->handoff;

  if (request->call.handed_off_attempts >= 0)
    return false;
  handoff->service = request_service_hash (request);
  handoff->needs_room = true;
  return send_to_front (request, clock_boot_ms ());
}

/* Asks the next front; if there is none, a request is refused rather than kept waiting for servers
 * that this front can't reach. */
static void
try_next_front (FrontRequest *request, int64_t wait_ms)
{
  request_drop_attempt (request);
  if (send_to_front (request, clock_boot_ms ()))
    return;
  if (request->handoff.needs_room)
    request_send (request);
  else
    request_give_up (request, "servers_unreachable", wait_ms);
}

void
request_handle_front_unreachable (FrontRequest *request)
{
  log_handoff (request, "unreachable", 0);
  front_peers_mark_failed (request->front->peers, asked_front (request), clock_boot_ms ());
  try_next_front (request, 0);
}

/* Statuses with which a front of its own says that the request may have run. */
static bool
tells_may_have_run (int status)
{
  return status == HTTP_STATUS_BAD_GATEWAY || status == HTTP_STATUS_GATEWAY_TIMEOUT
         || status == HTTP_STATUS_INTERNAL_SERVER_ERROR;
}

/* Evaluates an answer that the other front gave itself. */
static void
handle_own_answer (FrontRequest *request, int status, const ReplyInfo *info)
{
  bool may_have_run = tells_may_have_run (status) || status < HTTP_STATUS_BAD_REQUEST;

  log_handoff (request, may_have_run ? "failed" : "refused", status);
  if (!may_have_run)
    {
      front_peers_mark_refused (request->front->peers, asked_front (request), clock_boot_ms ());
      try_next_front (request, info->rest_ms > 0 ? info->rest_ms : 0);
      return;
    }
  request->may_have_run = true;
  request_drop_attempt (request);
  request_give_up (request, "handoff_failed", 0);
}

/* How many servers the other front has tried is not known, so the request is sent to no other one.
 */
static void
end_attempts (FrontRequest *request)
{
  request->attempts = request->route->attempts_max;
}

static void
handle_answer_head (FrontRequest *request)
{
  HttpReply *reply = front_attempt_reply (request->attempt);
  bool is_success = reply->status >= HTTP_STATUS_OK && reply->status < HTTP_STATUS_MULTIPLE_CHOICES;
  ReplyInfo info;

  wire_reply_decode (reply, "", &info);
  if (!info.is_signed)
    {
      handle_own_answer (request, reply->status, &info);
      return;
    }
  if (!is_success && !reply->complete)
    return;
  if (info.served_by.len > 0)
    request_handle_relayed_notices (request, &info);
  end_attempts (request);
  if (!request_can_go_on_with (request, reply))
    {
      log_handoff (request, "failed", reply->status);
      request_retry (request, "handoff_failed", true);
      return;
    }
  request->relaying = true;
  request_handle_progress (request);
}

static void
on_sent (void *user)
{
  request_arm_timer (user);
}

static void
on_head (void *user UNUSED)
{
}

static void
on_progress (void *user)
{
  FrontRequest *request = user;

  if (request->relaying)
    request_handle_progress (request);
  else
    handle_answer_head (request);
}

static void
on_cut (void *user)
{
  FrontRequest *request = user;

  if (!front_attempt_is_sent (request->attempt))
    {
      request_handle_front_unreachable (request);
      return;
    }
  log_handoff (request, "cut", 0);
  end_attempts (request);
  request_retry (request, "handoff_cut", true);
}
