/**
 * Tables on standard output, with columns as wide as their widest cell.
 */
#ifndef CTL_TABLE_H
#define CTL_TABLE_H

#include <stdbool.h>
#include <stddef.h>

#define CTL_COLUMNS_MAX 8

typedef struct
{
  char **cells; /**< row by row; the first row is the heading */
  size_t count;
  size_t columns;
} CtlTable;

/** Adds one cell; rows are filled from left to right. Control characters are replaced by '?'. */
void ctl_table_cell (CtlTable *table, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Prints the table to standard output and frees its cells. */
void ctl_table_print (CtlTable *table);
/** Formats a wall-clock time in ms as UTC; returns out, or "-" if at_ms <= 0. */
const char *ctl_time (long long at_ms, char out[32]);

#endif
