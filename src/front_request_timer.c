/* When a request has waited for long enough: for a connection, for an answer, for its caller. */
#include "front_request_private.h"
#include "util_clock.h"
#include "util_unused.h"
#include <math.h>

/* A resumable stream continues elsewhere after a silence of this many allowed pauses
 * (FrontRoute.gap_ms): twice what is still on time, and far below the eight after which callers
 * leave. */
#define SILENCE_PAUSES 2
/* An idempotent request is sent elsewhere when its answer has not begun within this share of its
 * objective, or within this many times the predicted time if that is longer. */
#define FIRST_BYTE_SHARE  0.6
#define FIRST_BYTE_FACTOR 4.0
#define MS_PER_S          1000
#define US_PER_MS         1000

static void on_timer (evutil_socket_t fd, short what, void *user);

/* When the current attempt is given up for its silence, or the request waits for room no longer.
 * INT64_MAX: never before end_ms. */
static int64_t
silence_due_ms (const FrontRequest *request)
{
  const FrontRoute *route = request->route;
  double first_ms = fmax ((double)route->objective_ms * FIRST_BYTE_SHARE,
                          request->predicted_ms * FIRST_BYTE_FACTOR)
                    + request->belief.ms;

  if (request->is_waiting)
    return request->wait_end_ms;
  if (request->is_held)
    return request->held_end_ms;
  if (!request->attempt)
    return INT64_MAX;
  if (!front_attempt_is_sent (request->attempt))
    return request->sent_ms + FRONT_CONNECT_TIMEOUT_MS;
  /* The other front watches its servers itself. */
  if (request->is_handed_off)
    return INT64_MAX;
  /* A request that may run only once is not sent again, so giving up the attempt would gain
   * nothing. */
  if (!front_route_is_idempotent (route) || request->attempts >= route->attempts_max)
    return INT64_MAX;
  if (request->relaying)
    return route->kind == ROUTE_STREAM ? request->event_ms + SILENCE_PAUSES * route->gap_ms
                                       : INT64_MAX;
  return request->checked_ms + (int64_t)first_ms;
}

static int64_t
next_due_ms (const FrontRequest *request)
{
  int64_t silence_ms = silence_due_ms (request);
  int64_t overdue_ms = request->attempt ? request_overdue_ms (request) : INT64_MAX;

  return overdue_ms < silence_ms ? overdue_ms : silence_ms;
}

void
request_arm_timer (FrontRequest *request)
{
  int64_t due_ms = next_due_ms (request);
  int64_t wait_ms = (due_ms < request->end_ms ? due_ms : request->end_ms) - clock_boot_ms ();
  struct timeval wait;

  if (wait_ms < 1)
    wait_ms = 1;
  wait
      = (struct timeval){ .tv_sec = wait_ms / MS_PER_S, .tv_usec = wait_ms % MS_PER_S * US_PER_MS };
  if (!request->timer)
    request->timer = evtimer_new (request->front->base, on_timer, request);
  evtimer_add (request->timer, &wait);
}

/* A caller whose answer waited for memory to the end doesn't get to ask for another one on the same
 * connection. */
static void
end_connection_if_waiting (FrontRequest *request)
{
  if (request->attempt && front_attempt_is_waiting (request->attempt))
    front_conn_request_parser (request->conn)->keep_alive = false;
}

static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  FrontRequest *request = user;
  int64_t now_ms = clock_boot_ms ();
  bool sent = request->attempt && front_attempt_is_sent (request->attempt);

  if (request->is_waiting && now_ms >= silence_due_ms (request))
    request_end_wait (request);
  else if (request->is_held && now_ms >= request->held_end_ms)
    request_end_hold (request);
  else if (now_ms >= request->end_ms)
    {
      request->may_have_run |= sent || request_hedge_other_is_sent (request);
      request_count_unanswered (request);
      request_hold_ended (request, false, now_ms);
      end_connection_if_waiting (request);
      request_drop_attempt (request);
      request_give_up (request, "timeout", 0);
    }
  else if (now_ms < silence_due_ms (request))
    {
      if (request->attempt)
        request_record_overdue (request, now_ms);
      request_arm_timer (request);
    }
  else if (!sent && request->is_handed_off)
    request_handle_front_unreachable (request);
  else if (!sent)
    request_handle_unreachable (request, "connect_timeout");
  else
    request_handle_silence (request);
}
