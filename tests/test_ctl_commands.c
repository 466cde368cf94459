/**
 * lovagectl's commands against fake stewards with scripted answers.
 */
#include "ctl.h"
#include "fake_heads.h"
#include "fake_steward.h"
#include "suite.h"
#include <CUnit/Basic.h>
#include <string.h>
#include <unistd.h>

#define DURABLE  "{\"number\":8,\"state\":\"durable\",\"members_in_force\":0,\"members\":3}"
#define CONFLICT "{\"error\":{\"reason\":\"conflict\",\"head\":8,\"message\":\"8 is newer\"}}"
#define TEXT(state)                                                                                \
  "{\"models\":{\"m\":{\"versions\":{\"v1\":{\"state\":\"" state "\",\"cost_per_1k\":1}}}}}"
#define VERSION(number, base, state, patch)                                                        \
  "{\"number\":" number ",\"base\":" base ",\"text\":" TEXT (state) ",\"patch\":" patch "}"
#define WITHDRAWAL "{\"models\":{\"m\":{\"versions\":{\"v1\":{\"state\":\"withdrawn\"}}}}}"
#define POST_PATCH(base)                                                                           \
  "POST /v1/patches?wait=accepted&wait_ms=100 {\"base\":" base ",\"patch\":" WITHDRAWAL            \
  ",\"reason\":\"bad wording\"}\n"

#define POST_DOCUMENT                                                                              \
  "POST /v1/versions?wait=accepted&wait_ms=100 {\"text\":{\"models\":{\"m\":{\"versions\":{"       \
  "\"v1\":{\"cost_per_1k\":1,\"state\":\"withdrawn\"}}}}},\"reason\":\"bad wording\"}\n"

static const CtlArgs withdrawal = { .operands = { "m@v1" },
                                    .operand_count = 1,
                                    .base = -1,
                                    .wait = "accepted",
                                    .wait_ms = 100,
                                    .reason = "bad wording" };

static void
test_withdraw_exit_statuses (void)
{
  static const struct
  {
    FakeReply reply;
    CtlExit expected;
  } answers[] = {
    { { 200, FAKE_ACCEPTED }, CTL_DONE },
    { { 200, DURABLE }, CTL_DURABLE },
    { { 400, "{\"error\":{\"reason\":\"invalid\",\"message\":\"no\",\"errors\":[\"x\"]}}" },
      CTL_REFUSED },
    { { 403, "{\"error\":{\"reason\":\"denied\",\"message\":\"no\"}}" }, CTL_REFUSED },
    { { 500, "not JSON" }, CTL_REFUSED },
  };

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    {
      const FakeReply replies[] = { { 200, "{\"head\":7}" },
                                    { 200, VERSION ("7", "6", "active", "{}") },
                                    answers[i].reply,
                                    { 0, NULL } };

      fake_steward_expect (ctl_withdraw, &withdrawal, replies, answers[i].expected,
                           FAKE_GET_HEAD ("7") POST_PATCH ("7"));
    }
}

static void
test_withdraw_missing_or_withdrawn_version (void)
{
  const FakeReply withdrawn[]
      = { { 200, "{\"head\":7}" }, { 200, VERSION ("7", "6", "withdrawn", "{}") }, { 0, NULL } };
  const FakeReply none[] = { { 200, "{\"head\":0}" }, { 0, NULL } };
  CtlArgs other = withdrawal;

  fake_steward_expect (ctl_withdraw, &withdrawal, withdrawn, CTL_DONE, FAKE_GET_HEAD ("7"));
  fake_steward_expect (ctl_withdraw, &withdrawal, none, CTL_REFUSED, "GET /v1/versions?limit=1 \n");
  other.operands[0] = "m@v2";
  fake_steward_expect (ctl_withdraw, &other, withdrawn, CTL_REFUSED, FAKE_GET_HEAD ("7"));
  other.operands[0] = "m";
  fake_steward_expect (ctl_withdraw, &other, withdrawn, CTL_USAGE, FAKE_GET_HEAD ("7"));
}

/**
 * Guards against a withdrawal that is lost, or that undoes another change, when two operators
 * submit at the same time. A withdrawal without --base is rebuilt against the number that was
 * accepted first.
 */
static void
test_withdraw_retried_after_conflict (void)
{
  const FakeReply replies[] = { { 200, "{\"head\":7}" },
                                { 200, VERSION ("7", "6", "active", "{}") },
                                { 409, CONFLICT },
                                { 200, "{\"head\":8}" },
                                { 200, VERSION ("8", "7", "active", "{}") },
                                { 200, FAKE_ACCEPTED },
                                { 0, NULL } };

  fake_steward_expect (ctl_withdraw, &withdrawal, replies, CTL_DONE,
                       FAKE_GET_HEAD ("7") POST_PATCH ("7") FAKE_GET_HEAD ("8") POST_PATCH ("8"));
}

/** With --base the change must apply to exactly this number, so a conflict is reported and nothing
 * is re-sent. */
static void
test_withdraw_with_base_reports_conflict (void)
{
  const FakeReply replies[]
      = { { 200, VERSION ("7", "6", "active", "{}") }, { 409, CONFLICT }, { 0, NULL } };
  CtlArgs args = withdrawal;

  args.base = 7;
  fake_steward_expect (ctl_withdraw, &args, replies, CTL_CONFLICT,
                       "GET /v1/versions/7 \n" POST_PATCH ("7"));
}

typedef struct
{
  const FakeReply *first;
  const FakeReply *second;
} TwoStewards;

static CtlExit
withdraw_at_two (const TwoStewards *two, Buffer *first_log, Buffer *second_log)
{
  FakeSteward first;
  FakeSteward second;
  Ctl ctl = { 0 };
  CtlArgs args = withdrawal;
  CtlExit status;

  args.base = 7;
  fake_steward_start (&first, two->first);
  fake_steward_start (&second, two->second);
  fake_steward_add (&ctl, first.port);
  fake_steward_add (&ctl, second.port);
  status = ctl_withdraw (&ctl, &args);
  fake_steward_stop (&first);
  fake_steward_stop (&second);
  *first_log = first.log;
  *second_log = second.log;
  return status;
}

/**
 * Guards against a conflict with the operator's own patch: it becomes number 8, but the steward
 * dies before it answers, and the next steward, whose head is already 8, reports a conflict. Since
 * number 8 contains this patch, lovagectl must report success.
 */
static void
test_lost_answer_of_own_patch_is_resolved (void)
{
  const FakeReply first[]
      = { { 200, VERSION ("7", "6", "active", "{}") }, { 0, "" }, { 0, "" }, { 0, NULL } };
  const FakeReply second[]
      = { { 409, CONFLICT }, { 200, VERSION ("8", "7", "withdrawn", WITHDRAWAL) }, { 0, NULL } };
  Buffer first_log;
  Buffer second_log;

  CU_ASSERT_EQUAL (withdraw_at_two (&(TwoStewards){ first, second }, &first_log, &second_log),
                   CTL_DURABLE);
  CU_ASSERT_STRING_EQUAL (first_log.data,
                          "GET /v1/versions/7 \n" POST_PATCH ("7") "GET /v1/versions/8 \n");
  CU_ASSERT_STRING_EQUAL (second_log.data, POST_PATCH ("7") "GET /v1/versions/8 \n");
  buffer_free (&first_log);
  buffer_free (&second_log);
}

/** The same with another operator's patch as number 8: the conflict is reported. */
static void
test_other_patch_after_lost_answer_is_conflict (void)
{
  const FakeReply first[]
      = { { 200, VERSION ("7", "6", "active", "{}") }, { 0, "" }, { 0, "" }, { 0, NULL } };
  const FakeReply second[]
      = { { 409, CONFLICT }, { 200, VERSION ("8", "7", "active", "{\"teams\":{}}") }, { 0, NULL } };
  Buffer first_log;
  Buffer second_log;

  CU_ASSERT_EQUAL (withdraw_at_two (&(TwoStewards){ first, second }, &first_log, &second_log),
                   CTL_CONFLICT);
  buffer_free (&first_log);
  buffer_free (&second_log);
}

/** A steward that cannot reach the platform answers 503; the next one may reach it. */
static void
test_503_tries_next_steward (void)
{
  const FakeReply first[] = { { 200, VERSION ("7", "6", "active", "{}") },
                              { 503, "{\"error\":{\"reason\":\"platform_down\"}}" },
                              { 0, NULL } };
  const FakeReply second[] = { { 200, FAKE_ACCEPTED }, { 0, NULL } };
  Buffer first_log;
  Buffer second_log;

  CU_ASSERT_EQUAL (withdraw_at_two (&(TwoStewards){ first, second }, &first_log, &second_log),
                   CTL_DONE);
  CU_ASSERT_STRING_EQUAL (second_log.data, POST_PATCH ("7"));
  buffer_free (&first_log);
  buffer_free (&second_log);
}

/** Like lost_answer_of_own_patch_is_resolved, but the first steward reports an unknown outcome. */
static void
test_503_unknown_is_resolved (void)
{
  const FakeReply first[] = { { 200, VERSION ("7", "6", "active", "{}") },
                              { 503, "{\"error\":{\"reason\":\"unknown\"}}" },
                              { 503, "{}" },
                              { 0, NULL } };
  const FakeReply second[]
      = { { 409, CONFLICT }, { 200, VERSION ("8", "7", "withdrawn", WITHDRAWAL) }, { 0, NULL } };
  Buffer first_log;
  Buffer second_log;

  CU_ASSERT_EQUAL (withdraw_at_two (&(TwoStewards){ first, second }, &first_log, &second_log),
                   CTL_DURABLE);
  buffer_free (&first_log);
  buffer_free (&second_log);
}

static void
test_unreachable_steward_is_skipped (void)
{
  const FakeReply replies[]
      = { { 200, "{\"vm\":\"vm-1\",\"members\":[],\"brakes\":[]}" }, { 0, NULL } };
  FakeSteward steward;
  Ctl ctl = { 0 };

  fake_steward_add (&ctl, suite_free_port ());
  CU_ASSERT_EQUAL (ctl_status (&ctl, &withdrawal), CTL_NO_STEWARD);
  fake_steward_start (&steward, replies);
  fake_steward_add (&ctl, steward.port);
  CU_ASSERT_EQUAL (ctl_status (&ctl, &withdrawal), CTL_DONE);
  fake_steward_stop (&steward);
  buffer_free (&steward.log);
}

static void
test_version_create_submits_document (void)
{
  char path[SUITE_PATH_SIZE];
  const FakeReply first[] = { { 200, "{\"head\":0}" }, { 200, FAKE_ACCEPTED }, { 0, NULL } };
  const FakeReply next[] = { { 200, "{\"head\":7}" },
                             { 200, VERSION ("7", "6", "active", "{}") },
                             { 200, FAKE_ACCEPTED },
                             { 0, NULL } };
  const FakeReply lost[]
      = { { 200, "{\"head\":0}" }, { 503, "{\"error\":{\"reason\":\"unknown\"}}" }, { 0, NULL } };
  const FakeReply none[] = { { 0, NULL } };
  CtlArgs args = withdrawal;

  suite_file (path, "// the whole document\n" TEXT ("withdrawn"));
  args.operands[0] = path;
  fake_steward_expect (ctl_version_create, &args, next, CTL_DONE,
                       FAKE_GET_HEAD ("7") POST_PATCH ("7"));
  fake_steward_expect (ctl_version_create, &args, first, CTL_DONE,
                       "GET /v1/versions?limit=1 \n" POST_DOCUMENT);
  fake_steward_expect (ctl_version_create, &args, lost, CTL_REFUSED,
                       "GET /v1/versions?limit=1 \n" POST_DOCUMENT);
  unlink (path);
  suite_file (path, "{\"models\":{\"m\":{}}}");
  fake_steward_expect (ctl_version_create, &args, none, CTL_REFUSED, "");
  unlink (path);
}

static void
test_audit_since_is_checked (void)
{
  const FakeReply replies[] = { { 200, "{\"entries\":[{\"key\":\"17-ab\"}]}" }, { 0, NULL } };
  static const char *const wrong[] = { "2x", "-1h", "2hh", "100001d", "a b", "KEY", "2026-12-02T" };
  CtlArgs args = { .limit = 1, .since = "1796238095676-ceae4d52527d520a" };

  fake_steward_expect (ctl_audit, &args, replies, CTL_DONE,
                       "GET /v1/audit?from=1796238095676-ceae4d52527d520a&limit=1 \n");
  for (size_t i = 0; i < sizeof wrong / sizeof wrong[0]; i++)
    {
      args.since = wrong[i];
      fake_steward_expect (ctl_audit, &args, replies, CTL_USAGE, "");
    }
  args.since = "100000d";
  fake_steward_expect (ctl_audit, &args, replies, CTL_DONE,
                       "GET /v1/audit?from=0000000000000&limit=1 \n");
}

static void
test_settings_check_detects_kind (void)
{
  static const struct
  {
    const char *text;
    CtlExit expected;
  } files[] = {
    { TEXT ("active"), CTL_DONE },
    { TEXT ("live"), CTL_REFUSED },
    { "{\"callers\":{}}", CTL_REFUSED },
    { "{\"rpc\":{}}", CTL_REFUSED },
    { "[", CTL_REFUSED },
  };

  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    {
      char path[SUITE_PATH_SIZE];
      CtlArgs args = { .operands = { path }, .operand_count = 1 };
      Ctl ctl = { 0 };

      suite_file (path, files[i].text);
      CU_ASSERT_EQUAL (ctl_settings_check (&ctl, &args), files[i].expected);
      unlink (path);
    }
}

static void
check_cut_head (FakeServer *server, const FakeAnswer *cut)
{
  Ctl ctl = { 0 };

  (void)cut;
  fake_steward_add (&ctl, fake_server_port (server));
  CU_ASSERT_EQUAL (ctl_status (&ctl, &withdrawal), CTL_NO_STEWARD);
  CU_ASSERT_EQUAL (ctl_withdraw (&ctl, &withdrawal), CTL_NO_STEWARD);
}

/* Guards against a change that counts as made, though the steward stopped in the middle of its
 * answer's head. */
static void
test_cut_head_is_no_answer (void)
{
  fake_heads_each (check_cut_head);
}

/* Guards against the usage of another team, or of all, for a name with a meaning in URLs. */
static void
test_usage_names_any_team (void)
{
  static const struct
  {
    const char *team, *log;
  } teams[] = {
    { NULL, "GET /v1/usage \n" },
    { "workshop", "GET /v1/usage?team=workshop \n" },
    { "shop&x", "GET /v1/usage?team=shop&x \n" },
    { "shop#1", "GET /v1/usage?team=shop#1 \n" },
    { "%73hop", "GET /v1/usage?team=%73hop \n" },
    { "a+b c", "GET /v1/usage?team=a+b c \n" },
  };
  const FakeReply replies[] = { { 200, "{\"teams\":[]}" }, { 0, NULL } };

  for (size_t i = 0; i < SUITE_COUNT (teams); i++)
    {
      const CtlArgs args = { .team = teams[i].team };

      fake_steward_expect (ctl_usage, &args, replies, CTL_DONE, teams[i].log);
    }
}

static const SuiteCase cases[] = {
  { "withdraw_exit_statuses", test_withdraw_exit_statuses },
  { "withdraw_missing_or_withdrawn_version", test_withdraw_missing_or_withdrawn_version },
  { "withdraw_retried_after_conflict", test_withdraw_retried_after_conflict },
  { "withdraw_with_base_reports_conflict", test_withdraw_with_base_reports_conflict },
  { "lost_answer_of_own_patch_is_resolved", test_lost_answer_of_own_patch_is_resolved },
  { "other_patch_after_lost_answer_is_conflict", test_other_patch_after_lost_answer_is_conflict },
  { "503_tries_next_steward", test_503_tries_next_steward },
  { "503_unknown_is_resolved", test_503_unknown_is_resolved },
  { "cut_head_is_no_answer", test_cut_head_is_no_answer },
  { "unreachable_steward_is_skipped", test_unreachable_steward_is_skipped },
  { "version_create_submits_document", test_version_create_submits_document },
  { "audit_since_is_checked", test_audit_since_is_checked },
  { "usage_names_any_team", test_usage_names_any_team },
  { "settings_check_detects_kind", test_settings_check_detects_kind },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "ctl_commands", cases, SUITE_COUNT (cases));
}
