/**
 * Automatic roll-outs: steps, and orders to engines.
 */
#include "config.h"
#include "fake_platform.h"
#include "fake_rollout.h"
#include "fake_server.h"
#include "steward_orders_call.h"
#include "steward_orders_state.h"
#include "steward_rollout_step.h"
#include "suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static RolloutStep
due (int stage, const char *state, RolloutStepInput input)
{
  Config *config = fake_rollout_config (1, 1, stage, state);
  RolloutStep step = rollout_step_due (&config->rollouts[0], &input);

  config_unref (config);
  return step;
}

static void
test_next_step_needs_acceptance_and_orders (void)
{
  const RolloutStepInput good
      = { .verdict = ROLLOUT_NEXT_STAGE, .accepted = true, .ordered = true };
  RolloutStepInput input = good;

  CU_ASSERT_EQUAL (due (0, "running", good), ROLLOUT_STEP_NEXT);
  CU_ASSERT_EQUAL (due (1, "running", good), ROLLOUT_STEP_DONE);
  CU_ASSERT_EQUAL (due (0, "paused", good), ROLLOUT_STEP_NONE);
  CU_ASSERT_EQUAL (due (1, "done", good), ROLLOUT_STEP_NONE);
  CU_ASSERT_EQUAL (due (0, "backed_out", good), ROLLOUT_STEP_NONE);
  input.accepted = false;
  CU_ASSERT_EQUAL (due (0, "running", input), ROLLOUT_STEP_NONE);
  input = good;
  input.ordered = false;
  CU_ASSERT_EQUAL (due (0, "running", input), ROLLOUT_STEP_NONE);
  input = (RolloutStepInput){ .verdict = ROLLOUT_WAIT, .accepted = true, .ordered = true };
  CU_ASSERT_EQUAL (due (0, "running", input), ROLLOUT_STEP_NONE);
  /* A brake raised by another steward or an operator causes the back-out. Neither it nor bad
     evidence waits for acceptance or for engines. */
  input = (RolloutStepInput){ .verdict = ROLLOUT_NEXT_STAGE, .braked = true };
  CU_ASSERT_EQUAL (due (0, "running", input), ROLLOUT_STEP_BACK_OUT);
  input = (RolloutStepInput){ .verdict = ROLLOUT_BRAKE };
  CU_ASSERT_EQUAL (due (0, "running", input), ROLLOUT_STEP_BACK_OUT);
  CU_ASSERT_EQUAL (due (0, "paused", input), ROLLOUT_STEP_NONE);
}

static void
expect_patch (RolloutStep step, const char *expected)
{
  Config *config = fake_rollout_config (1, 1, 0, "running");
  CheckList list = { .file = "patched" };
  char *patch = rollout_step_patch (config, &config->rollouts[0], step);
  char *text = config_patch_apply (config->text, patch, &list);
  Config *next = text == NULL ? NULL : config_parse (text, strlen (text), 2, &list);

  CU_ASSERT_STRING_EQUAL (patch, expected);
  CU_ASSERT_PTR_NOT_NULL (next);
  config_unref (next);
  config_unref (config);
  check_free (&list);
  free (patch);
  free (text);
}

static void
test_step_patches_apply (void)
{
  expect_patch (ROLLOUT_STEP_NEXT, "{\"rollouts\":{\"m\":{\"stage\":1}}}");
  expect_patch (ROLLOUT_STEP_DONE, "{\"rollouts\":{\"m\":{\"state\":\"done\"}},"
                                   "\"models\":{\"m\":{\"versions\":{\"v2\":{\"state\":\"active\"}"
                                   "}}}}");
  expect_patch (ROLLOUT_STEP_BACK_OUT, "{\"rollouts\":{\"m\":{\"state\":\"backed_out\"}}}");
}

static struct json_object *
report_of (const char *models)
{
  char text[256];

  snprintf (text, sizeof text, "{\"models\":%s}", models);
  return json_tokener_parse (text);
}

static bool
met (struct json_object *order, const char *models)
{
  struct json_object *found = report_of (models);
  bool result = orders_met (order, found);

  json_object_put (found);
  return result;
}

static void
test_desired_orders_unload_withdrawn_versions (void)
{
  Config *config = fake_rollout_config (7, 1, 0, "running");
  struct json_object *early = orders_desired (config, &config->servers[0], 3, false);
  struct json_object *late = orders_desired (config, &config->servers[0], 3, true);

  CU_ASSERT_STRING_EQUAL (json_object_to_json_string_ext (early, JSON_C_TO_STRING_PLAIN),
                          "{\"fence\":3,\"load\":[\"m@v1\",\"m@v2\"],\"unload\":[]}");
  CU_ASSERT_STRING_EQUAL (json_object_to_json_string_ext (late, JSON_C_TO_STRING_PLAIN),
                          "{\"fence\":3,\"load\":[\"m@v1\",\"m@v2\"],\"unload\":[\"m@v0\"]}");
  CU_ASSERT (met (late, "[\"m@v2\",\"x@v1\",\"m@v1\"]"));
  CU_ASSERT_FALSE (met (late, "[\"m@v2\"]"));
  CU_ASSERT_FALSE (met (late, "[\"m@v0\",\"m@v1\",\"m@v2\"]"));
  CU_ASSERT (met (early, "[\"m@v0\",\"m@v1\",\"m@v2\"]"));
  CU_ASSERT_FALSE (met (early, "17"));
  json_object_put (early);
  json_object_put (late);
  config_unref (config);
}

static int64_t duty_now;

static int64_t
duty_clock (void)
{
  return duty_now;
}

/*
 * An engine that does not check fencing numbers would execute an order of a steward that has lost
 * its duty, and load what the successor had it unload. So no order may be sent once the lease has
 * expired, and a refusal by an engine that checks must differ from a missing answer.
 */
static void
test_orders_need_held_duty (void)
{
  static const FakeAnswer taken = { .text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" };
  static const FakeAnswer refused
      = { .text = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 2\r\n\r\n{}" };
  Platform *p = fake_platform_new ();
  FakeServer *engine = fake_server_new (&taken);
  Config *config = fake_rollout_config (7, fake_server_port (engine), 0, "running");
  StewardDuty *duty = steward_duty_new (&(StewardDutyOptions){
      .platform = p, .name = "rollout", .vm = "vm-1", .incarnation = 1, .clock_ms = duty_clock });
  struct json_object *order = orders_desired (config, &config->servers[0], 1, true);

  duty_now = 1000;
  CU_ASSERT_NOT_EQUAL (orders_send (&config->servers[0], order, duty, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (fake_server_requests (engine), 0);
  for (int i = 0; i < 20; i++, duty_now += 100)
    steward_duty_step (duty, 1);
  CU_ASSERT_EQUAL (steward_duty_fence (duty), 1);
  CU_ASSERT_EQUAL (orders_send (&config->servers[0], order, duty, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (fake_server_requests (engine), 1);
  fake_server_answer (engine, &refused);
  CU_ASSERT_EQUAL (orders_send (&config->servers[0], order, duty, NULL), STATUS_DENIED);
  CU_ASSERT_EQUAL (fake_server_requests (engine), 2);
  duty_now += STEWARD_DUTY_LEASE_MS;
  CU_ASSERT_NOT_EQUAL (orders_send (&config->servers[0], order, duty, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (fake_server_requests (engine), 2);
  json_object_put (order);
  steward_duty_free (duty);
  config_unref (config);
  fake_server_free (engine);
  platform_free (p);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "next_step_needs_acceptance_and_orders", test_next_step_needs_acceptance_and_orders },
    { "step_patches_apply", test_step_patches_apply },
    { "desired_orders_unload_withdrawn_versions", test_desired_orders_unload_withdrawn_versions },
    { "orders_need_held_duty", test_orders_need_held_duty },
  };

  return suite_main (argc, argv, "steward_rollout_step", cases, SUITE_COUNT (cases));
}
