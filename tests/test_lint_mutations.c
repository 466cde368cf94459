/** Damaged configurations: the check doesn't crash and agrees with the fronts. */
#include "lint_document.h"
#include "suite.h"
#include "util_memory.h"
#include "wire_config.h"
#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#define SEED      53
#define MUTATIONS 12000
#define FLIPS_MAX 4

/* A text without terminating NUL, in memory of just its size. */
typedef struct
{
  char *text;
  size_t len;
} Text;

static Text
text_new (const char *a, size_t a_len, const char *b, size_t b_len, const char *c, size_t c_len)
{
  Text out = { .len = a_len + b_len + c_len };

  out.text = memory_alloc (out.len > 0 ? out.len : 1);
  memcpy (out.text, a, a_len);
  memcpy (out.text + a_len, b, b_len);
  memcpy (out.text + a_len + b_len, c, c_len);
  return out;
}

static size_t
below (gsl_rng *rng, size_t n)
{
  return gsl_rng_uniform_int (rng, n);
}

static Text
cut (gsl_rng *rng, const char *good, size_t len)
{
  return text_new (good, below (rng, len), "", 0, "", 0);
}

static Text
flip (gsl_rng *rng, const char *good, size_t len)
{
  Text out = text_new (good, len, "", 0, "", 0);

  for (size_t i = 1 + below (rng, FLIPS_MAX); i > 0; i--)
    out.text[below (rng, len)] ^= (char)(1 << below (rng, 8));
  return out;
}

static Text
replace_syntax (gsl_rng *rng, const char *good, size_t len)
{
  static const char marks[] = "{}[]\",:/*'\\-09eEnt.\n";
  size_t at = below (rng, len);

  return text_new (good, at, &marks[below (rng, sizeof marks - 1)], 1, good + at + 1, len - at - 1);
}

static Text
remove_part (gsl_rng *rng, const char *good, size_t len)
{
  size_t from = below (rng, len), to = from + below (rng, len - from);

  return text_new (good, from, "", 0, good + to, len - to);
}

/* Repeats what stands between two commas, at any comma. */
static Text
repeat_member (gsl_rng *rng, const char *good, size_t len)
{
  const char *start = memchr (good + below (rng, len / 2), ',', len / 2);
  const char *end = start ? memchr (start + 1, ',', (size_t)(good + len - start - 1)) : NULL;
  const char *at = memchr (good + below (rng, len / 2), ',', len / 2);

  if (!start || !end || !at)
    return text_new (good, len, "", 0, "", 0);
  return text_new (good, (size_t)(at - good), start, (size_t)(end - start), at,
                   (size_t)(good + len - at));
}

static Text (*const mutations[]) (gsl_rng *rng, const char *good, size_t len)
    = { cut, flip, replace_syntax, remove_part, repeat_member };

static void
compare_with (const FrontConfig *good, const Text *text, FILE *out)
{
  Status status;
  FrontConfig *config = wire_config_decode (text->text, text->len, &status);
  LintReport report = { .file = "f" };

  if (config)
    {
      lint_compare (good, config, &report);
      lint_compare (config, good, &report);
    }
  lint_report_print_text (&report, out);
  lint_report_free (&report);
  front_config_unref (config);
}

/* Documents that were damaged on their way, or by an editor. What the check passes fronts take, and
 * what they refuse it refuses. */
static void
test_damaged_documents_get_the_fronts_verdict (void)
{
  char *good = lint_edited ("", "");
  size_t len = strlen (good);
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  FILE *out = fopen ("/dev/null", "w");
  Status status;
  FrontConfig *config = wire_config_decode (good, len, &status);
  unsigned taken = 0, refused = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (out);
  gsl_rng_set (rng, SEED);
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      Text text = mutations[i % SUITE_COUNT (mutations)](rng, good, len);
      LintReport report = { .file = "f" };
      bool agrees = lint_count (text.text, text.len, NULL, &report) >= 0;

      CU_ASSERT (agrees);
      if (!agrees)
        printf ("mutation %u:\n%.*s\n", i, (int)text.len, text.text);
      lint_report_sort (&report);
      lint_report_print_json (&report, out);
      report.counts[LINT_ERROR] > 0 ? refused++ : taken++;
      lint_report_free (&report);
      compare_with (config, &text, out);
      free (text.text);
    }
  printf ("%u taken, %u refused\n", taken, refused);
  CU_ASSERT (taken > MUTATIONS / 10);
  CU_ASSERT (refused > MUTATIONS / 10);
  fclose (out);
  gsl_rng_free (rng);
  front_config_unref (config);
  free (good);
}

static const SuiteCase cases[] = {
  { "damaged_documents_get_the_fronts_verdict", test_damaged_documents_get_the_fronts_verdict },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "lint_mutations", cases, SUITE_COUNT (cases));
}
