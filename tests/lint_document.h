/**
 * A good configuration for the tests of lovage-config, and edits of it.
 */
#ifndef LINT_DOCUMENT_H
#define LINT_DOCUMENT_H

#include "lint.h"

#define LINT_MANY_ROUTES 8000

/** Without errors, warnings and notes. Double quotes are written as single ones. */
extern const char lint_good_text[];

/** The good document with the first occurrence of find replaced, or replace alone if find is NULL;
 *  freed with free. */
char *lint_edited (const char *find, const char *replace);
/** A document of LINT_MANY_ROUTES routes, each with these members, which end in a string that is
 *  continued by the route's number and a slash; freed with free. */
char *lint_many_routes (const char *members);
/** Number of findings of the check; -1 if the report has errors and fronts take the text, or the
 *  reverse. */
int lint_count (const char *text, size_t len, const char *check, LintReport *report);

#endif
