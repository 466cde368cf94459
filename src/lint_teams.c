/* Checks of teams and their keys. Keys are secrets: messages name only their places. */
#include "lint_checks.h"
#include "lint_index.h"

LINT_CHECK (lint_no_teams)
{
  if (config->team_count == 0)
    lint_report_add_at (report, check->severity, check->name, &(LintPlace){ .part = LINT_DOCUMENT },
                        "there are no teams: callers need no key on any route");
}

LINT_CHECK (lint_no_keys)
{
  for (unsigned i = 0; i < config->team_count; i++)
    {
      const LintPlace place = { .part = LINT_TEAM, .index = i };

      if (config->teams[i].key_count == 0)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "team \"%s\" has no key: nobody can call as this team",
                            config->teams[i].name);
    }
}

LINT_CHECK (lint_empty_keys)
{
  for (unsigned i = 0; i < config->team_count; i++)
    {
      const FrontTeam *team = &config->teams[i];

      for (unsigned k = 0; k < team->key_count; k++)
        {
          const LintPlace place = { .part = LINT_TEAM, .index = i, .field = LINT_KEY, .item = k };

          if (team->keys[k][0] == '\0')
            lint_report_add_at (report, check->severity, check->name, &place,
                                "a key of team \"%s\" is empty", team->name);
        }
    }
}

static void
report_shared (const LintCheck *check,
               const FrontConfig *config,
               const LintIndexed *first,
               const LintIndexed *row,
               LintReport *report)
{
  const LintPlace place
      = { .part = LINT_TEAM, .index = row->index, .field = LINT_KEY, .item = row->item };

  if (first->index == row->index)
    lint_report_add_at (report, check->severity, check->name, &place,
                        "key %u of team \"%s\" stands twice", row->item,
                        config->teams[row->index].name);
  else
    lint_report_add_at (report, check->severity, check->name, &place,
                        "key %u of team \"%s\" is also key %u of team \"%s\", for which its "
                        "callers are taken",
                        row->item, config->teams[row->index].name, first->item,
                        config->teams[first->index].name);
}

LINT_CHECK (lint_shared_keys)
{
  LintIndex keys = { 0 };

  for (unsigned i = 0; i < config->team_count; i++)
    {
      for (unsigned k = 0; k < config->teams[i].key_count; k++)
        lint_index_add (&keys, config->teams[i].keys[k], i, k);
    }
  lint_index_sort (&keys);
  for (unsigned i = 0; i < keys.count; i++)
    {
      const LintIndexed *first = lint_index_first (&keys, i);

      if (first != &keys.rows[i])
        report_shared (check, config, first, &keys.rows[i], report);
    }
  lint_index_free (&keys);
}
