/** Comparison of two versions of a configuration: src/lint_diff*.c. */
#include "lint_document.h"
#include "suite.h"
#include "wire_config.h"
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TIME_MAX_S 1.0 /* of the processor */

/* One edit of the good document, which also gets the next version, and what is said of it. */
typedef struct
{
  const char *find;
  const char *replace;
  const char *said[3];
} Edit;

static const Edit edits[] = {
  { "'k3'", "'k4'", { "keys added: 1", "keys removed: 1" } },
  { "'k1', 'k2'", "'k1', 'k2', 'k5', 'k6'", { "team \"t1\": keys added: 2" } },
  { "'k2'], 'Priority': 0},\n  {'Name': 't2', 'ApiKeys': [",
    "'k9'], 'Priority': 0},\n  {'Name': 't2', 'ApiKeys': ['k2', ",
    { "key 0 of team \"t2\" was a key of team \"t1\": its callers change teams",
      "keys added: 1" } },
  { "  {'Name': 't2', 'ApiKeys': ['k3']}",
    "  {'Name': 't3', 'ApiKeys': ['k4']}",
    { "team \"t2\" is removed; keys that are valid no more: 1",
      "team \"t3\" is added; new keys: 1" } },
  { "'Tenants'",
    "'Teams'",
    { "there are no teams any more: callers need no key", "team \"t1\" is removed",
      "team \"t2\" is removed" } },
  { "'Priority': 0",
    "'Priority': 4",
    { "team \"t1\": the priority (0 is the most urgent) rises from 0 to 4" } },
  { ", 'Priority': 0}", "}", { "team \"t1\" loses its priority of 0" } },
  { "'Public': false",
    "'Public': true",
    { "route \"r2\" becomes public: callers need no key any more" } },
  { "'r2'",
    "'r3'",
    { "route \"r2\" is removed: nobody may call a.example/y/",
      "route \"r3\" is added: callers with a key may call a.example/y/ (requests that may run only "
      "once), answered by s1 90%, s2 10%" } },
  { "'/y/'", "'/z/'", { "route \"r2\" moves from a.example/y/ to a.example/z/" } },
  { "'non_idempotent'",
    "'idempotent'",
    { "route \"r2\" takes requests that may be repeated instead of requests that may run only "
      "once" } },
  { "'Resumable': true", "'Resumable': false", { "streams may no longer be resumed" } },
  { "['small', 'large']",
    "['large']",
    { "route \"r1\" uses the models large; before: small, large" } },
  { "12000", "6000", { "route \"r1\": the time-out falls from 12000 to 6000 ms (-50%)" } },
  { "'SloMs': 1500",
    "'SloMs': 3000",
    { "route \"r1\": the objective rises from 1500 to 3000 ms (+100%)" } },
  { "'MaxAttempts': 3",
    "'MaxAttempts': 2",
    { "route \"r1\": the number of attempts falls from 3 to 2" } },
  { "90}",
    "30}",
    { "the share of service \"s1\" falls from 90% to 75%",
      "the share of service \"s2\" rises from 10% to 25%" } },
  { "'Service': 's1', 'Later'",
    "'Service': 's2', 'Later'",
    { "route \"r1\": the share of service \"s1\" falls from 100% to 0%",
      "route \"r1\": the share of service \"s2\" rises from 0% to 100%" } },
  { "48", "96", { "service \"s1\": the number of slots of a server rises from 48 to 96" } },
  { "'ColdPerS': 18",
    "'ColdPerS': 9",
    { "a cold server takes 9 instead of 18 requests per second" } },
  { "{'Name': 's2'}", "{'Name': 's2'}, {'Name': 's3'}", { "service \"s3\" is added" } },
  { "{'Name': 's2'}",
    "{'Name': 's4'}",
    { "service \"s2\" is removed", "service \"s4\" is added" } },
  { "15000",
    "60000",
    { "all callers: the idle time of connections rises from 15000 to 60000 ms (+300%)" } },
};

static FrontConfig *
decode (const char *find, const char *replace)
{
  char *text = lint_edited (find, replace);
  Status status;
  FrontConfig *config = wire_config_decode (text, strlen (text), &status);

  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  free (text);
  return config;
}

static bool
is_said (const LintReport *report, const char *text)
{
  for (unsigned i = 0; i < report->count; i++)
    {
      if (strstr (report->findings[i].text, text))
        return true;
    }
  printf ("not said: %s\n", text);
  return false;
}

/* What changes who may call what, and which share goes where, has to be said, and nothing else. */
static void
test_each_change_is_said (void)
{
  FrontConfig *older = decode ("", "");

  for (size_t i = 0; i < SUITE_COUNT (edits); i++)
    {
      FrontConfig *newer = decode (edits[i].find, edits[i].replace);
      LintReport report = { .file = "f" };
      unsigned said = 0;

      newer->version = older->version + 1;
      lint_compare (older, newer, &report);
      for (; said < SUITE_COUNT (edits[i].said) && edits[i].said[said]; said++)
        CU_ASSERT (is_said (&report, edits[i].said[said]));
      CU_ASSERT (is_said (&report, "version 8 follows 7"));
      CU_ASSERT_EQUAL (report.count, said + 1);
      CU_ASSERT_EQUAL (report.counts[LINT_CHANGE], said + 1);
      if (report.count != said + 1)
        lint_report_print_text (&report, stdout);
      lint_report_free (&report);
      front_config_unref (newer);
    }
  front_config_unref (older);
}

/* Fronts silently keep the version in force if the new one has no higher number. */
static void
test_version_must_rise (void)
{
  static const struct
  {
    int64_t version;
    unsigned errors;
  } rows[] = { { 8, 0 }, { 7, 1 }, { 6, 1 }, { 0, 1 }, { -1, 1 }, { INT64_MAX, 0 } };
  FrontConfig *older = decode ("", ""), *newer = decode ("", "");

  for (size_t i = 0; i < SUITE_COUNT (rows); i++)
    {
      LintReport report = { .file = "f" };

      newer->version = rows[i].version;
      lint_compare (older, newer, &report);
      CU_ASSERT_EQUAL (report.counts[LINT_ERROR], rows[i].errors);
      CU_ASSERT_EQUAL (report.count, 1);
      lint_report_free (&report);
    }
  front_config_unref (older);
  front_config_unref (newer);
}

/* Load: two versions with 8,000 routes each, all of which change. */
static void
test_many_changes_take_under_a_second (void)
{
  char *texts[] = { lint_many_routes ("\"TimeoutMs\":1000,\"Prefix\":\"/p"),
                    lint_many_routes ("\"TimeoutMs\":2000,\"Prefix\":\"/p") };
  FrontConfig *configs[2];
  LintReport report = { .file = "f" };
  Status status;
  clock_t start = clock ();

  for (unsigned i = 0; i < 2; i++)
    {
      configs[i] = wire_config_decode (texts[i], strlen (texts[i]), &status);
      CU_ASSERT_PTR_NOT_NULL_FATAL (configs[i]);
      if (configs[i])
        configs[i]->version = i;
    }
  lint_compare (configs[0], configs[1], &report);
  CU_ASSERT ((double)(clock () - start) / CLOCKS_PER_SEC < TIME_MAX_S);
  CU_ASSERT_EQUAL (report.counts[LINT_CHANGE], 2 * LINT_MANY_ROUTES + 1);
  lint_report_free (&report);
  for (unsigned i = 0; i < 2; i++)
    {
      front_config_unref (configs[i]);
      free (texts[i]);
    }
}

static const SuiteCase cases[] = {
  { "each_change_is_said", test_each_change_is_said },
  { "version_must_rise", test_version_must_rise },
  { "many_changes_take_under_a_second", test_many_changes_take_under_a_second },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "lint_diff", cases, SUITE_COUNT (cases));
}
