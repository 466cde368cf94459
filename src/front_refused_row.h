/**
 * The row by which requests that crash backend servers stay refused although all fronts restart.
 */
#ifndef FRONT_REFUSED_ROW_H
#define FRONT_REFUSED_ROW_H

#include "choose_quarantine.h"
#include "util_buffer.h"
#include "util_span.h"

#define REFUSED_ROW_MAX 32 /**< requests in the row */

/** Times in the row are of the store's clock, now_ms is its time. */
void front_refused_row_encode (Buffer *out,
                               const QuarantineRefusal *refusals,
                               size_t count,
                               int64_t now_ms);
/** Requests that are still refused; their number. 0 if the text is not such a row. */
size_t front_refused_row_decode (Span text, QuarantineRefusal out[REFUSED_ROW_MAX], int64_t now_ms);

#endif
