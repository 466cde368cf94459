/* Sends a copy of a request whose answer is late to another server, and keeps the two attempts
 * until one has answered or failed. The one that is handled is made the current attempt, so that
 * all else deals with one attempt at a time. */
#include "front_counter.h"
#include "front_hedge.h"
#include "front_log.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S  1000
#define US_PER_MS 1000L

/* What belongs to an attempt; see FrontRequest. */
typedef struct
{
  FrontAttempt *attempt;
  FrontServer *server;
  double predicted_ms;
  double prompt_ms;
  int64_t prompt_tokens;
  bool loaded;
  double running_weight;
  double pending_ms;
  int64_t attempt_ms;
  int64_t sent_ms;
  int64_t event_ms;
  bool relaying;
  bool has_begun;
  bool counted;
  bool is_copy;
  bool is_timed;        /* a lower bound of its time was learned */
  uint64_t time_number; /* of that */
} Side;

struct RequestHedge
{
  FrontRequest *request;
  struct event *due; /* when the answer counts as late */
  bool is_decided;   /* one copy is considered for each request */
  bool is_current_copy;
  bool is_timed;
  uint64_t time_number;
  Side other;      /* attempt NULL: there is none */
  double delay_ms; /* after which the copy was sent */
  char first[SERVER_TEXT_MAX];
  char copy[SERVER_TEXT_MAX];
  PickQuery query; /* of the copy's server */
  PickAnswer pick;
};

static void on_other_sent (void *user);
static void on_other_head (void *user);
static void on_other_progress (void *user);
static void on_other_cut (void *user);

static const AttemptCallbacks other_callbacks = {
  .sent = on_other_sent,
  .head = on_other_head,
  .progress = on_other_progress,
  .cut = on_other_cut,
};

static bool
has_other (const FrontRequest *request)
{
  return request->hedge && request->hedge->other.attempt;
}

static Side
side_of (const FrontRequest *request)
{
  return (Side){
    .attempt = request->attempt,
    .server = request->server,
    .predicted_ms = request->predicted_ms,
    .prompt_ms = request->prompt_ms,
    .prompt_tokens = request->prompt_tokens,
    .loaded = request->loaded,
    .running_weight = request->running_weight,
    .pending_ms = request->pending_ms,
    .attempt_ms = request->attempt_ms,
    .sent_ms = request->sent_ms,
    .event_ms = request->event_ms,
    .relaying = request->relaying,
    .has_begun = request->has_begun,
    .counted = request->counted,
    .is_copy = request->hedge->is_current_copy,
    .is_timed = request->hedge->is_timed,
    .time_number = request->hedge->time_number,
  };
}

/* Makes the other attempt the current one, and the current one the other. */
static void
exchange (FrontRequest *request)
{
  RequestHedge *hedge = request->hedge;
  const Side next = hedge->other;

  hedge->other = side_of (request);
  request->attempt = next.attempt;
  request->server = next.server;
  request->predicted_ms = next.predicted_ms;
  request->prompt_ms = next.prompt_ms;
  request->prompt_tokens = next.prompt_tokens;
  request->loaded = next.loaded;
  request->running_weight = next.running_weight;
  request->pending_ms = next.pending_ms;
  request->attempt_ms = next.attempt_ms;
  request->sent_ms = next.sent_ms;
  request->event_ms = next.event_ms;
  request->relaying = next.relaying;
  request->has_begun = next.has_begun;
  request->counted = next.counted;
  hedge->is_current_copy = next.is_copy;
  hedge->is_timed = next.is_timed;
  hedge->time_number = next.time_number;
  if (request->attempt)
    front_attempt_set_callbacks (request->attempt, &request_attempt_callbacks);
  if (hedge->other.attempt)
    front_attempt_set_callbacks (hedge->other.attempt, &other_callbacks);
}

static HedgeKind
kind_of (const FrontRequest *request)
{
  return (HedgeKind){ .service = request->service, .route = request->route->hash };
}

/* Only complete answers are compared: of a stream, the first event says little of the rest. */
static bool
is_considered (const FrontRequest *request)
{
  return front_hedge_is_on (request->front->hedge) && request->route->kind == ROUTE_IDEMPOTENT
         && request->call.handed_off_attempts < 0;
}

static void
log_end (const FrontRequest *request, const char *outcome, int64_t lost_ms, int64_t gained_ms)
{
  const RequestHedge *hedge = request->hedge;
  FrontLine *line = front_log_begin (FRONT_EVENT_HEDGE);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "route", request->route->name);
  front_log_text (line, "service", request->service);
  front_log_number (line, "delay_ms", (int64_t)hedge->delay_ms);
  front_log_text (line, "first", hedge->first);
  front_log_text (line, "copy", hedge->copy);
  front_log_text (line, "outcome", outcome);
  front_log_text (line, "kept", hedge->is_current_copy ? "copy" : "first");
  front_log_number (line, "lost_ms", lost_ms);
  front_log_number (line, "gained_ms", gained_ms);
  front_log_end (line);
}

static bool
has_answer_begun (const FrontRequest *request)
{
  return request->relaying || front_attempt_reply (request->attempt)->status != 0;
}

/* The current attempt is cancelled, as the other one has answered or neither will. Its server's
 * answer would have taken at least as long as it was waited for. */
static void
record_cancelled (FrontRequest *request, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - request->sent_ms);
  HedgeKind kind = kind_of (request);

  if (!front_attempt_is_sent (request->attempt))
    {
      if (elapsed_ms >= FRONT_CONNECT_TIMEOUT_MS)
        front_health_unreachable (&request->server->health, now_ms);
      return;
    }
  if (has_answer_begun (request))
    return;
  front_health_late (&request->server->health, now_ms, elapsed_ms, request->predicted_ms);
  if (request->hedge->is_timed)
    front_hedge_replace (request->front->hedge, &kind, request->hedge->time_number, elapsed_ms);
  request_count_unanswered (request);
}

static int64_t
gained_ms (const FrontRequest *request, int64_t now_ms)
{
  HedgeKind kind = kind_of (request);
  double elapsed_ms = (double)(now_ms - request->hedge->other.sent_ms);

  return (int64_t)front_hedge_left_ms (request->front->hedge, &kind, elapsed_ms);
}

/* Drops the other attempt. */
static void
drop_other (FrontRequest *request, const char *outcome)
{
  RequestHedge *hedge = request->hedge;
  int64_t now_ms = clock_boot_ms ();
  int64_t lost_ms
      = front_attempt_is_sent (hedge->other.attempt) ? now_ms - hedge->other.sent_ms : 0;
  bool is_won = front_attempt_reply (request->attempt)->complete && hedge->is_current_copy;
  int64_t gain_ms = is_won ? gained_ms (request, now_ms) : 0;

  log_end (request, outcome, lost_ms, gain_ms);
  front_counter_add_many (FRONT_COUNTER_HEDGE_LOST_MS, (size_t)lost_ms);
  if (is_won)
    {
      front_counter_add (FRONT_COUNTER_HEDGE_WINS);
      front_counter_add_wait (FRONT_WAIT_HEDGE, gain_ms);
    }
  exchange (request);
  record_cancelled (request, now_ms);
  request_release_attempt (request);
  exchange (request);
}

void
request_hedge_end (FrontRequest *request, const char *outcome)
{
  if (!request->hedge)
    return;
  evtimer_del (request->hedge->due);
  if (has_other (request))
    drop_other (request, outcome);
}

void
request_hedge_free (FrontRequest *request)
{
  if (!request->hedge)
    return;
  event_free (request->hedge->due);
  free (request->hedge);
  request->hedge = NULL;
}

bool
request_hedge_go_on (FrontRequest *request, const char *reason, bool may_have_run)
{
  int64_t lost_ms;

  if (!has_other (request))
    return false;
  lost_ms = front_attempt_is_sent (request->attempt) ? clock_boot_ms () - request->sent_ms : 0;
  request->may_have_run |= may_have_run;
  request_release_attempt (request);
  exchange (request);
  log_end (request, reason, lost_ms, 0);
  request_arm_timer (request);
  return true;
}

static HedgeForecast
forecast (void *user)
{
  RequestHedge *hedge = user;
  FrontServer *server;

  hedge->pick = request_pick_copy (hedge->request, &hedge->query);
  server = hedge->pick.server;
  return (HedgeForecast){
    .has_server = server != NULL || hedge->pick.wait == PICK_WAIT_FULL,
    .is_full = server == NULL,
    .extra_ms
    = server ? hedge->pick.predicted_ms + front_health_lag_ms (&server->health, clock_boot_ms ())
             : 0,
  };
}

static bool
take_budget (void *user)
{
  const RequestHedge *hedge = user;

  return front_budget_take (hedge->request->front->budget, hedge->request->service, BUDGET_HEDGE,
                            clock_boot_ms ());
}

/* Whether a roll-out replaces the version on which the session runs. */
static bool
is_in_rollout (const FrontRequest *request)
{
  const FrontRollout *rollout = front_rollouts_get (request->front->rollouts, request->service);

  return front_rollout_is_running (rollout)
         && strcmp (request->version, rollout->order.target) != 0;
}

static HedgeVerdict
decide (RequestHedge *hedge, int64_t now_ms)
{
  const FrontRequest *request = hedge->request;
  HedgeCase c = {
    .kind = kind_of (request),
    .objective_ms = request->route->objective_ms,
    .is_idempotent = front_route_is_idempotent (request->route),
    .is_quarantined = request_is_quarantined (request, now_ms),
    .has_attempts = request->attempts < request->route->attempts_max,
    .is_in_rollout = is_in_rollout (request),
    .elapsed_ms = (double)(now_ms - request->attempt_ms),
    .remaining_ms = (double)(request->end_ms - now_ms),
    .forecast = forecast,
    .take_budget = take_budget,
    .user = hedge,
  };

  return front_hedge_decide (request->front->hedge, &c, now_ms);
}

static void
send_copy (RequestHedge *hedge, int64_t now_ms)
{
  FrontRequest *request = hedge->request;

  hedge->delay_ms = (double)(now_ms - request->attempt_ms);
  snprintf (hedge->first, sizeof hedge->first, "%s", request->server->entry.id);
  snprintf (hedge->copy, sizeof hedge->copy, "%s", hedge->pick.server->entry.id);
  exchange (request);
  hedge->is_current_copy = true;
  if (!request_send_copy (request, &hedge->query, &hedge->pick))
    {
      request_release_attempt (request);
      exchange (request);
      hedge->other = (Side){ 0 };
      request->attempts--;
      log_end (request, "no_descriptor", 0, 0);
      return;
    }
  front_counter_add (FRONT_COUNTER_HEDGES);
  request_arm_timer (request);
}

static void
record_limited (FrontRequest *request, int64_t now_ms)
{
  FrontLine *line;

  front_counter_add (FRONT_COUNTER_HEDGES_LIMITED);
  if (!front_hedge_limit_is_news (request->front->hedge, request->service, now_ms))
    return;
  line = front_log_begin (FRONT_EVENT_HEDGE_LIMIT);
  front_log_text (line, "service", request->service);
  front_log_end (line);
}

static void
arm (RequestHedge *hedge)
{
  const FrontRequest *request = hedge->request;
  HedgeKind kind = kind_of (request);
  double delay_ms
      = ceil (front_hedge_delay_ms (request->front->hedge, &kind, request->route->objective_ms));
  int64_t wait_ms = (int64_t)delay_ms - (clock_boot_ms () - request->attempt_ms);
  struct timeval wait;

  if (wait_ms < 1)
    wait_ms = 1;
  wait
      = (struct timeval){ .tv_sec = wait_ms / MS_PER_S, .tv_usec = wait_ms % MS_PER_S * US_PER_MS };
  evtimer_add (hedge->due, &wait);
}

static void
on_due (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  RequestHedge *hedge = user;
  FrontRequest *request = hedge->request;
  HedgeKind kind = kind_of (request);
  int64_t now_ms = clock_boot_ms ();
  HedgeVerdict verdict;

  if (!request->attempt || has_answer_begun (request))
    return;
  verdict = decide (hedge, now_ms);
  if (verdict == HEDGE_TOO_EARLY)
    {
      arm (hedge);
      return;
    }
  if (verdict == HEDGE_OFF)
    return;
  hedge->is_decided = true;
  hedge->is_timed = true;
  hedge->time_number
      = front_hedge_answered (request->front->hedge, &kind, (double)(now_ms - request->attempt_ms));
  if (verdict == HEDGE_SEND)
    send_copy (hedge, now_ms);
  else if (verdict == HEDGE_LIMIT)
    record_limited (request, now_ms);
}

void
request_hedge_begin (FrontRequest *request)
{
  RequestHedge *hedge = request->hedge;

  if (!is_considered (request) || (hedge && hedge->is_decided))
    return;
  if (!hedge)
    {
      hedge = memory_alloc (sizeof *hedge);
      hedge->request = request;
      hedge->due = evtimer_new (request->front->base, on_due, hedge);
      request->hedge = hedge;
    }
  arm (hedge);
}

void
request_hedge_answered (FrontRequest *request, double first_ms)
{
  FrontHedge *all = request->front->hedge;
  RequestHedge *hedge = request->hedge;
  HedgeKind kind = kind_of (request);

  if (!is_considered (request))
    return;
  if (hedge && hedge->is_timed)
    front_hedge_replace (all, &kind, hedge->time_number, first_ms);
  else
    front_hedge_answered (all, &kind, first_ms);
}

bool
request_hedge_other_is_sent (const FrontRequest *request)
{
  return has_other (request) && front_attempt_is_sent (request->hedge->other.attempt);
}

void
request_hedge_other_silent (FrontRequest *request, int64_t now_ms)
{
  if (has_other (request))
    front_health_failed (&request->hedge->other.server->health, now_ms);
}

void
request_hedge_cut_restarted (FrontRequest *request)
{
  if (!has_other (request) || !request->hedge->other.server->restarted)
    return;
  exchange (request);
  request_handle_cut (request);
}

static void
on_other_sent (void *user)
{
  FrontRequest *request = user;

  exchange (request);
  request_attempt_callbacks.sent (request);
  exchange (request);
  request_arm_timer (request);
}

static void
on_other_head (void *user)
{
  FrontRequest *request = user;

  exchange (request);
  request_attempt_callbacks.head (request);
  exchange (request);
}

static void
on_other_progress (void *user)
{
  exchange (user);
  request_attempt_callbacks.progress (user);
}

static void
on_other_cut (void *user)
{
  exchange (user);
  request_attempt_callbacks.cut (user);
}
