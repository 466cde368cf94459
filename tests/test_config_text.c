/**
 * Canonical text, and merge patches (RFC 7396), applied and generated.
 */
#include "config.h"
#include "suite.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED        20261202
#define DOCUMENTS   4000
#define DEPTH_MAX   4
#define MEMBERS_MAX 5

typedef struct
{
  const char *document;
  const char *patch;
  const char *result;
} PatchCase;

/** The examples of RFC 7396, appendix A; the result is in canonical text. */
static const PatchCase patch_cases[] = {
  { "{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}" },
  { "{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}" },
  { "{\"a\":\"b\"}", "{\"a\":null}", "{}" },
  { "{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}" },
  { "{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}" },
  { "{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}" },
  { "{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}", "{\"a\":{\"b\":\"d\"}}" },
  { "{\"a\":[{\"b\":\"c\"}]}", "{\"a\":[1]}", "{\"a\":[1]}" },
  { "[\"a\",\"b\"]", "[\"c\",\"d\"]", "[\"c\",\"d\"]" },
  { "{\"a\":\"b\"}", "[\"c\"]", "[\"c\"]" },
  { "{\"a\":\"foo\"}", "\"bar\"", "\"bar\"" },
  { "{\"e\":null}", "{\"a\":1}", "{\"a\":1,\"e\":null}" },
  { "[1,2]", "{\"a\":\"b\",\"c\":null}", "{\"a\":\"b\"}" },
  { "{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}" },
  { "{}", "{ // with a comment\n}", "{}" },
};

static void
test_patch_apply_gives_rfc_results (void)
{
  for (size_t i = 0; i < sizeof patch_cases / sizeof patch_cases[0]; i++)
    {
      CheckList list = { 0 };
      char *result = config_patch_apply (patch_cases[i].document, patch_cases[i].patch, &list);

      CU_ASSERT_PTR_NOT_NULL (result);
      if (result == NULL)
        continue;
      CU_ASSERT_STRING_EQUAL (result, patch_cases[i].result);
      CU_ASSERT_EQUAL (list.count, 0);
      free (result);
    }
}

static void
test_invalid_text_is_refused (void)
{
  CheckList list = { 0 };

  CU_ASSERT_PTR_NULL (config_patch_apply ("{}", "{", &list));
  CU_ASSERT_EQUAL (list.count, 1);
  CU_ASSERT_PTR_NULL (config_patch_apply ("{", "{}", &list));
  CU_ASSERT_EQUAL (list.count, 2);
  CU_ASSERT_PTR_NULL (config_diff ("{}", "{\"a\":1,\"a\":2}", &list));
  CU_ASSERT_EQUAL (list.count, 3);
  CU_ASSERT_PTR_NULL (config_patch_apply ("{}", "{\"a\":\"\\u0000\"}", &list));
  CU_ASSERT_EQUAL (list.count, 4);
  CU_ASSERT_PTR_NULL (config_canonical ("{\"a\":-1e999}", 12, &list));
  CU_ASSERT_EQUAL (list.count, 5);
  check_free (&list);
}

static void
test_canonical_text_is_unique (void)
{
  static const char text[] = "{\"b\":[1.0,0.1,1e2,-0.0,0.30000000000000004,1e300],"
                             "\"a\":{\"z\":\"\\u00e9/\\\\u0000\",\"y\":true,\"x\":null}}";
  CheckList list = { 0 };
  char *canonical = config_canonical (text, sizeof text - 1, &list);

  CU_ASSERT_PTR_NOT_NULL (canonical);
  if (canonical == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (canonical, "{\"a\":{\"x\":null,\"y\":true,\"z\":\"\xc3\xa9/\\\\u0000\"},"
                                     "\"b\":[1,0.1,100,0,0.30000000000000004,1e+300]}");
  free (canonical);
}

static void random_value (gsl_rng *random, int depth, Buffer *out);

static void
random_object (gsl_rng *random, int depth, Buffer *out)
{
  bool first = true;

  buffer_add_string (out, "{");
  for (int name = 'a'; name < 'a' + MEMBERS_MAX; name++)
    {
      if (gsl_rng_uniform_int (random, 2) == 0)
        continue;
      buffer_printf (out, "%s\"%c\":", first ? "" : ",", name);
      random_value (random, depth + 1, out);
      first = false;
    }
  buffer_add_string (out, "}");
}

static void
random_array (gsl_rng *random, int depth, Buffer *out)
{
  unsigned long count = gsl_rng_uniform_int (random, 3);

  buffer_add_string (out, "[");
  for (unsigned long i = 0; i < count; i++)
    {
      buffer_add_string (out, i == 0 ? "" : ",");
      random_value (random, depth + 1, out);
    }
  buffer_add_string (out, "]");
}

/** Any value but null, which a merge patch can't set; from few values of each kind, so that parts
 *  of two documents are equal. */
static void
random_value (gsl_rng *random, int depth, Buffer *out)
{
  static const char *const strings[] = { "", "x", "\\u00e9\\\"", "null", "1" };
  unsigned long kind = gsl_rng_uniform_int (random, depth < DEPTH_MAX ? 7 : 4);

  if (kind == 0)
    buffer_printf (out, "%lu", gsl_rng_uniform_int (random, 3));
  else if (kind == 1)
    buffer_printf (out, "%.3g", gsl_rng_uniform (random) * 1e6);
  else if (kind == 2)
    buffer_printf (out, "\"%s\"", strings[gsl_rng_uniform_int (random, 5)]);
  else if (kind == 3)
    buffer_add_string (out, gsl_rng_uniform_int (random, 2) == 0 ? "true" : "false");
  else if (kind == 4)
    random_array (random, depth, out);
  else
    random_object (random, depth, out);
}

static void
check_pair (const char *a, const char *b)
{
  CheckList list = { 0 };
  char *expected = config_canonical (b, strlen (b), &list);
  char *patch = config_diff (a, b, &list);
  char *result = config_patch_apply (a, patch, &list);
  char *nothing = config_diff (b, result, &list);

  CU_ASSERT_EQUAL (list.count, 0);
  CU_ASSERT_STRING_EQUAL (result, expected);
  CU_ASSERT_STRING_EQUAL (nothing, "{}");
  if (strcmp (result, expected) != 0)
    printf ("\na %s\nb %s\npatch %s\nresult %s\n", a, b, patch, result);
  free (expected);
  free (patch);
  free (result);
  free (nothing);
}

/**
 * `version create` with a complete document sends its difference from the head. If the patch lost
 * or kept a wrong member, the document in force would differ from the one that the operator sent.
 */
static void
test_applied_diff_gives_the_second_document (void)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_mt19937);

  gsl_rng_set (random, SEED);
  for (int i = 0; i < DOCUMENTS; i++)
    {
      Buffer a = { 0 };
      Buffer b = { 0 };

      random_object (random, 0, &a);
      random_object (random, 0, &b);
      check_pair (a.data, b.data);
      buffer_free (&a);
      buffer_free (&b);
    }
  gsl_rng_free (random);
}

static const SuiteCase cases[] = {
  { "patch_apply_gives_rfc_results", test_patch_apply_gives_rfc_results },
  { "invalid_text_is_refused", test_invalid_text_is_refused },
  { "canonical_text_is_unique", test_canonical_text_is_unique },
  { "applied_diff_gives_the_second_document", test_applied_diff_gives_the_second_document },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "config_text", cases, SUITE_COUNT (cases));
}
