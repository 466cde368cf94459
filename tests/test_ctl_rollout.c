/**
 * lovagectl's roll-out commands against fake stewards with scripted answers.
 */
#include "fake_steward.h"
#include "suite.h"
#include <CUnit/Basic.h>

#define ROLLOUT(stage, state)                                                                      \
  "{\"text\":{\"rollouts\":{\"m\":{\"stages\":[0.1,1],\"stage\":" stage ",\"state\":\"" state      \
  "\"}}}}"
#define POST_ROLLOUT(change)                                                                       \
  "POST /v1/patches?wait=accepted&wait_ms=100 {\"base\":7,\"patch\":{\"rollouts\":{\"m\":{" change \
  "}}},\"reason\":\"bad wording\"}\n"

static const CtlArgs change = { .operands = { "m" },
                                .operand_count = 1,
                                .base = -1,
                                .wait = "accepted",
                                .wait_ms = 100,
                                .reason = "bad wording" };

static void
test_rollout (void)
{
  const FakeReply replies[]
      = { { 200, "{\"head\":7}" },
          { 200, "{\"text\":{\"rollouts\":{\"m\":{\"state\":\"running\"}}}}" },
          { 200, FAKE_ACCEPTED },
          { 0, NULL } };
  static const char *const wrong[] = { "", "0.1,x", "0.1,", "nan", "0x1", "-1", "2", "0" };
  CtlArgs args = change;

  fake_steward_expect (
      ctl_rollout_back_out, &args, replies, CTL_DONE,
      FAKE_GET_HEAD ("7") "POST /v1/patches?wait=accepted&wait_ms=100 {\"base\":7,\"patch\":{"
                          "\"rollouts\":{\"m\":{\"state\":\"backed_out\"}}},\"reason\":"
                          "\"bad wording\"}\n");
  fake_steward_expect (ctl_rollout_resume, &args, replies, CTL_DONE, FAKE_GET_HEAD ("7"));
  fake_steward_expect (ctl_rollout_start, &args, replies, CTL_USAGE, "");
  args.from = "v1";
  args.to = "v2";
  fake_steward_expect (ctl_rollout_start, &args, replies, CTL_REFUSED, FAKE_GET_HEAD ("7"));
  args.operands[0] = "other";
  for (size_t i = 0; i < sizeof wrong / sizeof wrong[0]; i++)
    {
      args.stages = wrong[i];
      fake_steward_expect (ctl_rollout_start, &args, replies, CTL_USAGE, FAKE_GET_HEAD ("7"));
    }
  args.stages = "0.1,1";
  args.reason = "";
  fake_steward_expect (
      ctl_rollout_start, &args, replies, CTL_DONE,
      FAKE_GET_HEAD ("7") "POST /v1/patches?wait=accepted&wait_ms=100 {\"base\":7,\"patch\":{"
                          "\"rollouts\":{\"other\":{\"from\":\"v1\",\"to\":\"v2\","
                          "\"stages\":[0.1,1],\"stage\":0,\"state\":\"running\"}}},"
                          "\"reason\":\"rollout start other\"}\n");
}

/** Guards against a roll-out to a withdrawn version, which would appear to run although no caller
 * gets the new version. */
static void
test_rollout_to_withdrawn_version_is_refused (void)
{
  const FakeReply replies[] = { { 200, "{\"head\":7}" },
                                { 200, "{\"text\":{\"models\":{\"m\":{\"versions\":{\"v2\":{"
                                       "\"state\":\"withdrawn\"}}}}}}" },
                                { 0, NULL } };
  CtlArgs args = change;

  args.from = "v1";
  args.to = "v2";
  fake_steward_expect (ctl_rollout_start, &args, replies, CTL_REFUSED, FAKE_GET_HEAD ("7"));
}

static void
test_rollout_advance (void)
{
  static const struct
  {
    const char *version;
    CtlExit expected;
    const char *log;
  } steps[] = {
    { ROLLOUT ("0", "running"), CTL_DONE, FAKE_GET_HEAD ("7") POST_ROLLOUT ("\"stage\":1") },
    { ROLLOUT ("1", "paused"), CTL_DONE, FAKE_GET_HEAD ("7") POST_ROLLOUT ("\"state\":\"done\"") },
    { ROLLOUT ("1", "done"), CTL_REFUSED, FAKE_GET_HEAD ("7") },
    { ROLLOUT ("1", "backed_out"), CTL_REFUSED, FAKE_GET_HEAD ("7") },
    { "{\"text\":{}}", CTL_REFUSED, FAKE_GET_HEAD ("7") },
  };
  CtlArgs args = change;

  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      const FakeReply replies[] = {
        { 200, "{\"head\":7}" }, { 200, steps[i].version }, { 200, FAKE_ACCEPTED }, { 0, NULL }
      };

      fake_steward_expect (ctl_rollout_advance, &args, replies, steps[i].expected, steps[i].log);
    }
}

static const SuiteCase cases[] = {
  { "rollout", test_rollout },
  { "rollout_to_withdrawn_version_is_refused", test_rollout_to_withdrawn_version_is_refused },
  { "rollout_advance", test_rollout_advance },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "ctl_rollout", cases, SUITE_COUNT (cases));
}
