/* Measures by how much answers begin later than predicted from known work. */
#include "front_counter.h"
#include "front_request_private.h"
#include "util_clock.h"

static bool
is_measured (const FrontRequest *request)
{
  return request->is_ordered && request->server;
}

static WaitSample
sample_of (const FrontRequest *request, int64_t now_ms)
{
  return (WaitSample){
    .server = request->server->hash,
    .service = request_service_hash (request),
    .rank = request_wait_rank (request),
    .request = request->wait_key,
    .wait_ms = (double)(now_ms - request->attempt_ms) - request->predicted_ms,
  };
}

/* Compares the measured time with all that was predicted, the belief included. */
static void
count_ratio (const FrontRequest *request, int64_t now_ms)
{
  double measured_ms = (double)(now_ms - request->attempt_ms);
  double predicted_ms = request->predicted_ms + request->belief.ms;

  if (measured_ms * 2 < predicted_ms)
    front_counter_add (FRONT_COUNTER_FIRST_EARLY);
  else if (measured_ms > predicted_ms * 2)
    front_counter_add (FRONT_COUNTER_FIRST_LATE);
  else
    front_counter_add (FRONT_COUNTER_FIRST_PREDICTED);
}

unsigned
request_wait_rank (const FrontRequest *request)
{
  return front_waits_rank (request->rank);
}

void
request_wait_begun (const FrontRequest *request, int64_t now_ms)
{
  WaitSample sample;

  if (!is_measured (request))
    return;
  sample = sample_of (request, now_ms);
  front_waits_add (request->front->waits, &sample, now_ms);
  count_ratio (request, now_ms);
}

void
request_wait_full (const FrontRequest *request, int64_t now_ms)
{
  WaitSample sample;

  if (!is_measured (request))
    return;
  sample = sample_of (request, now_ms);
  front_waits_full (request->front->waits, &sample, now_ms);
}

bool
request_wait_is_believed (const FrontRequest *request, int64_t now_ms)
{
  const FrontWaits *waits = request->front->waits;
  unsigned rank = request_wait_rank (request);
  WaitBelief belief;

  if (!is_measured (request))
    return false;
  belief = front_waits_general (waits, request_service_hash (request), rank, now_ms);
  belief = front_waits_of (waits, request->server->hash, rank, &belief, now_ms);
  return belief.ms >= WAITS_MIN_MS / 2.0;
}

/* An attempt whose connection is not open says nothing of the server's queue. */
static bool
is_silent (const FrontRequest *request)
{
  return request->attempt && is_measured (request) && !request->relaying && !request->is_handed_off
         && front_attempt_is_sent (request->attempt);
}

void
front_requests_note_silent (Front *front, int64_t now_ms)
{
  FrontRequest *request;

  if (!front_is_contended (front))
    return;
  cds_list_for_each_entry (request, &front->requests, node)
  {
    WaitSample sample;

    if (!is_silent (request))
      continue;
    sample = sample_of (request, now_ms);
    sample.is_bound = true;
    if (sample.wait_ms >= WAITS_MIN_MS)
      front_waits_add (front->waits, &sample, now_ms);
  }
}
