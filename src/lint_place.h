/**
 * A place in a routing configuration: a field of one of its entries. The names that the document
 * gives to entries and fields are known in platform/ only.
 */
#ifndef LINT_PLACE_H
#define LINT_PLACE_H

typedef enum
{
  LINT_DOCUMENT,
  LINT_LIMITS,
  LINT_ROUTE,
  LINT_TEAM,
  LINT_SERVICE
} LintPart;

typedef enum
{
  LINT_WHOLE, /**< the entry itself */
  LINT_LIST,  /**< all entries of its part */
  LINT_VERSION,
  LINT_NAME,
  LINT_HOST,
  LINT_PREFIX,
  LINT_KIND,
  LINT_TIMEOUT,
  LINT_OBJECTIVE,
  LINT_GAP,
  LINT_PRIORITY,
  LINT_ATTEMPTS,
  LINT_PUBLIC,
  LINT_RESUMABLE,
  LINT_TARGETS,
  LINT_TARGET_SERVICE, /**< of the target that LintPlace.item numbers */
  LINT_TARGET_WEIGHT,  /**< of the target that LintPlace.item numbers */
  LINT_MODELS,
  LINT_MODEL, /**< the one that LintPlace.item numbers */
  LINT_KEYS,
  LINT_KEY, /**< the one that LintPlace.item numbers */
  LINT_SLOTS,
  LINT_CACHE,
  LINT_COLD_START,
  LINT_COLD_RATE,
  LINT_HEADER_BYTES,
  LINT_BODY_BYTES,
  LINT_HEADER_TIMEOUT,
  LINT_IDLE_TIMEOUT,
  LINT_FIELDS /**< number of fields */
} LintField;

typedef struct
{
  LintPart part;
  LintField field;
  unsigned index; /**< of the route, team or service, from 0 */
  unsigned item;  /**< of a field that is a list, from 0 */
} LintPlace;

typedef struct
{
  unsigned line;   /**< from 1; 0: not known */
  unsigned column; /**< in bytes, from 1 */
} LintPosition;

#endif
