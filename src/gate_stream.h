/**
 * One model engine's answer as an ordered stream: chunks come out exactly once and in order, a gap
 * or a cut is resumed by sequence number, and only a whole answer ends properly. The engine is
 * reached through a table of function pointers, so that tests drive it without I/O.
 */
#ifndef GATE_STREAM_H
#define GATE_STREAM_H

#include "gate_answer.h"
#include "gate_reorder.h"
#include "gate_sse.h"
#include "util_status.h"

#define STREAM_RESUMES_MAX 3

typedef struct
{
  /** As http_exchange_read. */
  long (*read) (void *context, char *data, size_t len, Status *st);
  /** Gives up the present connection and opens the stream again from a chunk's number.
   *  STATUS_NOT_FOUND: the engine no longer has it. */
  StatusCode (*resume) (void *context, int64_t from, Status *st);
  /** True if nobody waits for the answer any more. */
  bool (*caller_left) (void *context);
  /** Waits before the n-th resumption, n from 0. */
  void (*pause) (void *context, unsigned n);
} GateStreamOps;

typedef enum
{
  STREAM_CHUNK,      /**< an event to be passed on at once */
  STREAM_END,        /**< whole; the closing events, to be passed on after the bill is durable */
  STREAM_CUT,        /**< no whole answer can be had */
  STREAM_CALLER_LEFT /**< nobody waits for it */
} StreamResult;

typedef struct
{
  const GateStreamOps *ops;
  void *context;
  SseParser parser;
  SseEvent event;
  Reorder reorder;
  Buffer chunk;
  Buffer closing; /**< events from the finish reason on, held until the end */
  GateAnswer answer;
  unsigned resumes;
  unsigned duplicates;
} GateStream;

void gate_stream_init (GateStream *stream, const GateStreamOps *ops, void *context);
/** Adds the next events' bytes to *out. */
StreamResult gate_stream_next (GateStream *stream, Buffer *out, Status *st);
void gate_stream_free (GateStream *stream);

#endif
