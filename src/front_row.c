#include "front_row.h"
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
