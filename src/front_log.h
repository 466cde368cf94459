/**
 * Log lines of lovage-front: one JSON object a line on standard output, one line a decision. Each
 * kind of line has a rate; what is beyond it, or what a full pipe doesn't take, is left out and
 * counted in the next line of the kind. Writing never blocks.
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

/** vm stands in each line. */
void front_log_init (const char *vm);
/** NULL if the line is left out; all other calls take NULL. */
FrontLine *front_log_begin (FrontEventId id);
void front_log_text (FrontLine *line, const char *name, const char *value);
void front_log_span (FrontLine *line, const char *name, Span value);
void front_log_number (FrontLine *line, const char *name, int64_t value);
void front_log_end (FrontLine *line);
/** Lines written and left out, by kind, as metrics. */
void front_log_metrics (Buffer *out);

#endif
