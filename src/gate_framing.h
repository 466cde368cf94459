/**
 * Parses the requests of one caller's connection and decides which bytes may be forwarded to
 * libmicrohttpd. The end of a head is held back until it is certain where the body ends and which
 * host the request is for. No I/O.
 */
#ifndef GATE_FRAMING_H
#define GATE_FRAMING_H

#include "gate_refusal.h"
#include "http_request_parser.h"

typedef enum
{
  FRAMING_MORE,
  FRAMING_DONE, /**< the request is complete; further bytes belong to the next one */
  FRAMING_FAULT /**< malformed; nothing more of this connection may be forwarded */
} FramingResult;

typedef struct
{
  HttpRequestParser request_parser;
  size_t forwarded; /**< bytes of the current head that have been forwarded */
} GateFraming;

/** A head longer than head_max bytes is a fault. */
void gate_framing_init (GateFraming *framing, size_t head_max);
/** Reads bytes up to the end of one request, sets *used to their number, and appends to *forward
 * those that may be forwarded. */
FramingResult gate_framing_feed (GateFraming *framing,
                                 const char *data,
                                 size_t len,
                                 size_t *used,
                                 Buffer *forward);
/** After a fault: the reason (GateReason) with which to refuse the request. */
int gate_framing_fault (const GateFraming *framing);
void gate_framing_clear (GateFraming *framing);

#endif
