/* Requests for models that wait here while engines turn requests away: the most urgent first, they
 * go out at the pace at which engines take them, or when another request of this front ends. */
#include "front_budget.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_request_private.h"
#include "front_urgency.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_unused.h"
#include <string.h>

/* Milliseconds after which the list is walked again. */
#define TICK_MS   10
#define US_PER_MS 1000L
/* Requests that go out in one walk. */
#define WALK_SENDS_MAX 16
/* Milliseconds after which the retry budget is asked again. */
#define NO_BUDGET_MS 50

static void on_timer (evutil_socket_t fd, short what, void *user);

static void
arm (Front *front, int64_t wait_ms)
{
  const struct timeval wait = { .tv_usec = wait_ms * US_PER_MS };

  if (!front->holding.timer)
    front->holding.timer = evtimer_new (front->base, on_timer, front);
  evtimer_add (front->holding.timer, &wait);
}

static HoldPace *
pace_of (const FrontRequest *request)
{
  return front_holding_pace (&request->front->holding, request_service_hash (request));
}

static double
need_ms (const FrontRequest *request)
{
  const HoldNeed *need = front_holding_need (&request->front->holding, request->route->hash);

  return need ? front_hold_need_ms (need, request->end_ms - request->arrived_ms) : 0;
}

static double
random_spread (void)
{
  return (double)id_random_u64 () / (double)UINT64_MAX;
}

static bool
is_for_model (const FrontRequest *request)
{
  const FrontService *service = front_config_service (request->config, request->service);

  return service && service->kv_tokens > 0;
}

static HoldTurn
turn_of (const FrontRequest *request)
{
  return (HoldTurn){ .rank = request->rank,
                     .priority = request->route->priority,
                     .arrived_ms = request->arrived_ms,
                     .objective_ms = request->route->objective_ms,
                     .end_ms = request->end_ms,
                     .need_ms = need_ms (request) };
}

/* Held requests that go out before it. */
static unsigned
count_before (const FrontRequest *request)
{
  const HoldTurn turn = turn_of (request);
  const FrontRequest *other;
  unsigned count = 0;

  cds_list_for_each_entry (other, &request->front->holding.requests, held_node)
  {
    if (other == request || front_hold_is_before (&turn, &other->turn))
      break;
    count += strcmp (request->service, other->service) == 0;
  }
  return count;
}

static HoldRequest
hold_of (const FrontRequest *request, int64_t now_ms)
{
  return (HoldRequest){
    .may_have_run = request->may_have_run,
    .left_ms = request->end_ms - now_ms,
    .need_ms = need_ms (request),
    .wait_ms = front_hold_gap_ms (pace_of (request), now_ms) * (count_before (request) + 1),
  };
}

static bool
may_hold (const FrontRequest *request, int64_t now_ms)
{
  const Front *front = request->front;

  return front_is_contended (front) && is_for_model (request) && !request->head_sent
         && request->call.handed_off_attempts < 0 && front->stop_requested_ms == 0
         && front->holding.count < HOLD_MAX && !request_is_quarantined (request, now_ms);
}

static void
add (FrontHolding *holding, FrontRequest *request)
{
  FrontRequest *other;

  request->turn = turn_of (request);
  cds_list_for_each_entry_reverse (other, &holding->requests, held_node)
  {
    if (!front_hold_is_before (&request->turn, &other->turn))
      break;
  }
  cds_list_add (&request->held_node, &other->held_node);
  request->is_held = true;
  holding->count++;
}

void
request_stop_hold (FrontRequest *request)
{
  if (!request->is_held)
    return;
  cds_list_del (&request->held_node);
  request->is_held = false;
  request->front->holding.count--;
}

/* Moves those forward that have become pressed. */
static void
raise_pressed (FrontHolding *holding, int64_t now_ms)
{
  FrontRequest *request, *next;

  cds_list_for_each_entry_safe (request, next, &holding->requests, held_node)
  {
    if (request->is_pressed
        || !front_urgency_is_pressed (now_ms - request->arrived_ms, request->end_ms - now_ms))
      continue;
    request->is_pressed = true;
    request_raise_rank (request, now_ms);
    request_stop_hold (request);
    add (holding, request);
  }
}

static void
log_hold (const FrontRequest *request, const HoldRequest *hold, int64_t now_ms)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_HOLD);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "service", request->service);
  front_log_number (line, "turned_away", request->turned_away);
  front_log_number (line, "attempts", request->attempts);
  front_log_number (line, "rank", request->rank);
  front_log_number (line, "held", request->front->holding.count);
  front_log_number (line, "wait_ms", (int64_t)hold->wait_ms);
  front_log_number (line, "longest_ms", request->held_end_ms - now_ms);
  front_log_end (line);
}

/* False if too little of its caller's time is left. */
static bool
hold (FrontRequest *request, int64_t due_ms, int64_t now_ms)
{
  const HoldRequest held = hold_of (request, now_ms);
  int64_t longest_ms = front_hold_longest_ms (&held);

  if (longest_ms == 0)
    return false;
  request->held_end_ms = now_ms + longest_ms;
  request->held_due_ms = due_ms;
  if (cds_list_empty (&request->front->holding.requests))
    arm (request->front, TICK_MS);
  add (&request->front->holding, request);
  log_hold (request, &held, now_ms);
  front_counter_add (FRONT_COUNTER_HELD);
  request_arm_timer (request);
  return true;
}

/* Going back to a server uses up no further attempt: the number of servers is bounded. */
static void
forget_return (FrontRequest *request)
{
  for (unsigned i = 0; i + 1 < request->tried_count; i++)
    {
      if (request->tried[i] != request->tried[request->tried_count - 1])
        continue;
      request->tried_count--;
      request->attempts--;
      return;
    }
}

bool
request_hold_turned_away (FrontRequest *request)
{
  int64_t now_ms = clock_boot_ms ();
  int64_t due_ms;

  if (!front_is_contended (request->front) || !is_for_model (request))
    return false;
  front_hold_turned_away (pace_of (request), now_ms);
  if (!may_hold (request, now_ms) || request->may_have_run)
    return false;
  request->turned_away++;
  due_ms = now_ms + front_hold_again_ms (request->turned_away, random_spread ());
  request_drop_attempt (request);
  forget_return (request);
  if (!hold (request, due_ms, now_ms))
    request_end_hold (request);
  return true;
}

bool
request_hold_arrival (FrontRequest *request)
{
  int64_t now_ms = clock_boot_ms ();
  HoldPace *pace;

  if (request->is_let_out || request->attempts > 0 || !may_hold (request, now_ms))
    return false;
  pace = pace_of (request);
  if (front_hold_gap_ms (pace, now_ms) <= 0)
    return false;
  if (front_hold_is_due (pace, now_ms) && count_before (request) == 0)
    {
      front_hold_sent (pace, now_ms);
      return false;
    }
  if (need_ms (request) >= (double)(request->end_ms - now_ms))
    return false;
  if (!hold (request, now_ms, now_ms))
    request_end_hold (request);
  return true;
}

void
request_end_hold (FrontRequest *request)
{
  HoldRequest held = hold_of (request, clock_boot_ms ());

  request_stop_hold (request);
  front_counter_add (FRONT_COUNTER_HELD_REFUSED);
  request_give_up (request, "no_room_in_time", front_hold_retry_after_ms (&held, random_spread ()));
}

void
request_hold_begun (const FrontRequest *request, int64_t now_ms)
{
  if (request->is_ordered)
    front_hold_taken (pace_of (request), now_ms);
}

void
request_hold_ended (const FrontRequest *request, bool is_whole, int64_t now_ms)
{
  HoldNeed *need;

  if (!request->attempt || !request->is_ordered)
    return;
  need = front_holding_need (&request->front->holding, request->route->hash);
  if (need)
    front_hold_need_add (need, (double)(now_ms - request->attempt_ms), is_whole);
}

static bool
was_tried (const FrontRequest *request, uint64_t server)
{
  for (unsigned i = 0; i < request->tried_count; i++)
    {
      if (request->tried[i] == server)
        return true;
    }
  return false;
}

static bool
may_go_to (const FrontRequest *request, uint64_t server)
{
  return request->attempts < request->route->attempts_max || was_tried (request, server);
}

/* The next of the servers that turned it away, of which some may have gone since. */
static void
choose_return (FrontRequest *request)
{
  for (unsigned i = 0; i < request->tried_count; i++)
    {
      request->return_to = request->tried[(request->turned_away + i) % request->tried_count];
      if (request_has_server (request))
        return;
    }
}

/* Sends the request to a server that is chosen as for any other, or back to one that turned it away
 * if it may go to no further one. */
static void
let_out (FrontRequest *request)
{
  request->is_let_out = true;
  request->return_to = request->held_to;
  request->held_to = 0;
  if (request->return_to && !request_has_server (request))
    request->return_to = 0;
  if (!request->return_to && request->attempts >= request->route->attempts_max)
    choose_return (request);
  request_stop_hold (request);
  request_send (request);
}

/* The first that goes out now; NULL: none. */
static FrontRequest *
next_due (Front *front, int64_t now_ms)
{
  FrontRequest *request;

  cds_list_for_each_entry (request, &front->holding.requests, held_node)
  {
    HoldPace *pace = pace_of (request);

    if (!request->held_to && (request->held_due_ms > now_ms || !front_hold_is_due (pace, now_ms)))
      continue;
    if (request->attempts > 0
        && !front_budget_take (front->budget, request->service, BUDGET_RETRY, now_ms))
      {
        request->held_due_ms = now_ms + NO_BUDGET_MS;
        request->held_to = 0;
        continue;
      }
    if (!request->held_to)
      front_hold_sent (pace, now_ms);
    return request;
  }
  return NULL;
}

/* Those that may not go out any more. */
static void
refuse_barred (Front *front, int64_t now_ms)
{
  bool is_stopping = front->stop_requested_ms != 0;
  FrontRequest *request, *next;

  cds_list_for_each_entry_safe (request, next, &front->holding.requests, held_node)
  {
    if (!is_stopping && !request_is_quarantined (request, now_ms))
      continue;
    front_counter_add (FRONT_COUNTER_HELD_REFUSED);
    request_give_up (request, is_stopping ? "stopping" : "quarantined", 0);
  }
}

static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Front *front = user;
  FrontHolding *holding = &front->holding;
  int64_t now_ms = clock_boot_ms ();
  FrontRequest *request;

  refuse_barred (front, now_ms);
  raise_pressed (holding, now_ms);
  for (unsigned i = 0; i < WALK_SENDS_MAX && (request = next_due (front, now_ms)); i++)
    let_out (request);
  if (!cds_list_empty (&holding->requests))
    arm (front, TICK_MS);
}

void
front_holding_room_freed (Front *front, uint64_t server, int64_t now_ms UNUSED)
{
  FrontRequest *request;

  cds_list_for_each_entry (request, &front->holding.requests, held_node)
  {
    if (request->held_to || !may_go_to (request, server))
      continue;
    request->held_to = server;
    arm (front, 0);
    return;
  }
}
