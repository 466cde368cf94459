/**
 * Evidence for automatic roll-outs: each answer must count exactly once.
 */
#include "config.h"
#include "fake_platform.h"
#include "fake_rollout.h"
#include "steward_evidence.h"
#include "steward_rollout_set.h"
#include "steward_rollout_table.h"
#include "suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STAGE_MS INT64_C (60000)
#define VARIANCE 0.04 /* variance of the ratings */

static rpc_evidence
report (const char *team, const char *version, unsigned answers, double score)
{
  return (rpc_evidence){ .team = (char *)team,
                         .model_name = "m",
                         .version_name = (char *)version,
                         .answers = answers,
                         .rated = answers,
                         .callers = answers,
                         .rating_sum = answers * score,
                         .rating_square_sum = answers * (score * score + VARIANCE) };
}

static void
add (StewardEvidence *e, const char *team, const char *version, unsigned answers, double score)
{
  rpc_evidence r = report (team, version, answers, score);

  steward_evidence_add (e, &r, 1);
}

/* Initialises evidence with a configuration of this number. */
static void
evidence_init (StewardEvidence *e, int64_t number, int stage, const char *state)
{
  Config *config = fake_rollout_config (number, 1, stage, state);

  steward_evidence_init (e);
  steward_evidence_apply_config (e, config);
  config_unref (config);
}

static void
apply_config (StewardEvidence *e, int64_t number, int stage, const char *state)
{
  Config *config = fake_rollout_config (number, 1, stage, state);

  steward_evidence_apply_config (e, config);
  config_unref (config);
}

/* The totals of the only roll-out. */
static EvidenceRollout
totals_of (StewardEvidence *e)
{
  EvidenceRollout *all = calloc (EVIDENCE_ROLLOUTS_MAX, sizeof *all);
  EvidenceRollout first;

  CU_ASSERT_EQUAL (steward_evidence_copy (e, all), 1);
  first = all[0];
  free (all);
  return first;
}

static void
test_totals_follow_stages (void)
{
  StewardEvidence e;

  evidence_init (&e, 5, 0, "running");
  (void)steward_evidence_changed (&e);
  CU_ASSERT_FALSE (steward_evidence_changed (&e));
  add (&e, "a", "v0", 7, 1);
  CU_ASSERT_FALSE (steward_evidence_changed (&e));
  add (&e, "a", "v2", 3, 0.5);
  add (&e, "a", "v2", 2, 0.5);
  add (&e, "b", "v1", 4, 0.5);
  CU_ASSERT (steward_evidence_changed (&e));
  EvidenceRollout t = totals_of (&e);
  CU_ASSERT_EQUAL (t.since, 5);
  CU_ASSERT_EQUAL (t.counts[EVIDENCE_NEW], 1);
  CU_ASSERT_EQUAL (t.sums[EVIDENCE_NEW][0].answers, 5);
  CU_ASSERT_DOUBLE_EQUAL (t.sums[EVIDENCE_NEW][0].rating_sum, 2.5, 1e-9);
  CU_ASSERT_EQUAL (t.sums[EVIDENCE_OLD][0].answers, 4);
  /* Totals continue in a later stage, but start from zero in an earlier stage and after the
     roll-out ended. */
  apply_config (&e, 6, 1, "running");
  CU_ASSERT_EQUAL (totals_of (&e).sums[EVIDENCE_NEW][0].answers, 5);
  CU_ASSERT_EQUAL (totals_of (&e).since, 5);
  apply_config (&e, 7, 0, "running");
  CU_ASSERT_EQUAL (totals_of (&e).counts[EVIDENCE_NEW], 0);
  CU_ASSERT_EQUAL (totals_of (&e).since, 7);
  apply_config (&e, 8, 0, "backed_out");
  EvidenceRollout none[EVIDENCE_ROLLOUTS_MAX];
  CU_ASSERT_EQUAL (steward_evidence_copy (&e, none), 0);
  steward_evidence_clear (&e);
}

static void
test_excess_teams_are_summed (void)
{
  StewardEvidence e;
  char team[16];
  int64_t sum = 0;

  evidence_init (&e, 5, 0, "running");
  for (int i = 0; i < 40; i++)
    {
      snprintf (team, sizeof team, "team-%d", i);
      add (&e, team, "v2", 1, 0.5);
    }
  EvidenceRollout t = totals_of (&e);
  CU_ASSERT_EQUAL (t.counts[EVIDENCE_NEW], EVIDENCE_TEAMS_MAX);
  for (size_t i = 0; i <= EVIDENCE_TEAMS_MAX; i++)
    sum += t.sums[EVIDENCE_NEW][i].answers;
  CU_ASSERT_EQUAL (sum, 40);
  steward_evidence_clear (&e);
}

static void
test_row_text_round_trip (void)
{
  StewardEvidence e;
  EvidenceRollout *read = calloc (EVIDENCE_ROLLOUTS_MAX, sizeof *read);

  evidence_init (&e, 5, 1, "running");
  for (int i = 0; i < 20; i++)
    {
      char team[16];
      snprintf (team, sizeof team, "team-%d", i);
      add (&e, team, "v2", (unsigned)i + 1, 0.123456789);
    }
  add (&e, "a", "v1", 9, 1);
  EvidenceRollout t = totals_of (&e);
  char *text = steward_evidence_text ("vm-1", &t, 1);
  CU_ASSERT (strlen (text) < 1500);
  CU_ASSERT_EQUAL (steward_evidence_parse (text, read), 1);
  CU_ASSERT_STRING_EQUAL (read->model, "m");
  CU_ASSERT_STRING_EQUAL (read->from, "v1");
  CU_ASSERT_STRING_EQUAL (read->to, "v2");
  CU_ASSERT_EQUAL (read->since, 5);
  CU_ASSERT_EQUAL (read->stage, 1);
  for (unsigned side = 0; side < EVIDENCE_SIDES; side++)
    for (size_t i = 0; i <= EVIDENCE_TEAMS_MAX; i++)
      {
        CU_ASSERT_EQUAL (read->sums[side][i].answers, t.sums[side][i].answers);
        CU_ASSERT_DOUBLE_EQUAL (read->sums[side][i].rating_sum, t.sums[side][i].rating_sum, 1e-6);
      }
  free (text);
  /* What can't be parsed is skipped, and nothing else with it. */
  CU_ASSERT_EQUAL (steward_evidence_parse ("", read), 0);
  CU_ASSERT_EQUAL (steward_evidence_parse ("[1]", read), 0);
  CU_ASSERT_EQUAL (steward_evidence_parse ("{\"rollouts\":[7,{\"model\":\"m\"}]}", read), 0);
  CU_ASSERT_EQUAL (
      steward_evidence_parse ("{\"rollouts\":[{\"model\":\"m\",\"from\":\"a\",\"to\":\"b\","
                              "\"new\":[[1],[\"t\",1,2,3,4,5,6.5,7]]}]}",
                              read),
      1);
  CU_ASSERT_EQUAL (read->counts[EVIDENCE_NEW], 1);
  CU_ASSERT_DOUBLE_EQUAL (read->sums[EVIDENCE_NEW][0].rating_sum, 6.5, 1e-9);
  free (read);
  steward_evidence_clear (&e);
}

static RolloutWatch *
watch_new (StewardEvidence *e, int64_t now)
{
  EvidenceRollout t = totals_of (e);

  return rollout_watch_new (&t, 2, 1, now);
}

static void
add_totals (RolloutWatch *w, const char *source, StewardEvidence *e)
{
  EvidenceRollout t = totals_of (e);

  rollout_watch_add_totals (w, source, &t);
}

/*
 * The holder reads the same few bad answers from the table every two seconds. Were they added each
 * time, a version would be braked for answers that were given once.
 */
static void
test_repeated_read_counts_once (void)
{
  StewardEvidence e;
  evidence_init (&e, 5, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);

  add (&e, "a", "v1", 100, 0.8);
  add (&e, "a", "v2", 2, 0.4);
  for (int i = 0; i < 100; i++)
    {
      add_totals (w, "0000000000000001", &e);
      CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, INT64_C (2000) * i).verdict, ROLLOUT_WAIT);
    }
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 2);
  /* If a steward starts counting from zero, all of its totals are new, though they are not
     greater. */
  apply_config (&e, 8, 0, "done");
  apply_config (&e, 9, 0, "running");
  add (&e, "a", "v2", 2, 0.4);
  add_totals (w, "0000000000000001", &e);
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 4);
  /* The same totals of another steward are new, too. */
  add_totals (w, "0000000000000002", &e);
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 6);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
}

/* The evidence of each of nine VMs is too weak for a verdict; merged it must be strong enough. */
static void
test_evidence_of_vms_is_merged (void)
{
  StewardEvidence e[9];
  char source[16];
  RolloutDecision own, merged = { .verdict = ROLLOUT_WAIT };

  evidence_init (&e[0], 5, 0, "running");
  RolloutWatch *all = watch_new (&e[0], 0);
  steward_evidence_clear (&e[0]);
  for (int i = 0; i < 9; i++)
    {
      evidence_init (&e[i], 5, 0, "running");
      add (&e[i], "a", "v1", 50, 0.8);
      add (&e[i], "a", "v2", 2, 0.3);
      RolloutWatch *one = watch_new (&e[i], 0);
      add_totals (one, "self", &e[i]);
      own = rollout_watch_decide (one, 0, 1000);
      CU_ASSERT_EQUAL (own.verdict, ROLLOUT_WAIT);
      snprintf (source, sizeof source, "vm-%d", i);
      add_totals (all, source, &e[i]);
      merged = rollout_watch_decide (all, 0, 1000);
      rollout_watch_free (one);
      steward_evidence_clear (&e[i]);
    }
  CU_ASSERT_EQUAL (merged.verdict, ROLLOUT_BRAKE);
  CU_ASSERT_EQUAL (rollout_watch_callers (all), 18);
  rollout_watch_free (all);
}

/* A version fails half of its answers and none is rated. Errors are reported separately from
   complete answers, and must count as answers too. */
static void
test_unrated_errors_raise_brake (void)
{
  StewardEvidence e;
  evidence_init (&e, 5, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);
  int i;

  add (&e, "a", "v1", 200, 0.8);
  for (i = 1; i <= 50; i++)
    {
      rpc_evidence r = { .team = "a", .model_name = "m", .version_name = "v2", .callers = 2 };
      r.answers = 1;
      r.errors = 1;
      steward_evidence_add (&e, &r, 1);
      add_totals (w, "vm-1", &e);
      if (rollout_watch_decide (w, 0, i).verdict == ROLLOUT_BRAKE)
        break;
    }
  CU_ASSERT (i >= 2 && i <= 10);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
}

/* Evidence that a version is good in one stage must not count for the next stage. */
static void
test_stages_need_own_evidence (void)
{
  StewardEvidence e;
  evidence_init (&e, 5, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);

  add (&e, "a", "v1", 500, 0.8);
  add (&e, "a", "v2", 500, 0.8);
  add_totals (w, "vm-1", &e);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, 1).verdict, ROLLOUT_WAIT);
  /* The first decision begins the stage after the evidence added so far: a new holder collects
     evidence from zero. */
  add (&e, "a", "v1", 500, 0.8);
  add (&e, "a", "v2", 500, 0.8);
  add_totals (w, "vm-1", &e);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, STAGE_MS / 2).verdict, ROLLOUT_WAIT);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, 2 * STAGE_MS).verdict, ROLLOUT_NEXT_STAGE);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 1, 2 * STAGE_MS + 1).verdict, ROLLOUT_WAIT);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 1, 9 * STAGE_MS).verdict, ROLLOUT_WAIT);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
}

/*
 * A version was backed out, corrected, and is rolled out again at once. The row of a steward that
 * died in between still holds evidence of the first roll-out, for which the corrected version would
 * be braked.
 */
static void
test_earlier_rollout_is_ignored (void)
{
  StewardEvidence dead, e;
  evidence_init (&dead, 5, 0, "running");
  add (&dead, "a", "v1", 100, 0.8);
  add (&dead, "a", "v2", 100, 0.1);
  evidence_init (&e, 5, 0, "running");
  apply_config (&e, 6, 0, "backed_out");
  apply_config (&e, 7, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);

  add_totals (w, "dead", &dead);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, 1).verdict, ROLLOUT_WAIT);
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 0);
  /* Without a record of the earlier roll-out's end it counts. */
  RolloutWatch *without_record = watch_new (&dead, 0);
  add_totals (without_record, "dead", &dead);
  CU_ASSERT_EQUAL (rollout_watch_decide (without_record, 0, 1).verdict, ROLLOUT_BRAKE);
  rollout_watch_free (without_record);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
  steward_evidence_clear (&dead);
}

static void
test_set_follows_open_rollouts (void)
{
  StewardEvidence e;
  RolloutSet set = { 0 };
  evidence_init (&e, 5, 0, "running");
  EvidenceRollout t = totals_of (&e);
  EvidenceRollout other = t;

  rollout_set_update (&set, &t, 1, 2, 1, 0);
  RolloutWatch *w = rollout_set_find (&set, &t);
  CU_ASSERT_PTR_NOT_NULL (w);
  rollout_set_update (&set, &t, 1, 2, 1, 9);
  CU_ASSERT_PTR_EQUAL (rollout_set_find (&set, &t), w);
  snprintf (other.to, sizeof other.to, "v3");
  CU_ASSERT_PTR_NULL (rollout_set_find (&set, &other));
  rollout_set_update (&set, &other, 1, 2, 1, 9);
  CU_ASSERT_PTR_NULL (rollout_set_find (&set, &t));
  CU_ASSERT_PTR_NOT_NULL (rollout_set_find (&set, &other));
  rollout_set_clear (&set);
  CU_ASSERT_EQUAL (set.count, 0);
  steward_evidence_clear (&e);
}

static bool
count_answers (void *context, const char *key, const EvidenceRollout *totals)
{
  (void)key;
  *(int64_t *)context += totals->sums[EVIDENCE_NEW][0].answers;
  return true;
}

/* Like count_answers, but reports that no roll-out is open. */
static bool
count_ended (void *context, const char *key, const EvidenceRollout *totals)
{
  (void)count_answers (context, key, totals);
  return false;
}

static int64_t
answers_in_table (Platform *p)
{
  int64_t answers = 0;

  CU_ASSERT_EQUAL (evidence_rows_read (p, count_answers, &answers, NULL), STATUS_OK);
  return answers;
}

static StatusCode
write_totals (EvidenceRow *row, Platform *p, StewardEvidence *e)
{
  EvidenceRollout t = totals_of (e);
  char *text = steward_evidence_text ("vm-1", &t, 1);
  StatusCode code = evidence_row_write (row, p, text, NULL);

  free (text);
  return code;
}

/*
 * The table service is slow: a steward's write times out, the steward writes newer totals, and then
 * the old write arrives. If it took effect, totals would fall and be added again with the next
 * write, as if the same answers had been given twice.
 */
static void
test_late_write_does_not_lower_totals (void)
{
  Platform *p = fake_platform_new ();
  StewardEvidence e;
  EvidenceRow row;

  evidence_init (&e, 5, 0, "running");
  evidence_row_init (&row, 1);
  add (&e, "a", "v2", 3, 0.5);
  fake_platform_fault (p, FAULT_SLOW, CALL_TXN, 1);
  CU_ASSERT_EQUAL (write_totals (&row, p, &e), STATUS_UNKNOWN);
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  add (&e, "a", "v2", 4, 0.5);
  CU_ASSERT_EQUAL (write_totals (&row, p, &e), STATUS_OK);
  CU_ASSERT_EQUAL (fake_platform_late_effects (p), 0);
  CU_ASSERT_EQUAL (answers_in_table (p), 7);
  /* After a lost reply the next write reads the row's version first. */
  fake_platform_fault (p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  add (&e, "a", "v2", 1, 0.5);
  CU_ASSERT_EQUAL (write_totals (&row, p, &e), STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (write_totals (&row, p, &e), STATUS_OK);
  CU_ASSERT_EQUAL (answers_in_table (p), 8);
  steward_evidence_clear (&e);
  platform_free (p);
}

typedef struct
{
  Platform *p;
  EvidenceRow *row;
  StewardEvidence *e;
  bool done;
} Race;

/* Called before the transaction that deletes rows. */
static void
write_meanwhile (void *context, FakeCall call)
{
  Race *race = context;
  EvidenceRollout t;
  char *text;

  if (call != CALL_TXN || race->done)
    return;
  race->done = true;
  t = totals_of (race->e);
  text = steward_evidence_text ("vm-2", &t, 1);
  (void)evidence_row_write (race->row, race->p, text, NULL);
  free (text);
}

/* Rows of ended roll-outs must be deleted, but not a row that its steward wrote after the read: it
   counts for a roll-out that has just begun. */
static void
test_rows_of_ended_rollouts_are_deleted (void)
{
  Platform *p = fake_platform_new ();
  StewardEvidence e;
  EvidenceRow row, late;
  Race race = { .p = p, .row = &late, .e = &e };
  int64_t answers = 0;

  evidence_init (&e, 5, 0, "running");
  add (&e, "a", "v2", 3, 0.5);
  evidence_row_init (&row, 1);
  evidence_row_init (&late, 2);
  CU_ASSERT_EQUAL (write_totals (&row, p, &e), STATUS_OK);
  CU_ASSERT_EQUAL (write_totals (&late, p, &e), STATUS_OK);
  fake_platform_hook (p, write_meanwhile, &race);
  CU_ASSERT_EQUAL (evidence_rows_read (p, count_ended, &answers, NULL), STATUS_CONFLICT);
  fake_platform_hook (p, NULL, NULL);
  CU_ASSERT (race.done);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "evidence"), 2);
  CU_ASSERT_EQUAL (evidence_rows_read (p, count_ended, &answers, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "evidence"), 0);
  /* The steward still has the version of the deleted row: its write conflicts, and the next one
     succeeds. */
  CU_ASSERT_EQUAL (write_totals (&late, p, &e), STATUS_CONFLICT);
  CU_ASSERT_EQUAL (write_totals (&late, p, &e), STATUS_OK);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "evidence"), 1);
  steward_evidence_clear (&e);
  platform_free (p);
}

static void
test_interval_grows_with_members (void)
{
  CU_ASSERT_EQUAL (steward_evidence_interval_ms (3), 2000);
  CU_ASSERT_EQUAL (steward_evidence_interval_ms (360), 54000);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "totals_follow_stages", test_totals_follow_stages },
    { "excess_teams_are_summed", test_excess_teams_are_summed },
    { "row_text_round_trip", test_row_text_round_trip },
    { "repeated_read_counts_once", test_repeated_read_counts_once },
    { "evidence_of_vms_is_merged", test_evidence_of_vms_is_merged },
    { "unrated_errors_raise_brake", test_unrated_errors_raise_brake },
    { "stages_need_own_evidence", test_stages_need_own_evidence },
    { "earlier_rollout_is_ignored", test_earlier_rollout_is_ignored },
    { "set_follows_open_rollouts", test_set_follows_open_rollouts },
    { "late_write_does_not_lower_totals", test_late_write_does_not_lower_totals },
    { "rows_of_ended_rollouts_are_deleted", test_rows_of_ended_rollouts_are_deleted },
    { "interval_grows_with_members", test_interval_grows_with_members },
  };

  return suite_main (argc, argv, "steward_rollout", cases, SUITE_COUNT (cases));
}
