/**
 * Parts of the comparison of two configurations, in an operator's words.
 */
#ifndef LINT_DIFF_H
#define LINT_DIFF_H

#include "front_config.h"
#include "lint_index.h"
#include "lint_report.h"

/** A number that may differ, e.g. a limit. */
typedef struct
{
  LintField field;
  const char *what; /**< e.g. "the time-out" */
  const char *unit; /**< e.g. " ms" */
  int64_t before, after;
} LintNumber;

/** Adds a change with a subject such as "route \"r1\"" for each number that differs. */
void lint_diff_numbers (const char *subject,
                        LintPart part,
                        unsigned index,
                        const LintNumber *numbers,
                        size_t count,
                        LintReport *report);
/** The entry of a sorted list that corresponds to row i of another: of entries with equal names the
 *  first to the first, and so on; NULL if there is none. */
const LintIndexed *
lint_diff_counterpart (const LintIndex *list, const LintIndex *other, unsigned i);

void lint_diff_routes (const FrontConfig *older, const FrontConfig *newer, LintReport *report);
void lint_diff_route (const FrontRoute *before,
                      const FrontRoute *after,
                      unsigned index,
                      LintReport *report);
/** What a route's targets get, e.g. "s1 90%, s2 10%"; freed with free. */
char *lint_diff_shares_text (const FrontRoute *route);
void lint_diff_shares (const FrontRoute *before,
                       const FrontRoute *after,
                       unsigned index,
                       LintReport *report);
void lint_diff_teams (const FrontConfig *older, const FrontConfig *newer, LintReport *report);
void lint_diff_services (const FrontConfig *older, const FrontConfig *newer, LintReport *report);

#endif
