/* Decides whether a request whose attempt failed is sent again. */
#include "front_counter.h"
#include "front_log.h"
#include "front_peers.h"
#include "front_request_private.h"
#include "front_retry_gain.h"
#include "util_clock.h"
#include <string.h>

/* Servers that one request may fail to reach without using up its attempts. With a third of all
 * servers down, and three attempts by the route, one of 2,187 requests (3 to the 7th) reaches
 * none. */
#define UNREACHED_MAX 4

typedef enum
{
  RETRY_NOW,
  RETRY_MAY_HAVE_RUN, /* and must run only once */
  RETRY_ATTEMPTS,
  RETRY_DEADLINE,
  RETRY_NO_BUDGET,
  RETRY_NO_SERVER,   /* no server may get it, and the attempt may still be answered */
  RETRY_UNSENT,      /* now, as nothing was sent */
  RETRY_QUARANTINED, /* servers die under it */
  RETRY_NOT_SOONER,  /* the answer would begin no sooner elsewhere */
  RETRY_ALL_LATE,    /* the service as a whole is late */
  RETRY_HOPELESS,    /* the caller would have left before it began elsewhere */
} RetryVerdict;

static const char *const verdict_names[] = {
  [RETRY_NOW] = "now",
  [RETRY_MAY_HAVE_RUN] = "may_have_run",
  [RETRY_ATTEMPTS] = "attempts",
  [RETRY_DEADLINE] = "deadline",
  [RETRY_NO_BUDGET] = "no_budget",
  [RETRY_NO_SERVER] = "no_server",
  [RETRY_UNSENT] = "unsent",
  [RETRY_QUARANTINED] = "quarantined",
  [RETRY_NOT_SOONER] = "not_sooner",
  [RETRY_ALL_LATE] = "all_late",
  [RETRY_HOPELESS] = "hopeless",
};

/* Whether another attempt is allowed; if so, takes it from the budget. */
static RetryVerdict
retry_verdict (FrontRequest *request, bool may_have_run)
{
  int64_t now_ms = clock_boot_ms ();

  if (may_have_run && !front_route_is_idempotent (request->route))
    return RETRY_MAY_HAVE_RUN;
  if (request_is_quarantined (request, now_ms))
    return RETRY_QUARANTINED;
  if (request->attempts >= request->route->attempts_max)
    return RETRY_ATTEMPTS;
  if (now_ms >= request->end_ms)
    return RETRY_DEADLINE;
  if (!front_budget_take (request->front->budget, request->service, BUDGET_RETRY, now_ms))
    return RETRY_NO_BUDGET;
  return RETRY_NOW;
}

static void
log_retry (const FrontRequest *request, const char *reason, RetryVerdict verdict)
{
  FrontLine *line = front_log_begin (request->head_sent ? FRONT_EVENT_RESUME : FRONT_EVENT_RETRY);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "reason", reason);
  front_log_text (line, "verdict", verdict_names[verdict]);
  front_log_text (line, "server", request->server ? request->server->entry.id : NULL);
  front_log_number (line, "attempt", request->attempts);
  front_log_number (line, "may_have_run", request->may_have_run);
  front_log_number (line, "last_event", request->events.last_id);
  front_log_end (line);
}

static void
send_again (FrontRequest *request)
{
  front_counter_add (request->head_sent ? FRONT_COUNTER_RESUMES : FRONT_COUNTER_RETRIES);
  request_drop_attempt (request);
  request_send (request);
}

void
request_retry (FrontRequest *request, const char *reason, bool may_have_run)
{
  RetryVerdict verdict;

  if (request_hedge_go_on (request, reason, may_have_run))
    return;
  request->may_have_run |= may_have_run;
  verdict = retry_verdict (request, request->may_have_run);
  log_retry (request, reason, verdict);
  if (verdict == RETRY_NOW)
    send_again (request);
  else
    {
      request_drop_attempt (request);
      request_give_up (request, reason, 0);
    }
}

static unsigned
count_servers (const FrontRequest *request)
{
  FrontServer *server;
  unsigned count = 0;

  cds_list_for_each_entry (server, front_servers_list (request->front->servers), node)
  {
    count += front_server_takes_work (server)
             && strcmp (server->entry.service, request->service) == 0;
  }
  return count;
}

uint64_t
request_service_hash (const FrontRequest *request)
{
  return span_hash (span_of (request->service));
}

static void
log_reach (const FrontRequest *request)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_REACH);
  ReachState state = front_reach_state (&request->front->reach, request_service_hash (request));

  front_log_text (line, "service", request->service);
  front_log_text (line, "state", front_reach_state_name (state));
  front_log_end (line);
}

static void
record_unreached (FrontRequest *request, int64_t now_ms)
{
  ReachTry attempt = {
    .service = request_service_hash (request),
    .server = request->server->hash,
    .servers = count_servers (request),
  };

  if (!front_reach_failed (&request->front->reach, &attempt, now_ms))
    return;
  log_reach (request);
  front_peers_send_soon (request->front->peers);
}

void
request_record_reached (FrontRequest *request)
{
  ReachTry attempt = { .service = request_service_hash (request), .server = request->server->hash };

  if (!front_reach_connected (&request->front->reach, &attempt, clock_boot_ms ()))
    return;
  log_reach (request);
  front_peers_send_soon (request->front->peers);
}

/* Nothing arrives at a server that can't be reached, so this counts neither against the route's
 * attempts nor against the retry budget: with several servers crashed at once, requests would
 * be refused after three connections that take 7 ms in all, although other servers have
 * capacity. */
void
request_handle_unreachable (FrontRequest *request, const char *reason)
{
  int64_t now_ms = clock_boot_ms ();

  front_health_unreachable (&request->server->health, now_ms);
  record_unreached (request, now_ms);
  if (request_hedge_go_on (request, reason, false))
    {
      request->unreached++;
      request->attempts--;
      return;
    }
  if (request->unreached == UNREACHED_MAX || now_ms >= request->end_ms
      || request_is_quarantined (request, now_ms))
    {
      request_retry (request, reason, false);
      return;
    }
  request->unreached++;
  request->attempts--;
  log_retry (request, reason, RETRY_UNSENT);
  send_again (request);
}

static RetryGain
retry_gain (const FrontRequest *request, double other_ms, int64_t now_ms)
{
  return (RetryGain){
    .elapsed_ms = (double)(now_ms - request->attempt_ms),
    .predicted_ms = request->predicted_ms + request->belief.ms,
    .other_ms = other_ms,
    .objective_ms = (double)request->route->objective_ms,
    .caller_ms = (double)(request->end_ms - now_ms),
  };
}

static void
log_gain (const FrontRequest *request, const RetryGain *gain, RetryVerdict verdict)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_RETRY_GAIN);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "verdict", verdict_names[verdict]);
  front_log_text (line, "server", request->server->entry.id);
  front_log_number (line, "elapsed_ms", (int64_t)gain->elapsed_ms);
  front_log_number (line, "predicted_ms", (int64_t)gain->predicted_ms);
  front_log_number (line, "left_ms", (int64_t)front_retry_gain_left_ms (gain));
  front_log_number (line, "other_ms", (int64_t)gain->other_ms);
  front_log_end (line);
}

/* Whether a late answer is sought elsewhere, where work is ordered under load. */
static RetryVerdict
gain_verdict (const FrontRequest *request)
{
  static const RetryVerdict verdicts[] = {
    [RETRY_GAIN_SOONER] = RETRY_NOW,
    [RETRY_GAIN_LATER] = RETRY_NOT_SOONER,
    [RETRY_GAIN_ALL_LATE] = RETRY_ALL_LATE,
    [RETRY_GAIN_HOPELESS] = RETRY_HOPELESS,
  };
  RetryGain gain;
  RetryVerdict verdict;
  int64_t now_ms = clock_boot_ms ();
  double other_ms;

  if (!request_other_server (request, &other_ms))
    return RETRY_NO_SERVER;
  gain = retry_gain (request, other_ms, now_ms);
  verdict = verdicts[front_retry_gain (&gain)];
  log_gain (request, &gain, verdict);
  if (verdict != RETRY_NOW)
    front_counter_add (FRONT_COUNTER_RETRIES_SPARED);
  return verdict;
}

static RetryVerdict
silence_verdict (FrontRequest *request)
{
  RetryVerdict verdict = RETRY_NOW;

  if (!request_has_server (request))
    return RETRY_NO_SERVER;
  if (!request->relaying && front_is_contended (request->front))
    verdict = gain_verdict (request);
  return verdict == RETRY_NOW ? retry_verdict (request, true) : verdict;
}

/* Waits for the attempt's answer for as long again. Where work is ordered under load, predictions
 * are learned from the whole time since it was sent. */
static void
keep_attempt (FrontRequest *request, int64_t now_ms)
{
  request->event_ms = now_ms;
  request->checked_ms = now_ms;
  if (!front_is_contended (request->front))
    request->sent_ms = now_ms;
  request_arm_timer (request);
}

/* Unlike a lost connection, silence doesn't end the answer: the attempt is dropped only for another
 * one, and otherwise kept, since the server may continue. */
void
request_handle_silence (FrontRequest *request)
{
  const char *reason = request->relaying ? "stream_silent" : "answer_late";
  RetryVerdict verdict = silence_verdict (request);
  int64_t now_ms = clock_boot_ms ();

  log_retry (request, reason, verdict);
  /* Counted before the attempt is dropped: a version that is always slow would otherwise have no
   * answers by which to evaluate it. */
  if (!request->relaying)
    request_add_evidence (request, false, now_ms);
  if (verdict != RETRY_NOW)
    {
      keep_attempt (request, now_ms);
      return;
    }
  front_health_failed (&request->server->health, now_ms);
  request_hedge_other_silent (request, now_ms);
  request->may_have_run = true;
  send_again (request);
}
