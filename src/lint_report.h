/**
 * What a check of a configuration found: errors, warnings, notes and changes, each with its place.
 */
#ifndef LINT_REPORT_H
#define LINT_REPORT_H

#include "lint_place.h"
#include "wire_place.h"
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef enum
{
  LINT_CHANGE,  /**< differs from the other version */
  LINT_NOTE,    /**< allowed, and may surprise */
  LINT_WARNING, /**< fronts take it; it is probably a mistake */
  LINT_ERROR,   /**< fronts refuse the document and keep the version in force */
  LINT_SEVERITIES
} LintSeverity;

typedef struct
{
  LintSeverity severity;
  const char *check; /**< name of the check */
  LintPosition position;
  unsigned number; /**< in order of discovery */
  char *path;      /**< e.g. "Limits"; "" for the document */
  char *text;
} LintFinding;

/** The other version, with which the document was compared. */
typedef struct
{
  const char *source; /**< file, or address of the platform's store */
  bool is_in_force;   /**< it is the store's */
  int64_t version;
} LintCompared;

typedef struct
{
  const char *file;             /**< name of the document in messages */
  const LintCompared *compared; /**< NULL: with none */
  const WirePlaces *places;     /**< of the document; NULL: it can't be read */
  unsigned count, room;
  LintFinding *findings;
  unsigned counts[LINT_SEVERITIES];
} LintReport;

void lint_report_add (LintReport *report,
                      LintSeverity severity,
                      const char *check,
                      const char *path,
                      LintPosition position,
                      const char *format,
                      ...) __attribute__ ((format (printf, 6, 7)));
void lint_report_add_at (LintReport *report,
                         LintSeverity severity,
                         const char *check,
                         const LintPlace *place,
                         const char *format,
                         ...) __attribute__ ((format (printf, 5, 6)));
/** Orders the findings by their position. */
void lint_report_sort (LintReport *report);
void lint_report_free (LintReport *report);

/** A line for each finding and one with their numbers. */
void lint_report_print_text (const LintReport *report, FILE *out);
/** One JSON object. */
void lint_report_print_json (const LintReport *report, FILE *out);

#endif
