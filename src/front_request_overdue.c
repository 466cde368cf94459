/* Measures how long plain services take to answer, also by answers that are missing: a server that
 * hangs would otherwise look as it did before. */
#include "front_request_private.h"
#include "util_clock.h"

/* An answer is overdue after this multiple of what is usual, and again each time that twice as much
 * has passed. */
#define OVERDUE_FACTOR 3.0

static double
typical_ms (const FrontRequest *request)
{
  return front_answer_times_typical_ms (&request->front->answer_times,
                                        request_service_hash (request));
}

/* Answers of model services depend on the prompt; their times are learned in front_speeds. */
static bool
is_measured (const FrontRequest *request)
{
  return request->route->kind != ROUTE_STREAM && !request->is_handed_off
         && front_is_contended (request->front);
}

int64_t
request_overdue_ms (const FrontRequest *request)
{
  double usual_ms;

  if (!is_measured (request) || request->relaying || !front_attempt_is_sent (request->attempt))
    return INT64_MAX;
  usual_ms = typical_ms (request);
  if (usual_ms <= 0)
    return INT64_MAX;
  return request->attempt_ms
         + (int64_t)(usual_ms * OVERDUE_FACTOR * (double)(1U << request->overdue_count)) + 1;
}

void
request_record_overdue (FrontRequest *request, int64_t now_ms)
{
  if (now_ms < request_overdue_ms (request))
    return;
  request->overdue_count++;
  answer_time_add_missing (&request->server->answer_time, typical_ms (request),
                           (double)(now_ms - request->attempt_ms), now_ms);
}

void
request_record_answer_time (FrontRequest *request, int64_t now_ms)
{
  if (is_measured (request))
    front_answer_times_add (&request->front->answer_times, request_service_hash (request),
                            &request->server->answer_time, (double)(now_ms - request->attempt_ms),
                            now_ms);
}
