/**
 * The row by which a front registers with the store, for those that start and know nobody.
 */
#ifndef FRONT_MEMBER_H
#define FRONT_MEMBER_H

#include "util_buffer.h"
#include "util_span.h"
#include <stdbool.h>

#define MEMBER_TEXT_MAX 128

typedef struct
{
  char vm[MEMBER_TEXT_MAX];
  char failure_domain[MEMBER_TEXT_MAX];
} FrontMember;

void front_member_encode (Buffer *out, const char *vm, const char *failure_domain);
/** False if it isn't such a row. */
bool front_member_decode (Span text, FrontMember *out);

#endif
