#include "load_call.h"
#include "util_clock.h"
#include <string.h>

#define BLOCK_SIZE 8192 /* bytes of one read */
#define END_MARKER "data: [DONE]"
#define EVENT_END  "\n\n"

static const char *const result_names[LOAD_RESULTS] = { [LOAD_WHOLE] = "whole",
                                                        [LOAD_NOT_TAKEN] = "not_taken",
                                                        [LOAD_REFUSED] = "refused",
                                                        [LOAD_CUT] = "cut",
                                                        [LOAD_WRONG_COUNT] = "wrong_count" };

const char *
load_result_name (LoadResult result)
{
  return result_names[result];
}

static void
record_event (LoadAnswer *out, int64_t now_us)
{
  if (!out->first_us)
    out->first_us = now_us;
  else if (out->gap_count < LOAD_TOKENS_MAX)
    out->gaps[out->gap_count++] = (double)(now_us - out->end_us) / 1000;
  out->end_us = now_us;
  out->events++;
}

/* Removes the complete events from pending; true if the end marker was among them. */
static bool
consume_events (Buffer *pending, LoadAnswer *out)
{
  int64_t now_us = clock_boot_us ();
  bool done = false;
  char *end;
  while (pending->len && (end = strstr (pending->data, EVENT_END)))
    {
      if (strncmp (pending->data, END_MARKER, strlen (END_MARKER)) == 0)
        done = true;
      else
        record_event (out, now_us);
      buffer_consume (pending, (size_t)(end - pending->data) + strlen (EVENT_END));
    }
  return done;
}

static LoadResult
read_events (HttpExchange *exchange, unsigned tokens, LoadAnswer *out)
{
  Buffer pending = { 0 };
  char block[BLOCK_SIZE];
  bool done = false;
  long n;
  while ((n = http_exchange_read (exchange, block, sizeof block, NULL)) > 0)
    {
      buffer_add (&pending, block, (size_t)n);
      done |= consume_events (&pending, out);
    }
  buffer_free (&pending);
  if (n < 0 || !done)
    return LOAD_CUT;
  /* One event per token, and a last one with the usage. */
  return out->events == (size_t)tokens + 1 ? LOAD_WHOLE : LOAD_WRONG_COUNT;
}

void
load_call (const HttpRequest *request, unsigned tokens, LoadAnswer *out)
{
  HttpExchange *exchange;
  out->result = LOAD_NOT_TAKEN;
  out->http_status = 0;
  out->first_us = 0;
  out->end_us = 0;
  out->gap_count = 0;
  out->events = 0;
  StatusCode code = http_exchange_begin (request, &exchange, NULL);
  if (!exchange)
    {
      out->result = code == STATUS_UNAVAILABLE ? LOAD_NOT_TAKEN : LOAD_CUT;
      return;
    }
  out->http_status = http_exchange_status (exchange);
  out->result = out->http_status == 200 ? read_events (exchange, tokens, out) : LOAD_REFUSED;
  http_exchange_free (exchange);
}
