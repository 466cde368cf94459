#include "ctl.h"
#include <stdarg.h>
#include <stdio.h>

#define LINE_SIZE 1024 /* bytes */

void
ctl_error (const char *format, ...)
{
  char line[LINE_SIZE];
  va_list args;

  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  fprintf (stderr, "lovagectl: %s\n", line);
}
