/**
 * List of the errors found while validating a JSON document, each as a line
 * "FILE: PATH: expected …, found …". Validation continues after an error, so one pass reports all.
 */
#ifndef UTIL_CHECK_H
#define UTIL_CHECK_H

#include "util_buffer.h"

typedef struct
{
  const char *file; /**< file name printed before each error; may be NULL */
  unsigned count;
  Buffer text; /**< one line per error */
} CheckList;

/** Adds an error. path is the location in the document, e.g. "teams.tender-desk.allow[0].model"; it
 * may be NULL. */
void check_add (CheckList *list, const char *path, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void check_free (CheckList *list);

#endif
