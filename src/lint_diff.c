/* Compares two configurations: version, limits and services. */
#include "lint_diff.h"
#include "lint.h"
#include <math.h>
#include <stdlib.h>

#define PERCENT 100

/* With the change in per cent where the number has a unit. */
static void
diff_number (const char *subject, const LintPlace *place, const LintNumber *n, LintReport *report)
{
  const char *verb = n->after > n->before ? "rises" : "falls";

  if (n->before > 0 && n->unit[0] != '\0')
    lint_report_add_at (report, LINT_CHANGE, "limit", place,
                        "%s: %s %s from %lld to %lld%s (%+.0f%%)", subject, n->what, verb,
                        (long long)n->before, (long long)n->after, n->unit,
                        PERCENT * ((double)n->after - (double)n->before) / (double)n->before);
  else
    lint_report_add_at (report, LINT_CHANGE, "limit", place, "%s: %s %s from %lld to %lld%s",
                        subject, n->what, verb, (long long)n->before, (long long)n->after, n->unit);
}

void
lint_diff_numbers (const char *subject,
                   LintPart part,
                   unsigned index,
                   const LintNumber *numbers,
                   size_t count,
                   LintReport *report)
{
  for (size_t i = 0; i < count; i++)
    {
      const LintPlace place = { .part = part, .index = index, .field = numbers[i].field };

      if (numbers[i].before != numbers[i].after)
        diff_number (subject, &place, &numbers[i], report);
    }
}

const LintIndexed *
lint_diff_counterpart (const LintIndex *list, const LintIndex *other, unsigned i)
{
  const LintIndexed *row = &list->rows[i];
  size_t rank = (size_t)(row - lint_index_first (list, i));
  const LintIndexed *first = lint_index_find (other, row->text);
  const LintIndexed *found = first ? first + rank : NULL;

  if (!found || found >= other->rows + other->count
      || lint_index_find (other, found->text) != first)
    return NULL;
  return found;
}

static void
diff_version (const FrontConfig *older, const FrontConfig *newer, LintReport *report)
{
  const LintPlace place = { .part = LINT_DOCUMENT, .field = LINT_VERSION };

  if (newer->version > older->version)
    lint_report_add_at (report, LINT_CHANGE, "version", &place, "version %lld follows %lld",
                        (long long)newer->version, (long long)older->version);
  else
    lint_report_add_at (report, LINT_ERROR, "version_order", &place,
                        "version %lld is not above %lld: fronts keep the version that they have",
                        (long long)newer->version, (long long)older->version);
}

static void
diff_limits (const FrontLimits *before, const FrontLimits *after, LintReport *report)
{
  const LintNumber numbers[] = {
    { LINT_HEADER_BYTES, "the largest head", " bytes", before->header_max_bytes,
      after->header_max_bytes },
    { LINT_BODY_BYTES, "the largest body", " bytes", before->body_max_bytes,
      after->body_max_bytes },
    { LINT_HEADER_TIMEOUT, "the wait for a head", " ms", before->header_timeout_ms,
      after->header_timeout_ms },
    { LINT_IDLE_TIMEOUT, "the idle time of connections", " ms", before->idle_timeout_ms,
      after->idle_timeout_ms },
  };

  lint_diff_numbers ("all callers", LINT_LIMITS, 0, numbers, sizeof numbers / sizeof numbers[0],
                     report);
}

static void
diff_service (const FrontService *before,
              const FrontService *after,
              unsigned index,
              LintReport *report)
{
  const LintPlace place = { .part = LINT_SERVICE, .index = index, .field = LINT_COLD_RATE };
  const LintNumber numbers[] = {
    { LINT_SLOTS, "the number of slots of a server", "", before->slots, after->slots },
    { LINT_CACHE, "the model cache of a server", " tokens", before->kv_tokens, after->kv_tokens },
    { LINT_COLD_START, "the cold time", " ms", before->cold_start_ms, after->cold_start_ms },
  };
  char *subject;

  if (asprintf (&subject, "service \"%s\"", after->name) < 0)
    abort ();
  lint_diff_numbers (subject, LINT_SERVICE, index, numbers, sizeof numbers / sizeof numbers[0],
                     report);
  if (fabs (before->cold_per_s - after->cold_per_s) > 0)
    lint_report_add_at (report, LINT_CHANGE, "limit", &place,
                        "%s: a cold server takes %g instead of %g requests per second", subject,
                        after->cold_per_s, before->cold_per_s);
  free (subject);
}

static void
index_services (const FrontConfig *config, LintIndex *names)
{
  for (unsigned i = 0; i < config->service_count; i++)
    lint_index_add (names, config->services[i].name, i, 0);
  lint_index_sort (names);
}

void
lint_diff_services (const FrontConfig *older, const FrontConfig *newer, LintReport *report)
{
  const LintPlace list = { .part = LINT_SERVICE, .field = LINT_LIST };
  LintIndex before = { 0 }, after = { 0 };

  index_services (older, &before);
  index_services (newer, &after);
  for (unsigned i = 0; i < before.count; i++)
    {
      if (!lint_diff_counterpart (&before, &after, i))
        lint_report_add_at (report, LINT_CHANGE, "service", &list, "service \"%s\" is removed",
                            before.rows[i].text);
    }
  for (unsigned i = 0; i < after.count; i++)
    {
      const LintIndexed *found = lint_diff_counterpart (&after, &before, i);
      unsigned index = after.rows[i].index;

      if (found)
        diff_service (&older->services[found->index], &newer->services[index], index, report);
      else
        lint_report_add_at (report, LINT_CHANGE, "service",
                            &(LintPlace){ .part = LINT_SERVICE, .index = index },
                            "service \"%s\" is added", after.rows[i].text);
    }
  lint_index_free (&before);
  lint_index_free (&after);
}

void
lint_compare (const FrontConfig *older, const FrontConfig *newer, LintReport *report)
{
  diff_version (older, newer, report);
  diff_limits (&older->limits, &newer->limits, report);
  lint_diff_teams (older, newer, report);
  lint_diff_routes (older, newer, report);
  lint_diff_services (older, newer, report);
}
