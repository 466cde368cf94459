#include "engine_stream.h"
#include "common_fault.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define BLOCK_SIZE 4096 /* bytes that libmicrohttpd reads at once */

typedef struct
{
  Run *run;
  unsigned attachment;
  unsigned next;  /* sequence number of the next event */
  bool ended;     /* the stream's last event is in pending */
  Buffer pending; /* formatted, not yet sent */
  Buffer held;    /* an event that is sent after the one that follows it */
  size_t sent;    /* bytes */
  size_t cut_at;  /* bytes after which the connection is closed; 0: never */
  unsigned duplicate_every;
  unsigned reorder_every;
} Stream;

static void
write_token (const Stream *s, unsigned seq, Buffer *out)
{
  char token[TOKEN_MAX];
  answer_token (&s->run->prompt, s->run->quality, seq, token);
  buffer_printf (out,
                 "id: %u\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},"
                 "\"finish_reason\":null}]}\n\n",
                 seq, token);
}

static void
write_end (const Stream *s, Buffer *out)
{
  buffer_printf (out,
                 "id: %u\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},"
                 "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%lld,"
                 "\"completion_tokens\":%u}}\n\ndata: [DONE]\n\n",
                 s->run->length, (long long)s->run->prompt.tokens, s->run->length);
}

static bool
is_every (unsigned every, unsigned seq)
{
  return every && (seq + 1) % every == 0;
}

static void
add_token (Stream *s, unsigned seq)
{
  if (is_every (s->reorder_every, seq) && seq + 1 < s->run->length)
    {
      write_token (s, seq, &s->held);
      return;
    }
  write_token (s, seq, &s->pending);
  if (is_every (s->duplicate_every, seq))
    write_token (s, seq, &s->pending);
  buffer_add (&s->pending, s->held.data ? s->held.data : "", s->held.len);
  buffer_clear (&s->held);
}

/* Waits for further tokens and adds their events to pending; false if the run was cancelled. */
static bool
fill (Stream *s)
{
  RunState state;
  unsigned tokens = run_wait (s->run, s->next, &state);
  for (; s->next < tokens; s->next++)
    add_token (s, s->next);
  if (state == RUN_CANCELLED)
    return false;
  if (state == RUN_DONE && s->next >= s->run->length)
    {
      write_end (s, &s->pending);
      s->ended = true;
    }
  return true;
}

static ssize_t
read_stream (void *cls, uint64_t pos, char *buf, size_t max)
{
  (void)pos;
  Stream *s = cls;
  while (!s->pending.len)
    {
      if (s->ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (!fill (s))
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  size_t n = s->pending.len < max ? s->pending.len : max;
  if (s->cut_at && s->sent >= s->cut_at)
    {
      run_mark_cut (s->run);
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  if (s->cut_at && n > s->cut_at - s->sent)
    n = s->cut_at - s->sent;
  memcpy (buf, s->pending.data, n);
  buffer_consume (&s->pending, n);
  s->sent += n;
  return (ssize_t)n;
}

static void
free_stream (void *cls)
{
  Stream *s = cls;
  run_detach (s->run, s->attachment);
  buffer_free (&s->pending);
  buffer_free (&s->held);
  free (s);
}

enum MHD_Result
stream_answer (StandinRequest *request, Run *run, unsigned attachment, unsigned from)
{
  Fault cut = { 0 };
  Fault duplicate = { 0 };
  Fault reorder = { 0 };
  fault_consume (FAULT_CUT_AT, request->path, &cut);
  fault_consume (FAULT_DUPLICATE, request->path, &duplicate);
  fault_consume (FAULT_REORDER, request->path, &reorder);
  Stream *s = memory_alloc (sizeof *s);
  *s = (Stream){ .run = run,
                 .attachment = attachment,
                 .next = from,
                 .cut_at = (size_t)cut.number,
                 .duplicate_every = (unsigned)duplicate.number,
                 .reorder_every = (unsigned)reorder.number };
  struct MHD_Response *response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, BLOCK_SIZE,
                                                                     read_stream, s, free_stream);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/event-stream");
  return standin_reply_response (request, MHD_HTTP_OK, response);
}
