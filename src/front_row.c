#include "front_row.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define NUMBER_MASK (((int64_t)1 << STORE_ERA_SHIFT) - 1)

int64_t
store_version (int64_t era, int64_t number)
{
  return era << STORE_ERA_SHIFT | (number & NUMBER_MASK);
}

int64_t
store_version_number (int64_t version)
{
  return version & NUMBER_MASK;
}

int64_t
store_version_era (int64_t version)
{
  return version >> STORE_ERA_SHIFT;
}

void
store_answer_set_era (StoreAnswer *answer, int64_t era)
{
  for (unsigned i = 0; i < answer->count; i++)
    answer->rows[i].version = store_version (era, answer->rows[i].version);
  answer->version = store_version (era, answer->version);
}

void
store_answer_clear (StoreAnswer *answer)
{
  for (unsigned i = 0; i < answer->count; i++)
    {
      free (answer->rows[i].key);
      free (answer->rows[i].value);
    }
  free (answer->rows);
  buffer_free (&answer->last_key);
  memset (answer, 0, sizeof *answer);
}

bool
store_answer_gets_further (const StoreAnswer *page, Span last_key)
{
  return !page->has_more || span_compare (buffer_span (&page->last_key), last_key) > 0;
}

void
store_answer_append (StoreAnswer *all, StoreAnswer *part)
{
  all->rows = memory_grow (all->rows, all->count + part->count, sizeof *all->rows);
  memcpy (all->rows + all->count, part->rows, part->count * sizeof *part->rows);
  all->count += part->count;
  free (part->rows);
  buffer_free (&part->last_key);
  part->rows = NULL;
  part->count = 0;
}
