/* Entries sorted by a text. */
#include "lint_index.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define ROOM_MIN 64 /* rows */

void
lint_index_add (LintIndex *list, const char *text, unsigned index, unsigned item)
{
  if (list->count == list->room)
    {
      list->room = list->room ? list->room * 2 : ROOM_MIN;
      list->rows = memory_grow (list->rows, list->room, sizeof list->rows[0]);
    }
  list->rows[list->count++] = (LintIndexed){ .text = text, .index = index, .item = item };
}

static int
compare (const void *a, const void *b)
{
  const LintIndexed *one = a, *other = b;
  int order = strcmp (one->text, other->text);

  if (order != 0)
    return order;
  if (one->index != other->index)
    return one->index < other->index ? -1 : 1;
  return one->item < other->item ? -1 : one->item > other->item;
}

void
lint_index_sort (LintIndex *list)
{
  if (list->count > 0)
    qsort (list->rows, list->count, sizeof list->rows[0], compare);
}

const LintIndexed *
lint_index_find (const LintIndex *list, const char *text)
{
  unsigned low = 0, high = list->count;

  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;

      if (strcmp (list->rows[middle].text, text) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  if (low == list->count || strcmp (list->rows[low].text, text) != 0)
    return NULL;
  return &list->rows[low];
}

const LintIndexed *
lint_index_first (const LintIndex *list, unsigned i)
{
  return lint_index_find (list, list->rows[i].text);
}

void
lint_index_free (LintIndex *list)
{
  free (list->rows);
  *list = (LintIndex){ 0 };
}
