#include "steward_evidence.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INTERVAL_MIN_MS 2000
/* A row has at most about 1,100 bytes. At this interval all members together write 6.7 rows per
   second, which the holder reads: 7.3 KB/s of its limit of 14 KB/s. */
#define INTERVAL_PER_MEMBER_MS 150

void
steward_evidence_init (StewardEvidence *e)
{
  *e = (StewardEvidence){ .rollouts = memory_array (EVIDENCE_ROLLOUTS_MAX, sizeof *e->rollouts) };
  pthread_mutex_init (&e->lock, NULL);
}

void
steward_evidence_clear (StewardEvidence *e)
{
  free (e->rollouts);
  pthread_mutex_destroy (&e->lock);
}

int64_t
steward_evidence_interval_ms (size_t members)
{
  int64_t min_ms = (int64_t)members * INTERVAL_PER_MEMBER_MS;

  return min_ms > INTERVAL_MIN_MS ? min_ms : INTERVAL_MIN_MS;
}

static void
copy_name (char out[CONFIG_NAME_MAX + 1], const char *name)
{
  snprintf (out, CONFIG_NAME_MAX + 1, "%s", name == NULL ? "" : name);
}

static EvidenceRollout *
find_rollout (const EvidenceRollout *rollouts, size_t count, const char *model)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (rollouts[i].model, model) == 0)
      return (EvidenceRollout *)&rollouts[i];
  return NULL;
}

/* Keeps the totals unless the roll-out is a new one or went back to an earlier stage. */
static void
fill_rollout (const StewardEvidence *e,
              const Config *config,
              const ConfigRollout *from,
              EvidenceRollout *out)
{
  const char *model = config->models[from->model].name;
  const EvidenceRollout *before = find_rollout (e->rollouts, e->count, model);

  *out = (EvidenceRollout){ .stage = from->stage,
                            .since = config->number,
                            .closed_number = e->number };
  copy_name (out->model, model);
  copy_name (out->from, config->versions[from->from].name);
  copy_name (out->to, config->versions[from->to].name);
  if (before == NULL || strcmp (before->from, out->from) != 0 || strcmp (before->to, out->to) != 0
      || before->stage > from->stage)
    return;
  *out = *before;
  out->stage = from->stage;
}

void
steward_evidence_apply_config (StewardEvidence *e, const Config *config)
{
  EvidenceRollout *next = memory_array (EVIDENCE_ROLLOUTS_MAX, sizeof *next);
  size_t count = 0;

  pthread_mutex_lock (&e->lock);
  for (size_t i = 0; i < config->rollout_count && count < EVIDENCE_ROLLOUTS_MAX; i++)
    {
      const ConfigRollout *rollout = &config->rollouts[i];
      if (rollout->state == ROLLOUT_RUNNING || rollout->state == ROLLOUT_PAUSED)
        fill_rollout (e, config, rollout, &next[count++]);
    }
  free (e->rollouts);
  e->rollouts = next;
  e->count = count;
  e->number = config->number;
  e->changed = true;
  pthread_mutex_unlock (&e->lock);
}

/* The sums of a team. A team that has none yet gets unused ones; if all are in use, it is added to
   the sums of all other teams. */
static EvidenceSums *
team_sums (EvidenceRollout *r, EvidenceSide side, const char *team)
{
  for (size_t i = 0; i < r->counts[side]; i++)
    if (strcmp (r->sums[side][i].team, team) == 0)
      return &r->sums[side][i];
  if (*team == '\0' || r->counts[side] == EVIDENCE_TEAMS_MAX)
    return &r->sums[side][EVIDENCE_TEAMS_MAX];
  EvidenceSums *sums = &r->sums[side][r->counts[side]++];
  copy_name (sums->team, team);
  return sums;
}

static void
add_report (EvidenceSums *sums, const rpc_evidence *report)
{
  sums->answers += report->answers;
  sums->errors += report->errors;
  sums->slow += report->slow;
  sums->rated += report->rated;
  sums->callers += report->callers;
  sums->rating_sum += report->rating_sum;
  sums->rating_square_sum += report->rating_square_sum;
}

void
steward_evidence_add (StewardEvidence *e, const rpc_evidence *reports, size_t count)
{
  pthread_mutex_lock (&e->lock);
  for (size_t i = 0; i < count; i++)
    {
      EvidenceRollout *r = find_rollout (e->rollouts, e->count, reports[i].model_name);
      bool old = r != NULL && strcmp (reports[i].version_name, r->from) == 0;
      bool new = r != NULL &&strcmp (reports[i].version_name, r->to) == 0;
      if (!old && !new)
        continue;
      add_report (team_sums (r, old ? EVIDENCE_OLD : EVIDENCE_NEW, reports[i].team), &reports[i]);
      e->changed = true;
    }
  pthread_mutex_unlock (&e->lock);
}

size_t
steward_evidence_copy (StewardEvidence *e, EvidenceRollout *out)
{
  size_t count;

  pthread_mutex_lock (&e->lock);
  count = e->count;
  memcpy (out, e->rollouts, count * sizeof *out);
  pthread_mutex_unlock (&e->lock);
  return count;
}

bool
steward_evidence_changed (StewardEvidence *e)
{
  bool changed;

  pthread_mutex_lock (&e->lock);
  changed = e->changed;
  e->changed = false;
  pthread_mutex_unlock (&e->lock);
  return changed;
}
