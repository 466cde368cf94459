#include "util_assert.h"
#include "util_log.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define DETAIL_MAX 512 /* bytes */

void
invariant_failed (const char *file, int line, const char *condition, const char *format, ...)
{
  char detail[DETAIL_MAX];
  char quoted[DETAIL_MAX];
  va_list args;

  va_start (args, format);
  vsnprintf (detail, sizeof detail, format, args);
  va_end (args);
  log_msg (MSG_INVARIANT_FAILED, "file=\"%s\" line=\"%d\" condition=\"%s\" %s", file, line,
           log_quote (condition, quoted, sizeof quoted), detail);
  abort ();
}
