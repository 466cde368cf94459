/**
 * Roll-outs that drive themselves: evidence that counts once.
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
#define VARIANCE 0.04 /* of ratings */

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

/* Evidence that follows a configuration of this number. */
static void
evidence_new (StewardEvidence *e, int64_t number, int stage, const char *state)
{
  Config *config = fake_rollout_config (number, 1, stage, state);

  steward_evidence_init (e);
  steward_evidence_apply_config (e, config);
  config_unref (config);
}

static void
follow (StewardEvidence *e, int64_t number, int stage, const char *state)
{
  Config *config = fake_rollout_config (number, 1, stage, state);

  steward_evidence_apply_config (e, config);
  config_unref (config);
}

/* The only roll-out's totals. */
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
test_totals (void)
{
  StewardEvidence e;

  evidence_new (&e, 5, 0, "running");
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
  /* A later stage goes on counting; an earlier one, or an end between, begins anew. */
  follow (&e, 6, 1, "running");
  CU_ASSERT_EQUAL (totals_of (&e).sums[EVIDENCE_NEW][0].answers, 5);
  CU_ASSERT_EQUAL (totals_of (&e).since, 5);
  follow (&e, 7, 0, "running");
  CU_ASSERT_EQUAL (totals_of (&e).counts[EVIDENCE_NEW], 0);
  CU_ASSERT_EQUAL (totals_of (&e).since, 7);
  follow (&e, 8, 0, "backed_out");
  EvidenceRollout none[EVIDENCE_ROLLOUTS_MAX];
  CU_ASSERT_EQUAL (steward_evidence_copy (&e, none), 0);
  steward_evidence_clear (&e);
}

static void
test_many_teams (void)
{
  StewardEvidence e;
  char team[16];
  int64_t sum = 0;

  evidence_new (&e, 5, 0, "running");
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
test_row_text (void)
{
  StewardEvidence e;
  EvidenceRollout *read = calloc (EVIDENCE_ROLLOUTS_MAX, sizeof *read);

  evidence_new (&e, 5, 1, "running");
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
  /* What is not understood is left out, and nothing else with it. */
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
take (RolloutWatch *w, const char *source, StewardEvidence *e)
{
  EvidenceRollout t = totals_of (e);

  rollout_watch_add_totals (w, source, &t);
}

/*
 * A few bad answers are read from the table again and again, as the holder does every two seconds.
 * Were they added each time, a version would be braked for answers that were given once.
 */
static void
test_read_again (void)
{
  StewardEvidence e;
  evidence_new (&e, 5, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);

  add (&e, "a", "v1", 100, 0.8);
  add (&e, "a", "v2", 2, 0.4);
  for (int i = 0; i < 100; i++)
    {
      take (w, "0000000000000001", &e);
      CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, INT64_C (2000) * i).verdict, ROLLOUT_WAIT);
    }
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 2);
  /* A steward that counts anew has new totals, though they are not greater. */
  follow (&e, 8, 0, "done");
  follow (&e, 9, 0, "running");
  add (&e, "a", "v2", 2, 0.4);
  take (w, "0000000000000001", &e);
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 4);
  /* So has another steward with the same ones. */
  take (w, "0000000000000002", &e);
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 6);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
}

/* Each of nine VMs saw too little to tell; together they saw enough. */
static void
test_merged (void)
{
  StewardEvidence e[9];
  char source[16];
  RolloutDecision own, merged = { .verdict = ROLLOUT_WAIT };

  evidence_new (&e[0], 5, 0, "running");
  RolloutWatch *all = watch_new (&e[0], 0);
  steward_evidence_clear (&e[0]);
  for (int i = 0; i < 9; i++)
    {
      evidence_new (&e[i], 5, 0, "running");
      add (&e[i], "a", "v1", 50, 0.8);
      add (&e[i], "a", "v2", 2, 0.3);
      RolloutWatch *one = watch_new (&e[i], 0);
      take (one, "self", &e[i]);
      own = rollout_watch_decide (one, 0, 1000);
      CU_ASSERT_EQUAL (own.verdict, ROLLOUT_WAIT);
      snprintf (source, sizeof source, "vm-%d", i);
      take (all, source, &e[i]);
      merged = rollout_watch_decide (all, 0, 1000);
      rollout_watch_free (one);
      steward_evidence_clear (&e[i]);
    }
  CU_ASSERT_EQUAL (merged.verdict, ROLLOUT_BRAKE);
  CU_ASSERT_EQUAL (rollout_watch_callers (all), 18);
  rollout_watch_free (all);
}

/* A version that fails half of its answers without any that is rated: errors come apart from whole
   answers, and count as answers too. */
static void
test_errors (void)
{
  StewardEvidence e;
  evidence_new (&e, 5, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);
  int i;

  add (&e, "a", "v1", 200, 0.8);
  for (i = 1; i <= 50; i++)
    {
      rpc_evidence r = { .team = "a", .model_name = "m", .version_name = "v2", .callers = 2 };
      r.answers = 1;
      r.errors = 1;
      steward_evidence_add (&e, &r, 1);
      take (w, "vm-1", &e);
      if (rollout_watch_decide (w, 0, i).verdict == ROLLOUT_BRAKE)
        break;
    }
  CU_ASSERT (i >= 2 && i <= 10);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
}

/* What showed the version good in a stage does not count for the next one. */
static void
test_stages (void)
{
  StewardEvidence e;
  evidence_new (&e, 5, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);

  add (&e, "a", "v1", 500, 0.8);
  add (&e, "a", "v2", 500, 0.8);
  take (w, "vm-1", &e);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, 1).verdict, ROLLOUT_WAIT);
  /* The first decision began the stage, after what it was given: a holder that has just taken over
     gathers anew. */
  add (&e, "a", "v1", 500, 0.8);
  add (&e, "a", "v2", 500, 0.8);
  take (w, "vm-1", &e);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, STAGE_MS / 2).verdict, ROLLOUT_WAIT);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, 2 * STAGE_MS).verdict, ROLLOUT_NEXT_STAGE);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 1, 2 * STAGE_MS + 1).verdict, ROLLOUT_WAIT);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 1, 9 * STAGE_MS).verdict, ROLLOUT_WAIT);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
}

/*
 * A version was backed out, mended, and is rolled out again at once. The row of a steward that died
 * meanwhile still holds what was found the first time: the mended version would be braked for it.
 */
static void
test_earlier_rollout (void)
{
  StewardEvidence dead, e;
  evidence_new (&dead, 5, 0, "running");
  add (&dead, "a", "v1", 100, 0.8);
  add (&dead, "a", "v2", 100, 0.1);
  evidence_new (&e, 5, 0, "running");
  follow (&e, 6, 0, "backed_out");
  follow (&e, 7, 0, "running");
  RolloutWatch *w = watch_new (&e, 0);

  take (w, "dead", &dead);
  CU_ASSERT_EQUAL (rollout_watch_decide (w, 0, 1).verdict, ROLLOUT_WAIT);
  CU_ASSERT_EQUAL (rollout_watch_callers (w), 0);
  /* Without that knowledge it counts. */
  RolloutWatch *unknowing = watch_new (&dead, 0);
  take (unknowing, "dead", &dead);
  CU_ASSERT_EQUAL (rollout_watch_decide (unknowing, 0, 1).verdict, ROLLOUT_BRAKE);
  rollout_watch_free (unknowing);
  rollout_watch_free (w);
  steward_evidence_clear (&e);
  steward_evidence_clear (&dead);
}

static void
test_set (void)
{
  StewardEvidence e;
  RolloutSet set = { 0 };
  evidence_new (&e, 5, 0, "running");
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

/* As if none were open. */
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
 * The table service is slow: the steward gives a write up, writes newer totals, and then the old
 * write takes effect. Evidence would vanish from the row and be added once more with the next
 * write, as if the same answers had been given twice.
 */
static void
test_late_row (void)
{
  Platform *p = fake_platform_new ();
  StewardEvidence e;
  EvidenceRow row;

  evidence_new (&e, 5, 0, "running");
  evidence_row_init (&row, 1);
  add (&e, "a", "v2", 3, 0.5);
  fake_platform_fault (p, FAULT_SLOW, CALL_TXN, 1);
  CU_ASSERT_EQUAL (write_totals (&row, p, &e), STATUS_UNKNOWN);
  fake_platform_fault (p, FAULT_NONE, 0, 0);
  add (&e, "a", "v2", 4, 0.5);
  CU_ASSERT_EQUAL (write_totals (&row, p, &e), STATUS_OK);
  CU_ASSERT_EQUAL (fake_platform_late_effects (p), 0);
  CU_ASSERT_EQUAL (answers_in_table (p), 7);
  /* A lost reply: the next write finds the row's version out. */
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

/* Called before the transaction that deletes. */
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

/* Rows of ended roll-outs go, but none that a steward has written while they were listed: that one
   counts for a roll-out that has just begun. */
static void
test_delete_rows (void)
{
  Platform *p = fake_platform_new ();
  StewardEvidence e;
  EvidenceRow row, late;
  Race race = { .p = p, .row = &late, .e = &e };
  int64_t answers = 0;

  evidence_new (&e, 5, 0, "running");
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
  /* Its steward still thinks that the row is there: the write conflicts, and the next succeeds. */
  CU_ASSERT_EQUAL (write_totals (&late, p, &e), STATUS_CONFLICT);
  CU_ASSERT_EQUAL (write_totals (&late, p, &e), STATUS_OK);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "evidence"), 1);
  steward_evidence_clear (&e);
  platform_free (p);
}

static void
test_pace (void)
{
  CU_ASSERT_EQUAL (steward_evidence_interval_ms (3), 2000);
  CU_ASSERT_EQUAL (steward_evidence_interval_ms (360), 54000);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "totals", test_totals },
    { "many_teams", test_many_teams },
    { "row_text", test_row_text },
    { "read_again", test_read_again },
    { "merged", test_merged },
    { "errors", test_errors },
    { "stages", test_stages },
    { "earlier_rollout", test_earlier_rollout },
    { "set", test_set },
    { "late_row", test_late_row },
    { "delete_rows", test_delete_rows },
    { "pace", test_pace },
  };

  return suite_main (argc, argv, "steward_rollout", cases, SUITE_COUNT (cases));
}
