#include "ctl_table.h"
#include "util_buffer.h"
#include "util_memory.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CELL_SIZE  256 /* bytes */
#define COLUMN_GAP 2   /* spaces */

void
ctl_table_cell (CtlTable *table, const char *format, ...)
{
  char cell[CELL_SIZE];
  va_list args;

  va_start (args, format);
  vsnprintf (cell, sizeof cell, format, args);
  va_end (args);
  for (char *s = cell; *s != '\0'; s++)
    if ((unsigned char)*s < ' ' || *s == 0x7f)
      *s = '?';
  table->cells = memory_grow (table->cells, table->count + 1, sizeof *table->cells);
  table->cells[table->count++] = memory_strdup (cell);
}

static void
print_cell (const char *cell, size_t width, bool last)
{
  if (last)
    printf ("%s\n", cell);
  else
    printf ("%-*s", (int)(width + COLUMN_GAP), cell);
}

void
ctl_table_print (CtlTable *table)
{
  size_t widths[CTL_COLUMNS_MAX] = { 0 };

  for (size_t i = 0; i < table->count; i++)
    {
      size_t len = strlen (table->cells[i]);
      size_t column = i % table->columns;

      if (widths[column] < len)
        widths[column] = len;
    }
  for (size_t i = 0; i < table->count; i++)
    {
      size_t column = i % table->columns;

      print_cell (table->cells[i], widths[column], column == table->columns - 1);
      free (table->cells[i]);
    }
  free (table->cells);
  *table = (CtlTable){ 0 };
}

const char *
ctl_time (long long at_ms, char out[32])
{
  time_t seconds = (time_t)(at_ms / 1000);
  struct tm utc;

  if (at_ms <= 0 || gmtime_r (&seconds, &utc) == NULL || strftime (out, 32, "%F %TZ", &utc) == 0)
    return "-";
  return out;
}
