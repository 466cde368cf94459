#include "front_row.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

void
store_answer_clear (StoreAnswer *answer)
{
  for (unsigned i = 0; i < answer->count; i++)
    {
      free (answer->rows[i].key);
      free (answer->rows[i].value);
    }
  free (answer->rows);
  memset (answer, 0, sizeof *answer);
}

void
store_answer_append (StoreAnswer *all, StoreAnswer *part)
{
  all->rows = memory_grow (all->rows, all->count + part->count, sizeof *all->rows);
  memcpy (all->rows + all->count, part->rows, part->count * sizeof *part->rows);
  all->count += part->count;
  free (part->rows);
  part->rows = NULL;
  part->count = 0;
}
