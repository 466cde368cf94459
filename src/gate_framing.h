/**
 * Whether a request's head leaves no doubt where its body ends and for which host it is.
 */
#ifndef GATE_FRAMING_H
#define GATE_FRAMING_H

#include <microhttpd.h>

/** NULL if it does; else what is wrong with it. */
const char *gate_framing_fault (struct MHD_Connection *connection, const char *version);

#endif
