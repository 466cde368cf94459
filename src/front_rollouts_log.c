#include "front_log.h"
#include "front_rollouts.h"

#define LOG_INTERVAL_MS 1000
#define PER_MILLE       1000

static void
log_evidence (FrontRollout *rollout, int64_t now_ms)
{
  FrontEvidence all = front_rollout_all_evidence (rollout);
  EvidenceCount new_count = front_evidence_total (&all, EVIDENCE_NEW);
  EvidenceCount old_count = front_evidence_total (&all, EVIDENCE_OLD);
  FrontLine *line = front_log_begin (FRONT_EVENT_ROLLOUT_EVIDENCE);

  front_log_text (line, "service", rollout->service);
  front_log_number (line, "share", (int64_t)(front_rollout_share (rollout, now_ms) * PER_MILLE));
  front_log_number (line, "new", new_count.answers);
  front_log_number (line, "new_failed", new_count.failed);
  front_log_number (line, "new_slow", new_count.slow);
  front_log_number (line, "old", old_count.answers);
  front_log_number (line, "old_failed", old_count.failed);
  front_log_number (line, "old_slow", old_count.slow);
  front_log_number (line, "is_bad", rollout->is_bad);
  front_log_end (line);
}

void
front_rollouts_log_evidence (FrontRollouts *rollouts, int64_t now_ms)
{
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, front_rollouts_list (rollouts), node)
  {
    if (!front_rollout_is_running (rollout) || now_ms - rollout->logged_ms < LOG_INTERVAL_MS)
      continue;
    rollout->logged_ms = now_ms;
    log_evidence (rollout, now_ms);
  }
}
