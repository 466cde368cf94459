/* Refuses requests that are predicted to begin only after their callers have left. */
#include "front_admission.h"
#include "front_budget.h"
#include "front_counter.h"
#include "front_log.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "util_id.h"

static void
log_refusal (const FrontRequest *request, const PickAnswer *pick, const AdmissionRequest *admission)
{
  FrontLine *line = front_log_begin (FRONT_EVENT_HOPELESS);

  front_log_span (line, "request", request->call.id);
  front_log_text (line, "service", request->service);
  front_log_text (line, "server", pick->server->entry.id);
  front_log_number (line, "predicted_ms", (int64_t)admission->begin_ms);
  front_log_number (line, "prompt_ms", (int64_t)pick->prompt_ms);
  front_log_number (line, "left_ms", admission->left_ms);
  front_log_number (line, "rank", admission->rank);
  front_log_number (line, "behind", request->is_behind);
  front_log_end (line);
}

bool
request_refuse_hopeless (FrontRequest *request, const PickAnswer *pick, double begin_ms)
{
  int64_t now_ms = clock_boot_ms ();
  const AdmissionRequest admission = {
    .begin_ms = begin_ms,
    .left_ms = request->end_ms - now_ms,
    .rank = request->rank,
    .spread = (double)id_random_u64 () / (double)UINT64_MAX,
  };
  int64_t wait_ms;

  if (!front_is_contended (request->front) || request->attempts > 0 || request->head_sent)
    return false;
  wait_ms = front_admission_refuse_ms (&admission);
  if (wait_ms == 0)
    return false;
  log_refusal (request, pick, &admission);
  front_counter_add (FRONT_COUNTER_HOPELESS);
  front_budget_count_refusal (request->front->budget, request->service, now_ms);
  request_refuse (request, HTTP_STATUS_SERVICE_UNAVAILABLE, "no_room_in_time", wait_ms);
  return true;
}
