/* Sends a copy of a request whose answer is late to another server. */
#include "front_counter.h"
#include "front_log.h"
#include "front_request_pair.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S  1000
#define US_PER_MS 1000L

/* Only complete answers are compared: of a stream, the first event says little of the rest. */
static bool
is_considered (const FrontRequest *request)
{
  return front_hedge_is_on (request->front->hedge) && request->route->kind == ROUTE_IDEMPOTENT
         && request->call.handed_off_attempts < 0;
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
    .kind = pair_kind (request),
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
  pair_exchange (request);
  hedge->is_current_copy = true;
  if (!request_send_copy (request, &hedge->query, &hedge->pick))
    {
      request_release_attempt (request);
      pair_exchange (request);
      hedge->other = (PairSide){ 0 };
      request->attempts--;
      pair_log_end (request, "no_descriptor", 0, 0);
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
arm (RequestHedge *hedge, double delay_ms)
{
  int64_t wait_ms = (int64_t)ceil (delay_ms) - (clock_boot_ms () - hedge->request->attempt_ms);
  struct timeval wait;

  if (wait_ms < 1)
    wait_ms = 1;
  wait
      = (struct timeval){ .tv_sec = wait_ms / MS_PER_S, .tv_usec = wait_ms % MS_PER_S * US_PER_MS };
  evtimer_add (hedge->due, &wait);
}

static void
arm_first (RequestHedge *hedge)
{
  const FrontRequest *request = hedge->request;
  HedgeKind kind = pair_kind (request);

  arm (hedge, front_hedge_delay_ms (request->front->hedge, &kind, request->route->objective_ms));
}

/* Enters the time passed, as a lower bound of what the answer takes. */
static void
record_late (RequestHedge *hedge, double elapsed_ms)
{
  FrontHedge *all = hedge->request->front->hedge;
  HedgeKind kind = pair_kind (hedge->request);

  if (hedge->is_timed)
    front_hedge_replace (all, &kind, hedge->time_number, elapsed_ms);
  else
    hedge->time_number = front_hedge_answered (all, &kind, elapsed_ms);
  hedge->is_timed = true;
}

static void
on_due (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  RequestHedge *hedge = user;
  FrontRequest *request = hedge->request;
  HedgeKind kind = pair_kind (request);
  int64_t now_ms = clock_boot_ms ();
  double elapsed_ms = (double)(now_ms - request->attempt_ms);
  HedgeVerdict verdict;

  if (!request->attempt || pair_has_begun (request))
    return;
  verdict = decide (hedge, now_ms);
  if (verdict == HEDGE_TOO_EARLY)
    {
      arm_first (hedge);
      return;
    }
  if (verdict == HEDGE_OFF)
    return;
  record_late (hedge, elapsed_ms);
  hedge->is_decided = !front_hedge_is_provisional (verdict);
  if (!hedge->is_decided)
    arm (hedge, elapsed_ms + front_hedge_again_ms (request->front->hedge, &kind, elapsed_ms));
  else if (verdict == HEDGE_SEND)
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
  arm_first (hedge);
}

void
request_hedge_answered (FrontRequest *request, double first_ms)
{
  FrontHedge *all = request->front->hedge;
  RequestHedge *hedge = request->hedge;
  HedgeKind kind = pair_kind (request);

  if (!is_considered (request))
    return;
  if (hedge && hedge->is_timed)
    front_hedge_replace (all, &kind, hedge->time_number, first_ms);
  else
    front_hedge_answered (all, &kind, first_ms);
}
