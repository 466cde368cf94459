/** Which versions may answer a request: src/choose.c. */
#include "choose.h"
#include "suite.h"
#include "util_id.h"
#include <stdio.h>
#include <string.h>

#define KEY_HASH "00000000000000000000000000000000000000000000000000000000000000"
#define CALLERS  20000

static const char document[]
    = "{\"models\":{"
      "\"draft\":{\"versions\":{"
      "\"v1\":{\"state\":\"active\",\"cost_per_1k\":1,\"prior_quality\":0.6},"
      "\"v2\":{\"state\":\"candidate\",\"cost_per_1k\":1,\"prior_quality\":0.6},"
      "\"v3\":{\"state\":\"withdrawn\",\"cost_per_1k\":1}}},"
      "\"ledger\":{\"versions\":{"
      "\"v1\":{\"state\":\"active\",\"cost_per_1k\":9,\"prior_quality\":0.95}}},"
      "\"old\":{\"versions\":{\"v1\":{\"state\":\"withdrawn\",\"cost_per_1k\":9}}}},"
      "\"classes\":{"
      "\"report\":{\"stages\":[\"draft\",\"ledger\"],\"quality_target\":0.9,\"idempotent\":true},"
      "\"issue\":{\"stages\":[\"draft\",\"ledger\"],\"quality_target\":0.9,\"idempotent\":false},"
      "\"past\":{\"stages\":[\"old\"],\"quality_target\":0.9,\"idempotent\":true}},"
      "\"teams\":{"
      "\"all\":{\"key_hash\":\"" KEY_HASH "01\","
      "\"allow\":[\"draft@v1\",\"draft@v2\",\"draft@v3\",\"ledger@v1\",\"old@v1\"]},"
      "\"few\":{\"key_hash\":\"" KEY_HASH "02\",\"allow\":[\"draft@v1\"]},"
      "\"none\":{\"key_hash\":\"" KEY_HASH "03\",\"allow\":[]}},"
      "\"rollouts\":{\"draft\":{\"from\":\"v1\",\"to\":\"v2\","
      "\"state\":\"running\",\"stages\":[0.01,0.1,0.5,1],\"stage\":0}}}";

static Config *config;
static unsigned draft1, draft2, draft3, ledger1;
static bool braked[16];

static void
setup (void)
{
  CheckList list = { .file = "test" };

  config = config_parse (document, strlen (document), 1, &list);
  if (config == NULL)
    {
      puts (list.text.data);
      CU_FAIL_FATAL ("the document does not parse");
    }
  check_free (&list);
  memset (braked, 0, sizeof braked);
  draft1
      = (unsigned)config_find_version (config, (unsigned)config_find_model (config, "draft"), "v1");
  draft2
      = (unsigned)config_find_version (config, (unsigned)config_find_model (config, "draft"), "v2");
  draft3
      = (unsigned)config_find_version (config, (unsigned)config_find_model (config, "draft"), "v3");
  ledger1 = (unsigned)config_find_version (config, (unsigned)config_find_model (config, "ledger"),
                                           "v1");
}

static ChooseRequest
request_of (const char *team, const char *model)
{
  return (ChooseRequest){
    .config = config,
    .team = (unsigned)config_find_team (config, team),
    .model = model,
    .braked = braked,
    .caller = 1,
  };
}

static Reason
plan_request (const char *team, const char *model, ChoosePlan *plan)
{
  ChooseRequest request = request_of (team, model);

  return choose_plan (&request, plan);
}

static Reason
plan_in_session (const char *team, const char *model, const char *session)
{
  ChooseRequest request = request_of (team, model);
  ChoosePlan plan;

  request.session_version = session;
  return choose_plan (&request, &plan);
}

static void
test_reason_names_are_distinct (void)
{
  int i, j;

  for (i = 0; i < REASON_COUNT; i++)
    {
      CU_ASSERT_PTR_NOT_NULL_FATAL (reason_name ((Reason)i));
      for (j = 0; j < i; j++)
        CU_ASSERT_STRING_NOT_EQUAL (reason_name ((Reason)i), reason_name ((Reason)j));
    }
  CU_ASSERT_STRING_EQUAL (reason_name (REASON_VERSION_WITHDRAWN), "version_withdrawn");
}

static void
test_plan_of_model_or_class (void)
{
  ChoosePlan plan;

  setup ();
  CU_ASSERT_EQUAL (plan_request ("few", "draft", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], draft1);
  CU_ASSERT_FALSE (plan.rated);
  CU_ASSERT_EQUAL (plan.class_index, -1);
  CU_ASSERT_EQUAL (plan_request ("all", "report", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 2);
  CU_ASSERT_EQUAL (plan.versions[1], ledger1);
  CU_ASSERT_TRUE (plan.rated);
  CU_ASSERT_DOUBLE_EQUAL (plan.quality_target, 0.9, 1e-9);
  CU_ASSERT_EQUAL (plan_request ("few", "report", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_FALSE (plan.rated);
  config_unref (config);
}

static void
test_requests_that_get_no_plan (void)
{
  ChoosePlan plan;
  ChooseRequest request;
  char long_name[400];

  setup ();
  memset (long_name, 'a', sizeof long_name);
  strcpy (long_name + sizeof long_name - 4, "@v1");
  CU_ASSERT_EQUAL (plan_request ("all", "nothing", &plan), REASON_UNKNOWN_MODEL);
  CU_ASSERT_EQUAL (plan_request ("all", "", &plan), REASON_UNKNOWN_MODEL);
  CU_ASSERT_EQUAL (plan_request ("all", "@", &plan), REASON_UNKNOWN_MODEL);
  CU_ASSERT_EQUAL (plan_request ("all", long_name, &plan), REASON_UNKNOWN_MODEL);
  CU_ASSERT_EQUAL (plan_request ("all", "draft@v9", &plan), REASON_UNKNOWN_VERSION);
  CU_ASSERT_EQUAL (plan_request ("all", "draft@v3", &plan), REASON_VERSION_WITHDRAWN);
  CU_ASSERT_EQUAL (plan_request ("few", "ledger@v1", &plan), REASON_NOT_ALLOWED);
  CU_ASSERT_EQUAL (plan_request ("few", "ledger", &plan), REASON_NOT_ALLOWED);
  CU_ASSERT_EQUAL (plan_request ("none", "report", &plan), REASON_NOT_ALLOWED);
  CU_ASSERT_EQUAL (plan_request ("all", "past", &plan), REASON_VERSION_WITHDRAWN);
  CU_ASSERT_EQUAL (plan.count, 0);
  request = request_of ("all", "report");
  request.now_ms = 100;
  request.deadline_ms = 100;
  CU_ASSERT_EQUAL (choose_plan (&request, &plan), REASON_DEADLINE_PAST);
  request.deadline_ms = 101;
  CU_ASSERT_EQUAL (choose_plan (&request, &plan), REASON_NONE);
  config_unref (config);
}

/* A braked version must get no request, whether by model, class or its own name. */
static void
test_braked_versions_are_excluded (void)
{
  ChoosePlan plan;

  setup ();
  braked[draft1] = true;
  CU_ASSERT_EQUAL (plan_request ("few", "draft", &plan), REASON_VERSION_BRAKED);
  CU_ASSERT_EQUAL (plan_request ("few", "draft@v1", &plan), REASON_VERSION_BRAKED);
  CU_ASSERT_EQUAL (plan_request ("all", "report", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], ledger1);
  braked[ledger1] = true;
  CU_ASSERT_NOT_EQUAL (plan_request ("all", "report", &plan), REASON_NONE);
  /* draft has a braked and a withdrawn version, so no single reason can be given. */
  CU_ASSERT_EQUAL (plan_request ("all", "draft", &plan), REASON_NO_ALLOWED_VERSION);
  CU_ASSERT_FALSE (choose_version_usable (config, braked, draft1));
  CU_ASSERT_TRUE (choose_version_usable (config, NULL, draft1));
  CU_ASSERT_FALSE (choose_version_usable (config, NULL, draft3));
  config_unref (config);
}

/* A request that may run at most once must get a plan of one stage. With two, an order whose first
   answer is rated badly would run again, and be carried out twice. */
static void
test_at_most_once_has_one_stage (void)
{
  ChoosePlan plan;
  ChooseRequest request;

  setup ();
  CU_ASSERT_EQUAL (plan_request ("all", "issue", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], ledger1);
  CU_ASSERT_FALSE (plan.idempotent);
  CU_ASSERT_FALSE (plan.rated);
  request = request_of ("all", "report");
  request.idempotency = IDEMPOTENCY_NO;
  CU_ASSERT_EQUAL (choose_plan (&request, &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  request = request_of ("all", "issue");
  request.idempotency = IDEMPOTENCY_YES;
  CU_ASSERT_EQUAL (choose_plan (&request, &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 2);
  config_unref (config);
}

static bool
gets_candidate (uint64_t caller)
{
  ChooseRequest request = request_of ("all", "draft");
  ChoosePlan plan;

  request.caller = caller;
  CU_ASSERT_EQUAL_FATAL (choose_plan (&request, &plan), REASON_NONE);
  return plan.versions[0] == draft2;
}

static uint64_t
caller_hash (unsigned i)
{
  return id_hash (&i, sizeof i, 7);
}

/* As a roll-out grows from 1% to 10% to 50%, callers that already got the new version must keep it.
   With buckets drawn anew per stage each stage would expose other callers. */
static void
test_rollout_only_adds_callers (void)
{
  static bool before[CALLERS];
  size_t stage;
  unsigned i;

  setup ();
  memset (before, 0, sizeof before);
  for (stage = 0; stage < config->rollouts[0].stage_count; stage++)
    {
      double expected = config->rollouts[0].stages[stage] * CALLERS;
      unsigned n = 0;

      config->rollouts[0].stage = stage;
      for (i = 0; i < CALLERS; i++)
        {
          bool now = gets_candidate (caller_hash (i));

          if (before[i] && !now)
            CU_FAIL ("a caller was moved back");
          before[i] = now;
          n += now;
        }
      /* Five standard deviations of a binomial count. */
      CU_ASSERT ((n - expected) * (n - expected)
                 <= 25 * expected * (1 - config->rollouts[0].stages[stage]));
    }
  config_unref (config);
}

static void
test_rollout_state_selects_version (void)
{
  ConfigRollout *rollout;
  ChoosePlan plan;

  setup ();
  rollout = &config->rollouts[0];
  rollout->stages[0] = 1;
  CU_ASSERT_TRUE (gets_candidate (1));
  CU_ASSERT_EQUAL (plan_request ("few", "draft", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[0], draft1);
  rollout->state = ROLLOUT_PAUSED;
  CU_ASSERT_TRUE (gets_candidate (1));
  rollout->state = ROLLOUT_BACKED_OUT;
  CU_ASSERT_FALSE (gets_candidate (1));
  CU_ASSERT_FALSE (choose_version_usable (config, NULL, draft2));
  CU_ASSERT_EQUAL (plan_request ("all", "draft@v2", &plan), REASON_VERSION_WITHDRAWN);
  rollout->state = ROLLOUT_DONE;
  rollout->stages[0] = 0;
  CU_ASSERT_TRUE (gets_candidate (1));
  rollout->state = ROLLOUT_RUNNING;
  rollout->stages[0] = 1;
  braked[draft2] = true;
  CU_ASSERT_FALSE (gets_candidate (1));
  config_unref (config);
}

/* v1 and v2 are both active when v3 is rolled out from v2. Callers outside the stage must get v2,
   not v1 because it is the first active version by name. */
static void
test_callers_outside_share_get_old_version (void)
{
  ChoosePlan plan;

  setup ();
  config->versions[draft2].state = VERSION_ACTIVE;
  config->versions[draft3].state = VERSION_CANDIDATE;
  config->rollouts[0].from = draft2;
  config->rollouts[0].to = draft3;
  config->rollouts[0].stages[0] = 0;
  CU_ASSERT_EQUAL (plan_request ("all", "draft", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[0], draft2);
  braked[draft2] = true;
  CU_ASSERT_EQUAL (plan_request ("all", "draft", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[0], draft1);
  config_unref (config);
}

/* A caller outside the stage that names the candidate must not get it, or more callers would be
   exposed to the new version than the stage allows. */
static void
test_candidate_needs_rollout_share (void)
{
  ChoosePlan plan;

  setup ();
  config->rollouts[0].stages[0] = 0;
  CU_ASSERT_EQUAL (plan_request ("all", "draft@v2", &plan), REASON_NOT_ALLOWED);
  config->rollouts[0].stages[0] = 1;
  CU_ASSERT_EQUAL (plan_request ("all", "draft@v2", &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.versions[0], draft2);
  config_unref (config);
}

/* A session that started on v1 must keep it while all other callers get v2, and must be refused
   when v1 is withdrawn, not silently moved to another version. */
static void
test_session_keeps_its_version (void)
{
  ChooseRequest request;
  ChoosePlan plan;

  setup ();
  config->rollouts[0].stages[0] = 1;
  request = request_of ("all", "report");
  request.session_version = "draft@v1";
  CU_ASSERT_EQUAL (choose_plan (&request, &plan), REASON_NONE);
  CU_ASSERT_EQUAL (plan.count, 1);
  CU_ASSERT_EQUAL (plan.versions[0], draft1);
  config->rollouts[0].stages[0] = 0;
  CU_ASSERT_EQUAL (plan_in_session ("all", "draft", "draft@v2"), REASON_NONE);
  CU_ASSERT_EQUAL (plan_in_session ("all", "draft", "draft@v3"), REASON_VERSION_WITHDRAWN);
  CU_ASSERT_EQUAL (plan_in_session ("all", "draft", "draft@v0"), REASON_VERSION_WITHDRAWN);
  CU_ASSERT_EQUAL (plan_in_session ("few", "draft", "draft@v2"), REASON_NOT_ALLOWED);
  CU_ASSERT_EQUAL (plan_in_session ("all", "draft", "ledger@v1"), REASON_NOT_ALLOWED);
  CU_ASSERT_EQUAL (plan_in_session ("all", "draft@v1", "draft@v2"), REASON_NOT_ALLOWED);
  CU_ASSERT_EQUAL (plan_in_session ("all", "draft", "draft"), REASON_UNKNOWN_VERSION);
  braked[draft1] = true;
  CU_ASSERT_EQUAL (plan_in_session ("all", "draft", "draft@v1"), REASON_VERSION_BRAKED);
  config_unref (config);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "reason_names_are_distinct", test_reason_names_are_distinct },
    { "plan_of_model_or_class", test_plan_of_model_or_class },
    { "requests_that_get_no_plan", test_requests_that_get_no_plan },
    { "braked_versions_are_excluded", test_braked_versions_are_excluded },
    { "at_most_once_has_one_stage", test_at_most_once_has_one_stage },
    { "rollout_only_adds_callers", test_rollout_only_adds_callers },
    { "rollout_state_selects_version", test_rollout_state_selects_version },
    { "callers_outside_share_get_old_version", test_callers_outside_share_get_old_version },
    { "candidate_needs_rollout_share", test_candidate_needs_rollout_share },
    { "session_keeps_its_version", test_session_keeps_its_version },
  };

  return suite_main (argc, argv, "choose_plan", cases, SUITE_COUNT (cases));
}
