/* Compares the teams of two configurations and the keys by which their callers are known. */
#include "lint_diff.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

/* Of one team. */
typedef struct
{
  unsigned added;
  unsigned removed;
} KeyChange;

static void
index_teams (const FrontConfig *config, LintIndex *names, LintIndex *keys)
{
  for (unsigned i = 0; i < config->team_count; i++)
    {
      lint_index_add (names, config->teams[i].name, i, 0);
      for (unsigned k = 0; k < config->teams[i].key_count; k++)
        lint_index_add (keys, config->teams[i].keys[k], i, k);
    }
  lint_index_sort (names);
  lint_index_sort (keys);
}

/* A key's callers are of the first team that has it. */
static bool
is_first (const LintIndex *keys, unsigned i)
{
  return i == 0 || strcmp (keys->rows[i - 1].text, keys->rows[i].text) != 0;
}

static void
report_moved (const FrontTeam *from,
              const FrontTeam *to,
              const LintIndexed *row,
              LintReport *report)
{
  const LintPlace place
      = { .part = LINT_TEAM, .index = row->index, .field = LINT_KEY, .item = row->item };

  lint_report_add_at (report, LINT_CHANGE, "key", &place,
                      "key %u of team \"%s\" was a key of team \"%s\": its callers change teams",
                      row->item, to->name, from->name);
}

static void
report_keys (const FrontTeam *team, unsigned index, const KeyChange *change, LintReport *report)
{
  const LintPlace place = { .part = LINT_TEAM, .index = index, .field = LINT_KEYS };

  if (change->added > 0)
    lint_report_add_at (report, LINT_CHANGE, "key", &place,
                        "team \"%s\": keys added: %u; callers with them may call", team->name,
                        change->added);
  if (change->removed > 0)
    lint_report_add_at (report, LINT_CHANGE, "key", &place,
                        "team \"%s\": keys removed: %u; callers with them are refused", team->name,
                        change->removed);
}

static void
diff_team (const FrontTeam *before, const FrontTeam *after, unsigned index, LintReport *report)
{
  const LintPlace place = { .part = LINT_TEAM, .index = index, .field = LINT_PRIORITY };

  if (before->priority == after->priority)
    return;
  if (after->priority < 0)
    lint_report_add_at (report, LINT_CHANGE, "limit", &place,
                        "team \"%s\" loses its priority of %lld: those of the routes hold",
                        after->name, (long long)before->priority);
  else if (before->priority < 0)
    lint_report_add_at (report, LINT_CHANGE, "limit", &place,
                        "team \"%s\" gets the priority %lld on all routes", after->name,
                        (long long)after->priority);
  else
    lint_report_add_at (report, LINT_CHANGE, "limit", &place,
                        "team \"%s\": the priority (0 is the most urgent) %s from %lld to %lld",
                        after->name, after->priority > before->priority ? "rises" : "falls",
                        (long long)before->priority, (long long)after->priority);
}

typedef struct
{
  const FrontConfig *older, *newer;
  LintIndex names[2], keys[2]; /* of the older and the newer configuration */
  KeyChange *before, *after;   /* for each team of them */
} Teams;

static void
count_keys (Teams *teams, LintReport *report)
{
  const LintIndex *old = &teams->keys[0], *new = &teams->keys[1];

  for (unsigned i = 0; i < new->count; i++)
    {
      const LintIndexed *row = &new->rows[i], *found = lint_index_find (old, row->text);
      const FrontTeam *to = &teams->newer->teams[row->index];

      if (!is_first (new, i))
        continue;
      if (!found)
        teams->after[row->index].added++;
      else if (strcmp (teams->older->teams[found->index].name, to->name) != 0)
        report_moved (&teams->older->teams[found->index], to, row, report);
    }
  for (unsigned i = 0; i < old->count; i++)
    {
      if (is_first (old, i) && !lint_index_find (new, old->rows[i].text))
        teams->before[old->rows[i].index].removed++;
    }
}

static void
report_removed (const Teams *teams, LintReport *report)
{
  const LintPlace list = { .part = LINT_TEAM, .field = LINT_LIST };

  for (unsigned i = 0; i < teams->names[0].count; i++)
    {
      const LintIndexed *row = &teams->names[0].rows[i];

      if (!lint_diff_counterpart (&teams->names[0], &teams->names[1], i))
        lint_report_add_at (report, LINT_CHANGE, "team", &list,
                            "team \"%s\" is removed; keys that are valid no more: %u", row->text,
                            teams->before[row->index].removed);
    }
}

static void
report_others (const Teams *teams, LintReport *report)
{
  for (unsigned i = 0; i < teams->names[1].count; i++)
    {
      const LintIndexed *row = &teams->names[1].rows[i];
      const LintIndexed *found = lint_diff_counterpart (&teams->names[1], &teams->names[0], i);
      const FrontTeam *team = &teams->newer->teams[row->index];
      KeyChange change = teams->after[row->index];

      if (!found)
        {
          lint_report_add_at (report, LINT_CHANGE, "team",
                              &(LintPlace){ .part = LINT_TEAM, .index = row->index },
                              "team \"%s\" is added; new keys: %u", team->name, change.added);
          continue;
        }
      change.removed = teams->before[found->index].removed;
      diff_team (&teams->older->teams[found->index], team, row->index, report);
      report_keys (team, row->index, &change, report);
    }
}

void
lint_diff_teams (const FrontConfig *older, const FrontConfig *newer, LintReport *report)
{
  Teams teams = {
    .older = older,
    .newer = newer,
    .before = memory_array (older->team_count + 1, sizeof *teams.before),
    .after = memory_array (newer->team_count + 1, sizeof *teams.after),
  };

  index_teams (older, &teams.names[0], &teams.keys[0]);
  index_teams (newer, &teams.names[1], &teams.keys[1]);
  if ((older->team_count == 0) != (newer->team_count == 0))
    lint_report_add_at (report, LINT_CHANGE, "team",
                        &(LintPlace){ .part = LINT_TEAM, .field = LINT_LIST },
                        newer->team_count == 0 ? "there are no teams any more: callers need no key"
                                               : "there are teams now: callers need a key on "
                                                 "routes that aren't public");
  count_keys (&teams, report);
  report_removed (&teams, report);
  report_others (&teams, report);
  for (unsigned i = 0; i < 2; i++)
    {
      lint_index_free (&teams.names[i]);
      lint_index_free (&teams.keys[i]);
    }
  free (teams.before);
  free (teams.after);
}
