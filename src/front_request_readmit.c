/* Requests that wait here to go back to a full server that turned them away, as they may go to no
 * further one: until another request of this front ends there, or for a while. */
#include "front_budget.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_readmit.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_unused.h"

/* Milliseconds after which the list is walked again: one request goes back to each server. */
#define TICK_MS   20
#define US_PER_MS 1000L
/* Requests that are looked at in one walk. */
#define WALK_MAX 128

static void on_timer (evutil_socket_t fd, short what, void *user);

void
front_returning_init (FrontReturning *returning)
{
  CDS_INIT_LIST_HEAD (&returning->requests);
  returning->timer = NULL;
}

void
front_returning_clear (FrontReturning *returning)
{
  if (returning->timer)
    event_free (returning->timer);
  returning->timer = NULL;
}

static void
arm (Front *front, int64_t wait_ms)
{
  const struct timeval wait = { .tv_usec = wait_ms * US_PER_MS };

  if (!front->returning.timer)
    front->returning.timer = evtimer_new (front->base, on_timer, front);
  evtimer_add (front->returning.timer, &wait);
}

/* More urgent requests come first, then those that came first. */
static void
add (FrontReturning *returning, FrontRequest *request)
{
  FrontRequest *other;

  cds_list_for_each_entry_reverse (other, &returning->requests, returning_node)
  {
    if (other->rank <= request->rank)
      break;
  }
  cds_list_add (&request->returning_node, &other->returning_node);
  request->is_returning = true;
}

void
request_stop_returning (FrontRequest *request)
{
  if (!request->is_returning)
    return;
  cds_list_del (&request->returning_node);
  request->is_returning = false;
}

/* Marks those that are sent now. */
static void
mark_next (FrontReturning *returning, int64_t now_ms)
{
  ReadmitWaiting list[WALK_MAX];
  FrontRequest *request;
  unsigned place = 0;

  cds_list_for_each_entry (request, &returning->requests, returning_node)
  {
    if (place == WALK_MAX)
      return;
    list[place] = (ReadmitWaiting){ .server = request->return_to, .due_ms = request->return_ms };
    request->return_now = front_readmit_is_next (list, place, now_ms);
    place++;
  }
}

static FrontRequest *
first_marked (FrontReturning *returning)
{
  FrontRequest *request;

  cds_list_for_each_entry (request, &returning->requests, returning_node)
  {
    if (request->return_now)
      return request;
  }
  return NULL;
}

static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Front *front = user;
  FrontRequest *request;

  mark_next (&front->returning, clock_boot_ms ());
  while ((request = first_marked (&front->returning)))
    {
      request->return_now = false;
      request_stop_returning (request);
      request_send (request);
    }
  if (!cds_list_empty (&front->returning.requests))
    arm (front, TICK_MS);
}

void
front_returning_room_freed (Front *front, uint64_t server, int64_t now_ms)
{
  FrontRequest *request;

  cds_list_for_each_entry (request, &front->returning.requests, returning_node)
  {
    if (request->return_to != server || request->return_ms <= now_ms)
      continue;
    request->return_ms = now_ms;
    arm (front, 0);
    return;
  }
}

static bool
may_return (const FrontRequest *request, int64_t now_ms)
{
  return front_is_contended (request->front) && !request->head_sent
         && request->attempts >= request->route->attempts_max
         && !request_is_quarantined (request, now_ms);
}

static int64_t
wait_ms_of (const FrontRequest *request, int64_t now_ms)
{
  const ReadmitRequest readmit = {
    .may_have_run = request->may_have_run,
    .returns = request->returns,
    .left_ms = request->end_ms - now_ms,
    .waited_ms = request->turned_away_ms ? now_ms - request->turned_away_ms : 0,
    .spread = (double)id_random_u64 () / (double)UINT64_MAX,
  };

  return may_return (request, now_ms) ? front_readmit_wait_ms (&readmit) : 0;
}

static unsigned
count_before (const FrontRequest *request)
{
  const FrontRequest *other;
  unsigned count = 0;

  cds_list_for_each_entry (other, &request->front->returning.requests, returning_node)
  {
    count += other->return_to == request->server->hash && other->rank <= request->rank;
  }
  return count;
}

static void
log_return (const FrontRequest *request, int64_t wait_ms)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_RETURN);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "server", request->server->entry.id);
  front_log_number (line, "returns", request->returns);
  front_log_number (line, "wait_ms", wait_ms);
  front_log_number (line, "rank", request->rank);
  front_log_number (line, "before", count_before (request));
  front_log_end (line);
}

void
request_handle_full (FrontRequest *request)
{
  int64_t now_ms = clock_boot_ms ();
  int64_t wait_ms;

  if (request_hedge_go_on (request, "server_full", false))
    return;
  if (request_hold_turned_away (request))
    return;
  wait_ms = wait_ms_of (request, now_ms);
  if (wait_ms == 0
      || !front_budget_take (request->front->budget, request->service, BUDGET_RETRY, now_ms))
    {
      request_retry (request, "server_full", false);
      return;
    }
  log_return (request, wait_ms);
  if (request->turned_away_ms == 0)
    request->turned_away_ms = now_ms;
  request->return_to = request->server->hash;
  request->return_ms = now_ms + wait_ms;
  request->returns++;
  request_drop_attempt (request);
  if (cds_list_empty (&request->front->returning.requests))
    arm (request->front, TICK_MS);
  add (&request->front->returning, request);
  front_counter_add (FRONT_COUNTER_RETURNS);
  request_arm_timer (request);
}
