/* Checks for names that stand twice in a configuration. */
#include "lint_checks.h"
#include "lint_index.h"

static void
report_repeated (const LintCheck *check, LintIndex *names, LintPart part, LintReport *report)
{
  lint_index_sort (names);
  for (unsigned i = 0; i < names->count; i++)
    {
      const LintIndexed *row = &names->rows[i], *first = lint_index_first (names, i);
      const LintPlace place = { .part = part, .index = row->index, .field = LINT_NAME };

      if (first != row && row->text[0])
        lint_report_add_at (report, check->severity, check->name, &place,
                            "the name \"%s\" is also that of entry %u", row->text, first->index);
    }
  lint_index_free (names);
}

LINT_CHECK (lint_repeated_routes)
{
  LintIndex names = { 0 };

  for (unsigned i = 0; i < config->route_count; i++)
    lint_index_add (&names, config->routes[i].name, i, 0);
  report_repeated (check, &names, LINT_ROUTE, report);
}

LINT_CHECK (lint_repeated_teams)
{
  LintIndex names = { 0 };

  for (unsigned i = 0; i < config->team_count; i++)
    lint_index_add (&names, config->teams[i].name, i, 0);
  report_repeated (check, &names, LINT_TEAM, report);
}

LINT_CHECK (lint_repeated_services)
{
  LintIndex names = { 0 };

  for (unsigned i = 0; i < config->service_count; i++)
    lint_index_add (&names, config->services[i].name, i, 0);
  report_repeated (check, &names, LINT_SERVICE, report);
}
