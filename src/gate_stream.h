/**
 * One model engine's answer as an ordered stream: each chunk is returned exactly once and in
 * order, the stream is resumed by sequence number after a gap or a lost connection, and STREAM_END
 * is returned only for a complete answer. The engine is accessed through a table of function
 * pointers, so that tests run without I/O.
 */
#ifndef GATE_STREAM_H
#define GATE_STREAM_H

#include "gate_answer.h"
#include "gate_reorder.h"
#include "gate_sse.h"
#include "util_status.h"

#define STREAM_RESUMES_MAX 3 /**< per answer */

typedef struct
{
  /** As http_exchange_read. */
  long (*read) (void *context, char *data, size_t len, Status *st);
  /** Closes the current connection and reopens the stream from chunk number from.
   *  STATUS_NOT_FOUND: the engine no longer has it. */
  StatusCode (*resume) (void *context, int64_t from, Status *st);
  /** True if the caller has left, so that the answer is no longer needed. */
  bool (*caller_left) (void *context);
  /** Waits before the n-th resumption, counted from 0. */
  void (*pause) (void *context, unsigned n);
} GateStreamOps;

typedef enum
{
  STREAM_CHUNK, /**< an event to relay at once */
  STREAM_END,   /**< complete; the closing events, to relay after the usage record is durable */
  STREAM_CUT,   /**< the answer cannot be completed; *st says why */
  STREAM_CALLER_LEFT /**< GateStreamOps.caller_left returned true */
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
/** Appends the bytes of the next events to *out. */
StreamResult gate_stream_next (GateStream *stream, Buffer *out, Status *st);
void gate_stream_free (GateStream *stream);

#endif
