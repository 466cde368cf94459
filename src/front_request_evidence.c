/* Counts, during a roll-out, what a request's attempts show of its version. */
#include "front_pace.h"
#include "front_request_private.h"
#include "util_clock.h"
#include <string.h>

/* Share of an objective by which callers don't notice a delay. Idle servers of a new version differ
 * from the prediction by tens of milliseconds, a multiple of what a short prompt takes. */
#define UNNOTICED_SHARE 0.05

/* False for a version that was replaced or rolled back before: its failures would make the new one
 * look good. */
static bool
evidence_side (const FrontRequest *request, const FrontRollout *rollout, EvidenceSide *side)
{
  *side = strcmp (request->version, rollout->order.target) == 0 ? EVIDENCE_NEW : EVIDENCE_OLD;
  return *side == EVIDENCE_NEW || strcmp (request->version, rollout->base) == 0;
}

static void
add_reading (const FrontRequest *request, FrontRollout *rollout, EvidenceSide side, int64_t now_ms)
{
  double all_else_ms = request->predicted_ms - request->prompt_ms;
  EvidenceReading reading = {
    .side = side,
    .server = request->server->hash,
    .read_ms = (double)(now_ms - request->attempt_ms) - all_else_ms,
    .predicted_ms = request->prompt_ms,
  };

  front_evidence_add_reading (&rollout->evidence, &reading);
}

void
request_add_evidence (FrontRequest *request, bool failed, int64_t now_ms)
{
  FrontRollout *rollout = front_rollouts_get (request->front->rollouts, request->service);
  EvidenceAnswer answer = {
    .route = request->route->hash,
    .server = request->server->hash,
    .failed = failed,
    .loaded = request->loaded,
    .first_ms = (double)(now_ms - request->attempt_ms),
    .predicted_ms = request->predicted_ms + UNNOTICED_SHARE * (double)request->route->objective_ms,
  };

  if (request->counted || !front_rollout_is_running (rollout)
      || !evidence_side (request, rollout, &answer.side)
      || (failed && request->failed_version == request->version_hash
          && request->failed_model == request->model))
    return;
  request->counted = true;
  if (failed)
    {
      request->failed_version = request->version_hash;
      request->failed_model = request->model;
    }
  front_evidence_add (&rollout->evidence, &answer);
  if (!failed && front_rollout_is_first_half (rollout, now_ms))
    add_reading (request, rollout, answer.side, now_ms);
}

void
request_count_unanswered (FrontRequest *request)
{
  int64_t now_ms = clock_boot_ms ();

  if (request->server && front_attempt_is_sent (request->attempt) && !request->relaying
      && (double)(now_ms - request->attempt_ms) > request->predicted_ms)
    request_add_evidence (request, false, now_ms);
}

/* Servers of a new version are loaded less than those of the old one as long as few sessions begin
 * there, so that a slower pace is not for their load. Later it may be. */
void
request_add_pace (FrontRequest *request, int64_t now_ms)
{
  double gap_ms;
  FrontRollout *rollout;
  EvidencePace pace;

  if (!request->server
      || !pace_stream_add (&request->stream, request->events.forwarded, now_ms, &gap_ms))
    return;
  rollout = front_rollouts_get (request->front->rollouts, request->service);
  if (!front_rollout_is_running (rollout) || !front_rollout_is_first_half (rollout, now_ms))
    return;
  pace = (EvidencePace){ .server = request->server->hash, .gap_ms = gap_ms };
  if (!evidence_side (request, rollout, &pace.side))
    return;
  if (pace.side == EVIDENCE_OLD)
    front_pace_learn (&rollout->pace, gap_ms);
  pace.usual_ms = front_pace_usual_ms (&rollout->pace);
  if (pace.usual_ms > 0)
    front_evidence_add_pace (&rollout->evidence, &pace);
}
