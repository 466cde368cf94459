/**
 * Entries sorted by a text, to find equal ones without comparing each with each.
 */
#ifndef LINT_INDEX_H
#define LINT_INDEX_H

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  const char *text; /**< owned by whoever filled the list */
  unsigned index;   /**< of the entry */
  unsigned item;    /**< within the entry */
} LintIndexed;

typedef struct
{
  LintIndexed *rows;
  unsigned count, room;
} LintIndex;

void lint_index_add (LintIndex *list, const char *text, unsigned index, unsigned item);
/** Sorts by text, equal texts in the order of entries and items. */
void lint_index_sort (LintIndex *list);
/** The first with this text in a sorted list; NULL if there is none. */
const LintIndexed *lint_index_find (const LintIndex *list, const char *text);
/** The first with the text of row i of a sorted list, found in O(log n). */
const LintIndexed *lint_index_first (const LintIndex *list, unsigned i);
void lint_index_free (LintIndex *list);

#endif
