/**
 * What a caller's connection and libmicrohttpd's side of it know of each other: how many requests
 * have been answered to the end. Held by both sides; freed by whichever leaves last.
 */
#ifndef GATE_LINK_H
#define GATE_LINK_H

#include <stdint.h>

typedef struct GateLink GateLink;

/** Held once. */
GateLink *gate_link_new (void);
GateLink *gate_link_hold (GateLink *link);
/** NULL is allowed. */
void gate_link_release (GateLink *link);
/** All bytes of one more answer have been written. */
void gate_link_answered (GateLink *link);
int64_t gate_link_answers (const GateLink *link);

#endif
