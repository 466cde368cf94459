/* Compares the routes of two configurations: which are added, removed, and what changes in one. */
#include "lint_diff.h"
#include "util_buffer.h"
#include <stdlib.h>
#include <string.h>

static const char *const kinds[] = {
  [ROUTE_IDEMPOTENT] = "requests that may be repeated",
  [ROUTE_NON_IDEMPOTENT] = "requests that may run only once",
  [ROUTE_STREAM] = "streams",
};

static const char *
callers (const FrontRoute *route)
{
  return route->is_public ? "callers without a key too" : "callers with a key";
}

static void
route_added (const FrontRoute *route, unsigned index, LintReport *report)
{
  char *shares = lint_diff_shares_text (route);

  lint_report_add_at (report, LINT_CHANGE, "route",
                      &(LintPlace){ .part = LINT_ROUTE, .index = index },
                      "route \"%s\" is added: %s may call %s%s (%s), answered by %s", route->name,
                      callers (route), route->host, route->prefix, kinds[route->kind], shares);
  free (shares);
}

static void
route_removed (const FrontRoute *route, LintReport *report)
{
  lint_report_add_at (report, LINT_CHANGE, "route",
                      &(LintPlace){ .part = LINT_ROUTE, .field = LINT_LIST },
                      "route \"%s\" is removed: nobody may call %s%s by it any more", route->name,
                      route->host, route->prefix);
}

static void
diff_access (const FrontRoute *before, const FrontRoute *after, unsigned index, LintReport *report)
{
  const LintPlace place = { .part = LINT_ROUTE, .index = index, .field = LINT_PUBLIC };

  if (!before->is_public && after->is_public)
    lint_report_add_at (report, LINT_CHANGE, "route", &place,
                        "route \"%s\" becomes public: callers need no key any more", after->name);
  if (before->is_public && !after->is_public)
    lint_report_add_at (report, LINT_CHANGE, "route", &place,
                        "route \"%s\" is public no more: callers need a key", after->name);
}

static void
diff_address (const FrontRoute *before, const FrontRoute *after, unsigned index, LintReport *report)
{
  const LintPlace place = { .part = LINT_ROUTE, .index = index, .field = LINT_PREFIX };

  if (strcmp (before->host, after->host) != 0 || strcmp (before->prefix, after->prefix) != 0)
    lint_report_add_at (report, LINT_CHANGE, "route", &place,
                        "route \"%s\" moves from %s%s to %s%s", after->name, before->host,
                        before->prefix, after->host, after->prefix);
}

static void
diff_kind (const FrontRoute *before, const FrontRoute *after, unsigned index, LintReport *report)
{
  const LintPlace kind = { .part = LINT_ROUTE, .index = index, .field = LINT_KIND };
  const LintPlace resumable = { .part = LINT_ROUTE, .index = index, .field = LINT_RESUMABLE };

  if (before->kind != after->kind)
    lint_report_add_at (report, LINT_CHANGE, "route", &kind, "route \"%s\" takes %s instead of %s",
                        after->name, kinds[after->kind], kinds[before->kind]);
  if (before->resumable != after->resumable)
    lint_report_add_at (report, LINT_CHANGE, "route", &resumable,
                        "route \"%s\": streams may %s be resumed at another server", after->name,
                        after->resumable ? "now" : "no longer");
}

static char *
models_text (const FrontRoute *route)
{
  Buffer text = { 0 };

  if (route->model_count == 0)
    buffer_add_string (&text, "those that callers name");
  for (unsigned i = 0; i < route->model_count; i++)
    buffer_printf (&text, "%s%s", i > 0 ? ", " : "", route->models[i]);
  return text.data;
}

static void
diff_models (const FrontRoute *before, const FrontRoute *after, unsigned index, LintReport *report)
{
  const LintPlace place = { .part = LINT_ROUTE, .index = index, .field = LINT_MODELS };
  char *old = models_text (before);
  char *new = models_text (after);

  if (strcmp (old, new) != 0)
    lint_report_add_at (report, LINT_CHANGE, "route", &place,
                        "route \"%s\" uses the models %s; before: %s", after->name, new, old);
  free (old);
  free (new);
}

void
lint_diff_route (const FrontRoute *before,
                 const FrontRoute *after,
                 unsigned index,
                 LintReport *report)
{
  const LintNumber numbers[] = {
    { LINT_TIMEOUT, "the time-out", " ms", before->timeout_ms, after->timeout_ms },
    { LINT_OBJECTIVE, "the objective", " ms", before->objective_ms, after->objective_ms },
    { LINT_GAP, "the longest pause", " ms", before->gap_ms, after->gap_ms },
    { LINT_ATTEMPTS, "the number of attempts", "", before->attempts_max, after->attempts_max },
    { LINT_PRIORITY, "the priority (0 is the most urgent)", "", before->priority, after->priority },
  };
  char *subject;

  if (asprintf (&subject, "route \"%s\"", after->name) < 0)
    abort ();
  diff_access (before, after, index, report);
  diff_address (before, after, index, report);
  diff_kind (before, after, index, report);
  diff_models (before, after, index, report);
  lint_diff_numbers (subject, LINT_ROUTE, index, numbers, sizeof numbers / sizeof numbers[0],
                     report);
  lint_diff_shares (before, after, index, report);
  free (subject);
}

static void
index_routes (const FrontConfig *config, LintIndex *names)
{
  for (unsigned i = 0; i < config->route_count; i++)
    lint_index_add (names, config->routes[i].name, i, 0);
  lint_index_sort (names);
}

void
lint_diff_routes (const FrontConfig *older, const FrontConfig *newer, LintReport *report)
{
  LintIndex before = { 0 }, after = { 0 };

  index_routes (older, &before);
  index_routes (newer, &after);
  for (unsigned i = 0; i < before.count; i++)
    {
      if (!lint_diff_counterpart (&before, &after, i))
        route_removed (&older->routes[before.rows[i].index], report);
    }
  for (unsigned i = 0; i < after.count; i++)
    {
      const LintIndexed *found = lint_diff_counterpart (&after, &before, i);
      unsigned index = after.rows[i].index;

      if (found)
        lint_diff_route (&older->routes[found->index], &newer->routes[index], index, report);
      else
        route_added (&newer->routes[index], index, report);
    }
  lint_index_free (&before);
  lint_index_free (&after);
}
