/**
 * Checks a routing configuration before it is sent to the fronts, and compares it with another
 * version.
 */
#ifndef LINT_H
#define LINT_H

#include "front_config.h"
#include "lint_report.h"

/** A document with its decoded form. */
typedef struct
{
  WirePlaces *places;
  FrontConfig *config; /**< NULL: fronts refuse the document */
} LintDocument;

/** Adds what is wrong with the document to the report, which uses the document's places from then
 *  on. The text has to outlive the document. */
void lint_document (LintDocument *document, const char *text, size_t len, LintReport *report);
/** Adds what the newer configuration changes. */
void lint_compare (const FrontConfig *older, const FrontConfig *newer, LintReport *report);
void lint_document_clear (LintDocument *document);

#endif
