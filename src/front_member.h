/**
 * The row by which a front registers its address with the store, for fronts that start without
 * knowing any other.
 */
#ifndef FRONT_MEMBER_H
#define FRONT_MEMBER_H

#include "util_buffer.h"
#include "util_span.h"
#include <stdbool.h>

#define MEMBER_TEXT_MAX 128 /**< bytes, with the terminating NUL */

typedef struct
{
  char vm[MEMBER_TEXT_MAX];
  char failure_domain[MEMBER_TEXT_MAX];
} FrontMember;

void front_member_encode (Buffer *out, const char *vm, const char *failure_domain);
/** False if the text is not a valid row. */
bool front_member_decode (Span text, FrontMember *out);

#endif
