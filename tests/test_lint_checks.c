/** Checks of a configuration before it is sent: src/lint_*.c, platform/wire_lint*.c and
 *  platform/wire_place*.c. */
#include "lint_document.h"
#include "suite.h"
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TIME_MAX_S 1.0 /* of the processor */
#define DEPTH      200000

/* One edit of the good document and the finding that it must lead to, alone. */
typedef struct
{
  const char *check; /* NULL: nothing is found */
  LintSeverity severity;
  unsigned line;
  const char *path;
  const char *find; /* NULL: the document is replaced as a whole */
  const char *replace;
} Edit;

static const Edit edits[] = {
  { NULL, 0, 0, "", "'Later'", "'Sooner'" },
  { NULL, 0, 0, "", "'SloMs': 1500, ", "" },
  { NULL, 0, 0, "", "'/y/'", "'/x/y/'" },
  { NULL, 0, 0, "", "12000", "12000.0" },
  { NULL, 0, 0, "", "'TrafficSplit': [{'Service': 's1', 'Weight': 90}, ", "'TrafficSplit': [" },
  /* What fronts refuse. */
  { "syntax", LINT_ERROR, 1, "", NULL, "" },
  { "syntax", LINT_ERROR, 1, "", NULL, "nonsense" },
  { "syntax", LINT_ERROR, 1, "", NULL, "[1]" },
  { "syntax", LINT_ERROR, 1, "", NULL, "null" },
  { "syntax", LINT_ERROR, 1, "", NULL, "17" },
  { "syntax", LINT_ERROR, 3, "", NULL, "{\n 'Version': 7,\n 'Rou" },
  { "syntax", LINT_ERROR, 2, "", "'Version': 7,", "'Version': 7,," },
  { "syntax", LINT_ERROR, 2, "", "'Version': 7,", "'Version' 7," },
  { "syntax", LINT_ERROR, 4, "", "'Host': 'a.example'", "'Host': a.example" },
  { "syntax", LINT_ERROR, 22, "", "\n ]\n}\n", "\n ]\n" },
  { "route", LINT_ERROR, 4, "Routes[0].Kind", "'streaming'", "'stream'" },
  { "route", LINT_ERROR, 4, "Routes[0].Kind", "'streaming'", "['streaming']" },
  { "route", LINT_ERROR, 7, "Routes[1].Kind", ", 'Kind': 'non_idempotent'", "" },
  { "route", LINT_ERROR, 7, "Routes[1].Prefix", "'/y/'", "'y/'" },
  { "route", LINT_ERROR, 7, "Routes[1].Prefix", "'/y/'", "''" },
  { "route", LINT_ERROR, 7, "Routes[1].Prefix", "'/y/'", "7" },
  { "route", LINT_ERROR, 7, "Routes[1].Prefix", " 'Prefix': '/y/',", "" },
  /* What fronts read otherwise than it is written. */
  { "member", LINT_WARNING, 4, "Routes[0].Name", "'Name': 'r1', ", "" },
  { "member", LINT_WARNING, 4, "Routes[0].Name", "'r1'", "''" },
  { "member", LINT_WARNING, 4, "Routes[0].Name", "'r1'", "{}" },
  { "member", LINT_WARNING, 5, "Routes[0].TimeoutMs", "12000", "'12000'" },
  { "member", LINT_WARNING, 5, "Routes[0].TimeoutMs", "12000", "12000.5" },
  { "member", LINT_WARNING, 5, "Routes[0].MaxAttempts", "'MaxAttempts': 3", "'MaxAttempts': 0" },
  { "member", LINT_WARNING, 5, "Routes[0].MaxAttempts", "'MaxAttempts': 3", "'MaxAttempts': -9" },
  { "member", LINT_WARNING, 8, "Routes[1].Public", "'Public': false", "'Public': 'no'" },
  { "member", LINT_WARNING, 6, "Routes[0].Sizes", "'small'", "17" },
  { "member", LINT_WARNING, 9, "Routes[1].TrafficSplit[0].Weight", "90}", "'90'}" },
  { "member", LINT_WARNING, 12, "Services[0].ColdPerS", "'ColdPerS': 18", "'ColdPerS': 1e300" },
  { "member", LINT_WARNING, 13, "Services[0].Engine.Slots", "48", "0" },
  { "member", LINT_WARNING, 13, "Services[0].Engine.Slots", "48", "-48" },
  { "member", LINT_WARNING, 17, "Limits.IdleTimeoutMs", "15000", "'15 s'" },
  { "member", LINT_WARNING, 19, "Tenants[0].Priority", "'Priority': 0", "'Priority': -3" },
  { "member", LINT_WARNING, 20, "Tenants[1].ApiKeys", "'k3'", "33" },
  { "letter_case", LINT_WARNING, 5, "Routes[0].timeoutMs", "'TimeoutMs'", "'timeoutMs'" },
  { "letter_case", LINT_WARNING, 9, "Routes[1].TrafficSplit[1].weight", "'s2', 'Weight': 10}",
    "'s2', 'weight': 10, 'Weight': 1}" },
  { "letter_case", LINT_WARNING, 16, "Limits.maxBodyBytes", "'MaxBodyBytes'", "'maxBodyBytes'" },
  { "repeated_member", LINT_WARNING, 5, "", "'TimeoutMs': 12000",
    "'TimeoutMs': 1, 'TimeoutMs': 9000" },
  { "trailing_text", LINT_WARNING, 23, "", "\n ]\n}\n", "\n ]\n}\n{}\n" },
  /* Entries that can't match. */
  { "version", LINT_WARNING, 2, "Version", "7", "0" },
  { "version", LINT_WARNING, 1, "Version", "'Version': 7,", "" },
  { "repeated_route", LINT_WARNING, 7, "Routes[1].Name", "'r2'", "'r1'" },
  { "repeated_team", LINT_WARNING, 20, "Tenants[1].Name", "'t2'", "'t1'" },
  { "repeated_service", LINT_WARNING, 14, "Services[2].Name", "{'Name': 's2'}",
    "{'Name': 's2'}, {'Name': 's2'}" },
  { "shadowed_route", LINT_WARNING, 7, "Routes[1]", "'/y/'", "'/x/'" },
  { "shadowed_route", LINT_WARNING, 7, "Routes[1]", "'Host': 'a.example', 'Prefix': '/y/'",
    "'Host': 'A.Example', 'Prefix': '/x/'" },
  { "host", LINT_WARNING, 4, "Routes[0].Host", "'a.example'", "'a.example:80'" },
  { "prefix", LINT_WARNING, 7, "Routes[1].Prefix", "'/y/'", "'/y?a=/'" },
  { "open_prefix", LINT_WARNING, 7, "Routes[1].Prefix", "'/y/'", "'/y'" },
  { "weight", LINT_WARNING, 9, "Routes[1].TrafficSplit[1].Weight", "10}", "-10}" },
  { "no_share", LINT_WARNING, 9, "Routes[1].TrafficSplit", "90}, {'Service': 's2', 'Weight': 10}",
    "0}, {'Service': 's2', 'Weight': 0}" },
  { "unknown_service", LINT_WARNING, 9, "Routes[1].TrafficSplit[0].Service", "[{'Service': 's1'",
    "[{'Service': 's3'" },
  { "unknown_service", LINT_WARNING, 6, "Routes[0].Service", "'Service': 's1'", "'Service': 's9'" },
  { "repeated_target", LINT_WARNING, 9, "Routes[1].TrafficSplit[2].Service", "10}]",
    "10}, {'Service': 's1', 'Weight': 1}]" },
  { "unused_service", LINT_WARNING, 14, "Services[2]", "{'Name': 's2'}",
    "{'Name': 's2'}, {'Name': 's3'}" },
  { "no_teams", LINT_NOTE, 1, "", "'Tenants'", "'Teams'" },
  { "no_keys", LINT_WARNING, 20, "Tenants[1]", "['k3']", "[]" },
  { "no_keys", LINT_WARNING, 20, "Tenants[1]", ", 'ApiKeys': ['k3']", "" },
  { "empty_key", LINT_WARNING, 20, "Tenants[1].ApiKeys[0]", "'k3'", "''" },
  { "shared_key", LINT_WARNING, 20, "Tenants[1].ApiKeys[0]", "'k3'", "'k2'" },
  { "shared_key", LINT_WARNING, 19, "Tenants[0].ApiKeys[1]", "'k2'", "'k1'" },
  /* Limits that contradict each other, or that nothing can keep. */
  { "range", LINT_WARNING, 8, "Routes[1].TimeoutMs", "'TimeoutMs': 1500", "'TimeoutMs': 0" },
  { "range", LINT_WARNING, 8, "Routes[1].TimeoutMs", "'TimeoutMs': 1500",
    "'TimeoutMs': 99999999999999999999" },
  { "range", LINT_WARNING, 5, "Routes[0].SloMs", "'SloMs': 1500", "'SloMs': -1" },
  { "range", LINT_WARNING, 5, "Routes[0].GapAimMs", "900", "0" },
  { "range", LINT_WARNING, 5, "Routes[0].Priority", "'Priority': 2", "'Priority': 10" },
  { "range", LINT_WARNING, 19, "Tenants[0].Priority", "'Priority': 0", "'Priority': 10" },
  { "range", LINT_WARNING, 13, "Services[0].Engine.Slots", "48", "4800000" },
  { "range", LINT_WARNING, 13, "Services[0].Engine.KvCapacity", "444000", "-1" },
  { "range", LINT_WARNING, 16, "Limits.MaxHeaderBytes", "16384", "16777216" },
  { "range", LINT_WARNING, 16, "Limits.MaxBodyBytes", "4194304", "4194304000000" },
  { "range", LINT_WARNING, 17, "Limits.HeaderTimeoutMs", "3000", "-3000" },
  { "range", LINT_WARNING, 17, "Limits.IdleTimeoutMs", "15000", "0" },
  { "objective", LINT_WARNING, 5, "Routes[0].SloMs", "'SloMs': 1500", "'SloMs': 12001" },
  { "pause", LINT_WARNING, 5, "Routes[0].GapAimMs", "900", "12001" },
  { "attempts", LINT_WARNING, 5, "Routes[0].MaxAttempts", "'MaxAttempts': 3", "'MaxAttempts': 11" },
  { "attempts_once", LINT_NOTE, 8, "Routes[1].MaxAttempts", "'MaxAttempts': 1",
    "'MaxAttempts': 2" },
  { "resumable", LINT_WARNING, 8, "Routes[1].Resumable", "'Public': false", "'Resumable': true" },
  { "cold_start", LINT_WARNING, 12, "Services[0].ColdPerS", "'ColdStartS': 3.5, ", "" },
};

static void
check_edit (const Edit *edit)
{
  char *text = lint_edited (edit->find, edit->replace);
  LintReport report = { .file = "f" };
  int count = lint_count (text, strlen (text), edit->check, &report);
  const LintFinding *finding = report.count > 0 ? &report.findings[0] : NULL;

  CU_ASSERT_EQUAL (count, edit->check ? 1 : 0);
  CU_ASSERT_EQUAL (report.count, edit->check ? 1 : 0);
  if (report.count != (edit->check ? 1u : 0u)
      || (finding
          && (finding->position.line != edit->line || strcmp (finding->path, edit->path) != 0)))
    lint_report_print_text (&report, stdout);
  if (finding && edit->check)
    {
      CU_ASSERT_EQUAL (finding->severity, edit->severity);
      CU_ASSERT_EQUAL (finding->position.line, edit->line);
      CU_ASSERT_STRING_EQUAL (finding->path, edit->path);
    }
  lint_report_free (&report);
  free (text);
}

/* A mistake that the check misses is found by callers; one whose place is wrong costs the operator
 * the time that the check should save. */
static void
test_each_mistake_is_found_once_at_its_place (void)
{
  CU_ASSERT (SUITE_COUNT (edits) >= 40);
  for (size_t i = 0; i < SUITE_COUNT (edits); i++)
    check_edit (&edits[i]);
}

/* All routes that fronts would refuse are found in one pass, not only the first. */
static void
test_all_faulty_routes_are_reported (void)
{
  char *text = lint_edited ("'/x/', 'Kind': 'streaming'", "'x', 'Kind': 'streaming'");
  char *second = strstr (text, "non_idempotent");
  LintReport report = { .file = "f" };

  second[0] = 'N';
  CU_ASSERT_EQUAL (lint_count (text, strlen (text), "route", &report), 2);
  CU_ASSERT_EQUAL (report.counts[LINT_ERROR], 2);
  lint_report_free (&report);
  free (text);
}

/* A report with a caller's key would put it into terminals and logs. */
static void
test_keys_are_not_printed (void)
{
  static const char *const replaced[] = {
    "'s3cret', 's3cret'",
    "'s3cret', 17",
    "'k1', 's3cret', 's3cret'",
  };

  for (size_t i = 0; i < SUITE_COUNT (replaced); i++)
    {
      char *text = lint_edited ("'k3'", replaced[i]);
      LintReport report = { .file = "f" };

      CU_ASSERT (lint_count (text, strlen (text), NULL, &report) >= 0);
      CU_ASSERT (report.count > 0);
      for (unsigned f = 0; f < report.count; f++)
        CU_ASSERT_PTR_NULL (strstr (report.findings[f].text, "s3cret"));
      lint_report_free (&report);
      free (text);
    }
}

/* Control characters in names would change what a terminal shows. */
static void
test_texts_are_printable (void)
{
  char *text = lint_edited ("'r2'", "'\\u001b[2J\xff'");
  LintReport report = { .file = "f" };

  strstr (text, "/y/")[1] = '?';
  CU_ASSERT_EQUAL (lint_count (text, strlen (text), "prefix", &report), 1);
  for (unsigned f = 0; f < report.count; f++)
    {
      CU_ASSERT_PTR_NULL (strchr (report.findings[f].text, '\x1b'));
      CU_ASSERT_PTR_NULL (strstr (report.findings[f].text, "\xff"));
    }
  lint_report_free (&report);
  free (text);
}

/* Nesting as deep as the text is long must not use up the stack. */
static void
test_deep_nesting_is_an_error (void)
{
  Buffer text = { 0 };
  LintReport report = { .file = "f" };

  buffer_add_string (&text, "{\"a\":");
  for (unsigned i = 0; i < DEPTH; i++)
    buffer_add_string (&text, "[");
  CU_ASSERT_EQUAL (lint_count (text.data, text.len, "syntax", &report), 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (report.findings[0].text, "too deeply"));
  lint_report_free (&report);
  buffer_free (&text);
}

static void
check_many (const char *format, const char *check, int expected)
{
  char *text = lint_many_routes (format);
  LintReport report = { .file = "f" };
  clock_t start = clock ();
  int count = lint_count (text, strlen (text), check, &report);

  lint_report_sort (&report);
  CU_ASSERT ((double)(clock () - start) / CLOCKS_PER_SEC < TIME_MAX_S);
  CU_ASSERT_EQUAL (count, expected);
  CU_ASSERT_EQUAL (report.count, (unsigned)expected);
  lint_report_free (&report);
  free (text);
}

/* Load: a configuration of 8,000 routes, good, or with a finding for each route. */
static void
test_many_routes_take_under_a_second (void)
{
  check_many ("\"Prefix\":\"/p", NULL, 0);
  check_many ("\"Prefix\":\"/p/\",\"Later\":\"", "shadowed_route", LINT_MANY_ROUTES - 1);
  check_many ("\"Prefix\":\"p", "route", LINT_MANY_ROUTES);
}

static const SuiteCase cases[] = {
  { "each_mistake_is_found_once_at_its_place", test_each_mistake_is_found_once_at_its_place },
  { "all_faulty_routes_are_reported", test_all_faulty_routes_are_reported },
  { "keys_are_not_printed", test_keys_are_not_printed },
  { "texts_are_printable", test_texts_are_printable },
  { "deep_nesting_is_an_error", test_deep_nesting_is_an_error },
  { "many_routes_take_under_a_second", test_many_routes_take_under_a_second },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "lint_checks", cases, SUITE_COUNT (cases));
}
