/* Evaluates a new version by the answers counted at all fronts.
 *
 * Fronts of one failure domain send each other their own counts, and each sums up those of its
 * domain. The sums are relayed over all domains, so a message carries a few sums instead of the
 * counts of hundreds of fronts. A sum may lack counts but never holds any twice, and counts only
 * grow, so the larger of two sums of one domain is the better one. */
#include "front_rollouts.h"
#include "util_memory.h"
#include <string.h>

/* Milliseconds before the end of the roll-out's duration from which success is reported at the
 * latest: the write must be accepted before the end. */
#define DEADLINE_MARGIN_MS 2000
/* Milliseconds. Requests on the old version that were last reported so long ago have ended, or
 * their front is dead or disconnected and must not delay the roll-out. A report of a running one is
 * at most four rounds of messages old. */
#define OLD_IDLE_MS 1600
#define ANSWERS_MIN 20 /* of the new version, without which success is not reported early */

static RolloutPeer *
peer_get (FrontRollout *rollout, uint64_t incarnation)
{
  RolloutPeer *peer;

  for (unsigned i = 0; i < rollout->peer_count; i++)
    {
      if (rollout->peers[i].incarnation == incarnation)
        return &rollout->peers[i];
    }
  if (rollout->peer_count == ROLLOUT_PEERS_MAX)
    return NULL;
  rollout->peers = memory_grow (rollout->peers, rollout->peer_count + 1, sizeof *rollout->peers);
  peer = &rollout->peers[rollout->peer_count++];
  memset (peer, 0, sizeof *peer);
  peer->incarnation = incarnation;
  return peer;
}

static void
domain_merge (FrontRollout *rollout, uint32_t domain, const FrontEvidence *evidence)
{
  unsigned i = 0;

  while (i < rollout->domain_count && rollout->domains[i].domain != domain)
    i++;
  if (i == FRONT_DOMAINS_MAX)
    return;
  if (i == rollout->domain_count)
    rollout->domains[rollout->domain_count++] = (RolloutDomain){ .domain = domain };
  front_evidence_merge (&rollout->domains[i].evidence, evidence);
}

void
front_rollout_merge (FrontRollout *rollout, const RolloutUpdate *update)
{
  RolloutPeer *peer = update->peer ? peer_get (rollout, update->peer) : NULL;

  rollout->is_bad |= update->is_bad;
  if (update->old_busy_ms > rollout->old_busy_ms)
    rollout->old_busy_ms = update->old_busy_ms;
  if (peer)
    front_evidence_merge (&peer->evidence, &update->evidence);
  for (uint32_t i = 0; i < update->domain_count; i++)
    domain_merge (rollout, update->domains[i].domain, &update->domains[i].evidence);
}

void
front_rollout_sum_domain (FrontRollout *rollout)
{
  FrontEvidence sum = rollout->evidence;

  for (unsigned i = 0; i < rollout->peer_count; i++)
    front_evidence_sum (&sum, &rollout->peers[i].evidence);
  domain_merge (rollout, rollout->own_domain, &sum);
}

static bool
is_done (const FrontRollout *rollout, uint32_t answers, int64_t now_ms)
{
  int64_t left_ms = rollout->order.duration_ms - (now_ms - rollout->started_ms);

  if (left_ms <= DEADLINE_MARGIN_MS)
    return answers > 0;
  return front_rollout_share (rollout, now_ms) >= 1 && now_ms - rollout->old_busy_ms >= OLD_IDLE_MS
         && answers >= ANSWERS_MIN;
}

static void
verdict_set (FrontRollout *rollout, FrontRolloutState verdict, int64_t now_ms)
{
  if (rollout->has_verdict && rollout->verdict == verdict)
    return;
  rollout->has_verdict = true;
  rollout->verdict = verdict;
  rollout->verdict_ms = now_ms;
}

FrontEvidence
front_rollout_all_evidence (FrontRollout *rollout)
{
  FrontEvidence all = { 0 };

  front_rollout_sum_domain (rollout);
  for (unsigned i = 0; i < rollout->domain_count; i++)
    front_evidence_sum (&all, &rollout->domains[i].evidence);
  return all;
}

void
front_rollout_update_verdict (FrontRollout *rollout, int64_t now_ms)
{
  FrontEvidence all;
  bool done;

  if (rollout->ordered && !rollout->is_replaced && rollout->state != FRONT_ROLLOUT_RUNNING
      && rollout->status_version == 0)
    verdict_set (rollout, rollout->state, now_ms);
  if (!front_rollout_is_running (rollout))
    return;
  all = front_rollout_all_evidence (rollout);
  done = is_done (rollout, front_evidence_answers (&all, EVIDENCE_NEW), now_ms);
  /* Completing the roll-out stops the old version's servers: with few answers, a version that is
   * not clearly good is not completed. */
  rollout->loaded = front_evidence_loaded (&all);
  rollout->finding = front_evidence_judge (&all, done ? EVIDENCE_DOUBT : EVIDENCE_CERTAIN);
  rollout->is_bad |= rollout->finding.verdict != EVIDENCE_FINE;
  if (rollout->is_bad)
    verdict_set (rollout, FRONT_ROLLOUT_ROLLED_BACK, now_ms);
  else if (done)
    verdict_set (rollout, FRONT_ROLLOUT_COMPLETED, now_ms);
  else if (rollout->status_version == 0)
    verdict_set (rollout, FRONT_ROLLOUT_RUNNING, now_ms);
  else
    rollout->has_verdict = false;
}
