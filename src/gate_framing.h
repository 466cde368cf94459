/**
 * Follows the requests of one caller's connection byte by byte and tells which bytes may go on to
 * libmicrohttpd. The end of a head is held back until the head leaves no doubt where its body ends
 * and for which host it is. No I/O.
 */
#ifndef GATE_FRAMING_H
#define GATE_FRAMING_H

#include "gate_refusal.h"
#include "http_request_parser.h"

typedef enum
{
  FRAMING_MORE,
  FRAMING_DONE, /**< the end of a request; what follows belongs to the next one */
  FRAMING_FAULT /**< nothing more of this connection may be passed on */
} FramingResult;

typedef struct
{
  HttpRequestParser intake;
  size_t passed; /**< bytes of the head in progress that were passed on */
} GateFraming;

/** Heads longer than head_max bytes are a fault. */
void gate_framing_init (GateFraming *framing, size_t head_max);
/** Takes bytes up to the end of one request; adds to *pass those that may go on. */
FramingResult
gate_framing_feed (GateFraming *framing, const char *data, size_t len, size_t *used, Buffer *pass);
/** After a fault: the reason (GateReason) with which to refuse the request. */
int gate_framing_fault (const GateFraming *framing);
void gate_framing_clear (GateFraming *framing);

#endif
