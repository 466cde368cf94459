/**
 * Structured log of lovage-front: one JSON object per line on standard output, one line for each
 * decision. Each event has a maximum rate; lines above it, and lines that a full pipe doesn't take,
 * are omitted and counted in the next line of the event. Writing never blocks.
 */
#ifndef FRONT_LOG_H
#define FRONT_LOG_H

#include "util_buffer.h"
#include "util_span.h"

typedef enum
{
#define EVENT(id, name, rate) FRONT_EVENT_##id,
#include "front_event.def"
#undef EVENT
  FRONT_EVENT_COUNT
} FrontEventId;

typedef struct FrontLine FrontLine;

/** vm is added to each line. */
void front_log_init (const char *vm);
/** Returns NULL if the line is omitted; the other functions accept NULL. */
FrontLine *front_log_begin (FrontEventId id);
void front_log_text (FrontLine *line, const char *name, const char *value);
void front_log_span (FrontLine *line, const char *name, Span value);
void front_log_number (FrontLine *line, const char *name, int64_t value);
void front_log_end (FrontLine *line);
/** Appends the numbers of lines written and omitted for each event, as metrics. */
void front_log_metrics (Buffer *out);

#endif
