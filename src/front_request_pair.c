/* The two attempts of a request of which a copy was sent, until one has answered or failed. The one
 * that is handled is made the current attempt, so that all else deals with one attempt at a time.
 */
#include "front_request_pair.h"
#include "front_counter.h"
#include "front_log.h"
#include "util_clock.h"

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

bool
pair_has_other (const FrontRequest *request)
{
  return request->hedge && request->hedge->other.attempt;
}

static PairSide
side_of (const FrontRequest *request)
{
  return (PairSide){
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
    .belief = request->belief,
    .is_ordered = request->is_ordered,
    .wait_key = request->wait_key,
    .checked_ms = request->checked_ms,
    .overdue_count = request->overdue_count,
    .stream = request->stream,
    .is_copy = request->hedge->is_current_copy,
    .is_timed = request->hedge->is_timed,
    .time_number = request->hedge->time_number,
  };
}

void
pair_exchange (FrontRequest *request)
{
  RequestHedge *hedge = request->hedge;
  const PairSide next = hedge->other;

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
  request->belief = next.belief;
  request->is_ordered = next.is_ordered;
  request->wait_key = next.wait_key;
  request->checked_ms = next.checked_ms;
  request->overdue_count = next.overdue_count;
  request->stream = next.stream;
  hedge->is_current_copy = next.is_copy;
  hedge->is_timed = next.is_timed;
  hedge->time_number = next.time_number;
  if (request->attempt)
    front_attempt_set_callbacks (request->attempt, &request_attempt_callbacks);
  if (hedge->other.attempt)
    front_attempt_set_callbacks (hedge->other.attempt, &other_callbacks);
}

HedgeKind
pair_kind (const FrontRequest *request)
{
  return (HedgeKind){ .service = request->service, .route = request->route->hash };
}

void
pair_log_end (const FrontRequest *request, const char *outcome, int64_t lost_ms, int64_t gained_ms)
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

bool
pair_has_begun (const FrontRequest *request)
{
  return request->relaying || front_attempt_reply (request->attempt)->status != 0;
}

/* The current attempt is cancelled, as the other one has answered or neither will. Its server's
 * answer would have taken at least as long as it was waited for. */
static void
record_cancelled (FrontRequest *request, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - request->sent_ms);
  HedgeKind kind = pair_kind (request);

  if (!front_attempt_is_sent (request->attempt))
    {
      if (elapsed_ms >= FRONT_CONNECT_TIMEOUT_MS)
        front_health_unreachable (&request->server->health, now_ms);
      return;
    }
  if (pair_has_begun (request))
    return;
  front_health_late (&request->server->health, now_ms, elapsed_ms, request->predicted_ms);
  if (request->hedge->is_timed)
    front_hedge_replace (request->front->hedge, &kind, request->hedge->time_number, elapsed_ms);
  request_count_unanswered (request);
}

static int64_t
gained_ms (const FrontRequest *request, int64_t now_ms)
{
  HedgeKind kind = pair_kind (request);
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

  pair_log_end (request, outcome, lost_ms, gain_ms);
  front_counter_add_many (FRONT_COUNTER_HEDGE_LOST_MS, (size_t)lost_ms);
  if (is_won)
    {
      front_counter_add (FRONT_COUNTER_HEDGE_WINS);
      front_counter_add_wait (FRONT_WAIT_HEDGE, gain_ms);
    }
  pair_exchange (request);
  record_cancelled (request, now_ms);
  request_release_attempt (request);
  pair_exchange (request);
}

void
request_hedge_end (FrontRequest *request, const char *outcome)
{
  if (!request->hedge)
    return;
  evtimer_del (request->hedge->due);
  if (pair_has_other (request))
    drop_other (request, outcome);
}

bool
request_hedge_go_on (FrontRequest *request, const char *reason, bool may_have_run)
{
  int64_t lost_ms;

  if (!pair_has_other (request))
    return false;
  lost_ms = front_attempt_is_sent (request->attempt) ? clock_boot_ms () - request->sent_ms : 0;
  request->may_have_run |= may_have_run;
  request_release_attempt (request);
  pair_exchange (request);
  pair_log_end (request, reason, lost_ms, 0);
  request_arm_timer (request);
  return true;
}

bool
request_hedge_other_is_sent (const FrontRequest *request)
{
  return pair_has_other (request) && front_attempt_is_sent (request->hedge->other.attempt);
}

void
request_hedge_other_silent (FrontRequest *request, int64_t now_ms)
{
  if (pair_has_other (request))
    front_health_failed (&request->hedge->other.server->health, now_ms);
}

void
request_hedge_cut_restarted (FrontRequest *request)
{
  if (!pair_has_other (request) || !request->hedge->other.server->restarted)
    return;
  pair_exchange (request);
  request_handle_cut (request);
}

static void
on_other_sent (void *user)
{
  FrontRequest *request = user;

  pair_exchange (request);
  request_attempt_callbacks.sent (request);
  pair_exchange (request);
  request_arm_timer (request);
}

static void
on_other_head (void *user)
{
  FrontRequest *request = user;

  pair_exchange (request);
  request_attempt_callbacks.head (request);
  pair_exchange (request);
}

static void
on_other_progress (void *user)
{
  pair_exchange (user);
  request_attempt_callbacks.progress (user);
}

static void
on_other_cut (void *user)
{
  pair_exchange (user);
  request_attempt_callbacks.cut (user);
}
