#include "gate_stream.h"
#include <string.h>

#define STEP           "stream"
#define READ_SIZE      4096           /* bytes */
#define EVENT_SIZE_MAX (256UL * 1024) /* bytes */
#define DONE_MARK      "[DONE]"

/** Result of one step towards the next chunk. */
typedef enum
{
  STEP_AGAIN, /**< check again whether the next chunk is available */
  STEP_CUT,
  STEP_CALLER_LEFT
} StreamStep;

static StreamStep handle_event (GateStream *stream, Status *st);
static StreamStep read_more (GateStream *stream, Status *st);
static StreamStep resume (GateStream *stream, Status *st);

static bool
is_done_mark (const Buffer *data)
{
  return data->len == strlen (DONE_MARK) && memcmp (data->data, DONE_MARK, data->len) == 0;
}

void
gate_stream_init (GateStream *stream, const GateStreamOps *ops, void *context)
{
  *stream = (GateStream){ .ops = ops, .context = context };
  sse_parser_init (&stream->parser, EVENT_SIZE_MAX);
}

void
gate_stream_free (GateStream *stream)
{
  sse_parser_free (&stream->parser);
  sse_event_free (&stream->event);
  reorder_free (&stream->reorder);
  buffer_free (&stream->chunk);
  buffer_free (&stream->closing);
  answer_free (&stream->answer);
}

/* Requests the missing chunks by number after a gap or a lost connection. Without this a chunk lost
   on the way from the engine would be missing in an answer that looks complete. */
static StreamStep
resume (GateStream *stream, Status *st)
{
  while (stream->resumes < STREAM_RESUMES_MAX)
    {
      StatusCode code;
      stream->ops->pause (stream->context, stream->resumes++);
      if (stream->ops->caller_left (stream->context))
        return STEP_CALLER_LEFT;
      sse_parser_reset (&stream->parser);
      code = stream->ops->resume (stream->context, stream->reorder.next, st);
      if (code == STATUS_OK)
        return STEP_AGAIN;
      if (code == STATUS_NOT_FOUND || code == STATUS_INVALID)
        return STEP_CUT;
    }
  return STEP_CUT;
}

static StreamStep
read_more (GateStream *stream, Status *st)
{
  char data[READ_SIZE];
  long len;

  if (stream->ops->caller_left (stream->context))
    return STEP_CALLER_LEFT;
  len = stream->ops->read (stream->context, data, sizeof (data), st);
  if (len > 0)
    {
      sse_parser_feed (&stream->parser, data, (size_t)len);
      return STEP_AGAIN;
    }
  if (stream->ops->caller_left (stream->context))
    return STEP_CALLER_LEFT;
  if (len == 0)
    status_set (st, STATUS_UNKNOWN, STEP, NULL, "the stream ended before its answer did");
  return resume (stream, st);
}

static StreamStep
handle_event (GateStream *stream, Status *st)
{
  SseEvent *event = &stream->event;

  if (strcmp (event->name, "error") == 0)
    {
      status_set (st, STATUS_UNKNOWN, STEP, NULL, "the engine reports an error in its answer");
      return STEP_CUT;
    }
  if (event->id < 0 && is_done_mark (&event->data))
    {
      stream->answer.done = true;
      return STEP_AGAIN;
    }
  if (event->data.len == 0)
    return STEP_AGAIN;
  if (event->id < 0)
    {
      status_set (st, STATUS_INVALID, STEP, NULL, "a piece has no number");
      return STEP_CUT;
    }
  switch (reorder_push (&stream->reorder, event->id, event->data.data, event->data.len))
    {
    case REORDER_TOO_FAR:
      status_set (st, STATUS_UNKNOWN, STEP, NULL, "piece %lld came while %lld is missing",
                  (long long)event->id, (long long)stream->reorder.next);
      return resume (stream, st);
    case REORDER_DUPLICATE:
      stream->duplicates++;
      return STEP_AGAIN;
    case REORDER_ADDED:
      break;
    }
  return STEP_AGAIN;
}

static StreamStep
advance (GateStream *stream, Status *st)
{
  switch (sse_parser_next (&stream->parser, &stream->event))
    {
    case SSE_EVENT:
      return handle_event (stream, st);
    case SSE_MALFORMED:
      status_set (st, STATUS_UNKNOWN, STEP, NULL, "the stream's events can't be read");
      return resume (stream, st);
    case SSE_NONE:
      break;
    }
  return read_more (stream, st);
}

/* Writes one "data:" line for each line of the chunk. */
static void
add_data (Buffer *to, const Buffer *chunk)
{
  const char *at = chunk->data;
  const char *stop = at + chunk->len;

  while (at < stop)
    {
      const char *end = memchr (at, '\n', (size_t)(stop - at));
      if (end == NULL)
        end = stop;
      buffer_add_string (to, "data: ");
      buffer_add (to, at, (size_t)(end - at));
      buffer_add (to, "\n", 1);
      at = end + 1;
    }
  buffer_add (to, "\n", 1);
}

/* Takes the next chunk in order and writes it to out; from the one with the finish reason on,
   chunks are held back in stream->closing. *emitted: whether a chunk was written to out. False: *st
   has the error. */
static bool
emit_chunk (GateStream *stream, Buffer *out, bool *emitted, Status *st)
{
  int64_t number = 0;
  Buffer *to;

  *emitted = false;
  if (!reorder_pop (&stream->reorder, &stream->chunk, &number))
    return true;
  if (answer_add (&stream->answer, stream->chunk.data, stream->chunk.len, st) != STATUS_OK)
    return false;
  if (is_done_mark (&stream->chunk))
    return true;
  *emitted = stream->answer.finish_reason[0] == '\0';
  to = *emitted ? out : &stream->closing;
  buffer_printf (to, "id: %lld\n", (long long)number);
  add_data (to, &stream->chunk);
  return true;
}

StreamResult
gate_stream_next (GateStream *stream, Buffer *out, Status *st)
{
  for (;;)
    {
      int64_t before = stream->reorder.next;
      bool emitted;
      StreamStep step;

      if (!emit_chunk (stream, out, &emitted, st))
        return STREAM_CUT;
      if (emitted)
        return STREAM_CHUNK;
      if (answer_is_complete (&stream->answer) && !reorder_has_gap (&stream->reorder))
        {
          buffer_add (out, stream->closing.data, stream->closing.len);
          buffer_add_string (out, "data: " DONE_MARK "\n\n");
          return STREAM_END;
        }
      if (stream->reorder.next != before)
        continue;
      step = advance (stream, st);
      if (step == STEP_CUT)
        return STREAM_CUT;
      if (step == STEP_CALLER_LEFT)
        return STREAM_CALLER_LEFT;
    }
}
