/**
 * Counter of completely answered requests, shared by a caller's connection (GateFilter) and the
 * libmicrohttpd connection behind it. Reference-counted: the last holder frees it.
 */
#ifndef GATE_LINK_H
#define GATE_LINK_H

#include <stdint.h>

typedef struct GateLink GateLink;

/** Starts with one reference. */
GateLink *gate_link_new (void);
GateLink *gate_link_ref (GateLink *link);
/** NULL is allowed. */
void gate_link_unref (GateLink *link);
/** Counts one more answer, all bytes of which have been written. */
void gate_link_add_answer (GateLink *link);
int64_t gate_link_answer_count (const GateLink *link);

#endif
