#include "steward_rollout_watch.h"
#include "util_memory.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Room for teams that later configurations add. */
#define TEAMS_SPARE 16

/** The last totals received from one steward. */
typedef struct
{
  char name[WATCH_SOURCE_SIZE];
  EvidenceRollout last;
} Source;

struct RolloutWatch
{
  EvidenceRollout rollout; /**< names and closed_number; the sums are unused */
  RolloutTest *test;
  size_t stage;
  bool stage_begun; /**< a stage of the test has begun */
  char (*teams)[CONFIG_NAME_MAX + 1];
  size_t team_count, team_max;
  Source *sources;
  size_t source_count;
  EvidenceSums *untested[EVIDENCE_SIDES]; /**< evidence not yet fed to the test, by team; the last
                                             is for all other teams */
  int64_t callers;
};

RolloutWatch *
rollout_watch_new (const EvidenceRollout *rollout, size_t teams, size_t stewards, int64_t now)
{
  RolloutSettings settings = rollout_settings_default;
  RolloutWatch *w = memory_alloc (sizeof *w);

  settings.alarm_threshold += log ((double)(stewards > 0 ? stewards : 1));
  w->rollout = *rollout;
  w->team_max = teams + TEAMS_SPARE < ROLLOUT_TEAMS_MAX ? teams + TEAMS_SPARE : ROLLOUT_TEAMS_MAX;
  w->teams = memory_array (w->team_max, sizeof *w->teams);
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    w->untested[side] = memory_array (w->team_max + 1, sizeof *w->untested[side]);
  w->test = rollout_test_new (&settings, w->team_max, now);
  return w;
}

void
rollout_watch_free (RolloutWatch *w)
{
  if (w == NULL)
    return;
  rollout_test_free (w->test);
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    free (w->untested[side]);
  free (w->sources);
  free (w->teams);
  free (w);
}

bool
rollout_watch_matches (const RolloutWatch *w, const EvidenceRollout *rollout)
{
  return strcmp (w->rollout.model, rollout->model) == 0
         && strcmp (w->rollout.from, rollout->from) == 0
         && strcmp (w->rollout.to, rollout->to) == 0;
}

/* Indices are given to teams in the order of their first evidence, and kept. The order of teams in
   the configuration can't be used, since it changes with the configuration. */
static size_t
team_index (RolloutWatch *w, const char *team)
{
  if (*team == '\0')
    return w->team_max;
  for (size_t i = 0; i < w->team_count; i++)
    if (strcmp (w->teams[i], team) == 0)
      return i;
  if (w->team_count == w->team_max)
    return w->team_max;
  snprintf (w->teams[w->team_count], sizeof w->teams[0], "%s", team);
  return w->team_count++;
}

static Source *
source_of (RolloutWatch *w, const char *name)
{
  for (size_t i = 0; i < w->source_count; i++)
    if (strcmp (w->sources[i].name, name) == 0)
      return &w->sources[i];
  w->sources = memory_grow (w->sources, w->source_count + 1, sizeof *w->sources);
  Source *source = &w->sources[w->source_count++];
  *source = (Source){ 0 };
  snprintf (source->name, sizeof source->name, "%s", name);
  return source;
}

static const EvidenceSums *
sums_of (const EvidenceRollout *r, EvidenceSide side, const char *team)
{
  static const EvidenceSums none = { 0 };

  if (*team == '\0')
    return &r->sums[side][EVIDENCE_TEAMS_MAX];
  for (size_t i = 0; i < r->counts[side]; i++)
    if (strcmp (r->sums[side][i].team, team) == 0)
      return &r->sums[side][i];
  return &none;
}

/* Totals never fall; a smaller value is not a later total of the same steward, and adds
   nothing. */
static int64_t
increase (int64_t now, int64_t before)
{
  return now > before ? now - before : 0;
}

static void
add_increase (RolloutWatch *w,
              EvidenceSide side,
              const EvidenceSums *now,
              const EvidenceSums *before)
{
  EvidenceSums *untested = &w->untested[side][team_index (w, now->team)];

  untested->answers += increase (now->answers, before->answers);
  untested->errors += increase (now->errors, before->errors);
  untested->slow += increase (now->slow, before->slow);
  untested->rated += increase (now->rated, before->rated);
  untested->rating_sum += fmax (0, now->rating_sum - before->rating_sum);
  untested->rating_square_sum += fmax (0, now->rating_square_sum - before->rating_square_sum);
  if (side == EVIDENCE_NEW)
    w->callers += increase (now->callers, before->callers);
}

void
rollout_watch_add_totals (RolloutWatch *w, const char *source, const EvidenceRollout *totals)
{
  Source *s;

  /* Totals from before the roll-out opened belong to an earlier one of the same versions. */
  if (!rollout_watch_matches (w, totals) || totals->since <= w->rollout.closed_number)
    return;
  s = source_of (w, source);
  /* The steward restarted counting: all of its totals are new. */
  if (s->last.since != totals->since)
    s->last = (EvidenceRollout){ 0 };
  for (unsigned i = 0; i < EVIDENCE_SIDES; i++)
    {
      EvidenceSide side = (EvidenceSide)i;
      for (size_t t = 0; t < totals->counts[side]; t++)
        add_increase (w, side, &totals->sums[side][t],
                      sums_of (&s->last, side, totals->sums[side][t].team));
      add_increase (w, side, &totals->sums[side][EVIDENCE_TEAMS_MAX], sums_of (&s->last, side, ""));
    }
  s->last = *totals;
}

/* Gates count complete answers and errors separately; the test's answers include both. */
static RolloutEvidence
test_evidence (const EvidenceSums *sums, size_t team)
{
  return (RolloutEvidence){
    .team = (unsigned)team,
    .answers = (unsigned)(sums->answers + sums->errors),
    .errors = (unsigned)sums->errors,
    .slow = (unsigned)sums->slow,
    .rated = (unsigned)sums->rated,
    .rating_sum = sums->rating_sum,
    .rating_square_sum = sums->rating_square_sum,
  };
}

static void
feed (RolloutWatch *w,
      EvidenceSide side,
      void (*add) (RolloutTest *test, const RolloutEvidence *evidence))
{
  for (size_t i = 0; i <= w->team_max; i++)
    {
      EvidenceSums *sums = &w->untested[side][i];
      if (sums->answers + sums->errors + sums->rated == 0)
        continue;
      RolloutEvidence evidence = test_evidence (sums, i);
      add (w->test, &evidence);
      *sums = (EvidenceSums){ 0 };
    }
}

/* Evidence added before this call belongs to the previous stage if the stage is new. The test's
   alarms keep it; evidence that the version is good is collected again in each stage. */
RolloutDecision
rollout_watch_decide (RolloutWatch *w, size_t stage, int64_t now)
{
  feed (w, EVIDENCE_OLD, rollout_test_add_control);
  feed (w, EVIDENCE_NEW, rollout_test_add);
  if (!w->stage_begun || w->stage != stage)
    rollout_test_begin_stage (w->test, stage, now);
  w->stage_begun = true;
  w->stage = stage;
  return rollout_policy_default.decide (w->test, now);
}

int64_t
rollout_watch_callers (const RolloutWatch *w)
{
  return w->callers;
}
