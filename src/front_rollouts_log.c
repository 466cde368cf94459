#include "front_log.h"
#include "front_rollouts.h"

#define LOG_INTERVAL_MS 1000
#define PER_MILLE       1000
/* Class of delay that begins at twice the prediction. */
#define LATE_CLASS (EVIDENCE_ON_TIME + 2)

static void
log_evidence (FrontRollout *rollout, int64_t now_ms)
{
  FrontEvidence all = front_rollout_all_evidence (rollout);
  EvidenceCount new_count = front_evidence_total (&all, EVIDENCE_NEW);
  EvidenceCount old_count = front_evidence_total (&all, EVIDENCE_OLD);
  EvidenceLoaded loaded = front_evidence_loaded (&all);
  FrontLine *line = front_log_begin (FRONT_EVENT_ROLLOUT_EVIDENCE);

  front_log_text (line, "service", rollout->service);
  front_log_number (line, "share", (int64_t)(front_rollout_share (rollout, now_ms) * PER_MILLE));
  front_log_number (line, "new", new_count.answers);
  front_log_number (line, "new_failed", new_count.failed);
  front_log_number (line, "new_late", evidence_count_late (&new_count, LATE_CLASS));
  front_log_number (line, "loaded", loaded.answers);
  front_log_number (line, "loaded_failed", loaded.failed);
  front_log_number (line, "old", old_count.answers);
  front_log_number (line, "old_failed", old_count.failed);
  front_log_number (line, "old_late", evidence_count_late (&old_count, LATE_CLASS));
  front_log_number (line, "is_bad", rollout->is_bad);
  front_log_text (line, "found", evidence_verdict_name (rollout->finding.verdict));
  front_log_number (line, "route", rollout->finding.route);
  front_log_number (line, "delay", rollout->finding.delay);
  front_log_end (line);
}

void
front_rollouts_log_evidence (FrontRollouts *rollouts, int64_t now_ms)
{
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, front_rollouts_list (rollouts), node)
  {
    bool is_new_verdict = rollout->is_bad && !rollout->logged_bad;

    if (!front_rollout_is_running (rollout)
        || (!is_new_verdict && now_ms - rollout->logged_ms < LOG_INTERVAL_MS))
      continue;
    rollout->logged_ms = now_ms;
    rollout->logged_bad = rollout->is_bad;
    log_evidence (rollout, now_ms);
  }
}
