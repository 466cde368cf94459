#include "util_check.h"
#include <stdarg.h>
#include <stdio.h>

#define ERROR_MAX 512 /* bytes */

void
check_add (CheckList *list, const char *path, const char *format, ...)
{
  char message[ERROR_MAX];
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  if (list->file)
    buffer_printf (&list->text, "%s: ", list->file);
  if (path && *path)
    buffer_printf (&list->text, "%s: ", path);
  buffer_printf (&list->text, "%s\n", message);
  list->count++;
}

void
check_free (CheckList *list)
{
  buffer_free (&list->text);
  list->count = 0;
}
