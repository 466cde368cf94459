#include "steward_rollout_set.h"

RolloutWatch *
rollout_set_find (const RolloutSet *set, const EvidenceRollout *rollout)
{
  for (size_t i = 0; i < set->count; i++)
    if (rollout_watch_matches (set->watches[i], rollout))
      return set->watches[i];
  return NULL;
}

static bool
is_wanted (const RolloutWatch *w, const EvidenceRollout *rollouts, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (rollout_watch_matches (w, &rollouts[i]))
      return true;
  return false;
}

static void
drop_ended (RolloutSet *set, const EvidenceRollout *rollouts, size_t count)
{
  size_t kept = 0;

  for (size_t i = 0; i < set->count; i++)
    if (is_wanted (set->watches[i], rollouts, count))
      set->watches[kept++] = set->watches[i];
    else
      rollout_watch_free (set->watches[i]);
  set->count = kept;
}

void
rollout_set_update (RolloutSet *set,
                    const EvidenceRollout *rollouts,
                    size_t count,
                    size_t teams,
                    size_t stewards,
                    int64_t now)
{
  drop_ended (set, rollouts, count);
  for (size_t i = 0; i < count; i++)
    if (rollout_set_find (set, &rollouts[i]) == NULL)
      set->watches[set->count++] = rollout_watch_new (&rollouts[i], teams, stewards, now);
}

void
rollout_set_clear (RolloutSet *set)
{
  drop_ended (set, NULL, 0);
}

bool
rollout_set_add_totals (RolloutSet *set, const char *source, const EvidenceRollout *totals)
{
  RolloutWatch *w = rollout_set_find (set, totals);

  if (w != NULL)
    rollout_watch_add_totals (w, source, totals);
  return w != NULL;
}
