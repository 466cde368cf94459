#include "front_log.h"
#include "util_clock.h"
#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BURST_S        4.0 /* burst size, in seconds' worth of lines */
#define MS_PER_S       1000.0
#define LINE_MAX_BYTES 4096 /* bytes that a pipe takes in one atomic write */
#define NUMBER_SIZE    24   /* digits of any int64_t, sign and terminator */

typedef struct
{
  const char *name;
  double rate; /* lines per second */
} EventKind;

typedef struct
{
  double tokens; /* token bucket: lines that may be written now */
  int64_t refilled_ms;
  int64_t written;
  int64_t omitted; /* since the last line that was written */
  int64_t omitted_total;
} EventState;

/* Lines are formatted directly into a fixed buffer. As a json-c tree a line took 4 us, a tenth of a
 * front's CPU time at low load; formatted this way it takes 1.2 us. */
struct FrontLine
{
  FrontEventId id;
  bool too_long;
  size_t len;
  char text[LINE_MAX_BYTES];
};

static const EventKind kinds[FRONT_EVENT_COUNT] = {
#define EVENT(id, label, lines) [FRONT_EVENT_##id] = { .name = (label), .rate = (lines) },
#include "front_event.def"
#undef EVENT
};

/* Only the event loop's thread writes. */
static EventState states[FRONT_EVENT_COUNT];
static FrontLine current;
static const char *vm_name = "";

void
front_log_init (const char *vm)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  vm_name = vm;
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  for (unsigned i = 0; i < FRONT_EVENT_COUNT; i++)
    states[i].tokens = kinds[i].rate * BURST_S;
}

static bool
take_token (FrontEventId id, int64_t now_ms)
{
  EventState *state = &states[id];
  double tokens_max = kinds[id].rate * BURST_S;

  state->tokens += (double)(now_ms - state->refilled_ms) / MS_PER_S * kinds[id].rate;
  state->refilled_ms = now_ms;
  if (state->tokens > tokens_max)
    state->tokens = tokens_max;
  if (state->tokens < 1)
    return false;
  state->tokens -= 1;
  return true;
}

static void
count_omitted (FrontEventId id)
{
  states[id].omitted++;
  states[id].omitted_total++;
}

static void
append (FrontLine *line, const char *data, size_t len)
{
  if (line->len + len > sizeof line->text)
    {
      line->too_long = true;
      return;
    }
  memcpy (line->text + line->len, data, len);
  line->len += len;
}

static bool
is_plain (const char *data, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char)data[i];

      if (c < ' ' || c > '~' || c == '"' || c == '\\')
        return false;
    }
  return true;
}

/* Nearly all values are ids and names without special characters; json-c escapes the others. */
static void
append_quoted (FrontLine *line, const char *data, size_t len)
{
  struct json_object *object;
  size_t quoted_len;
  const char *quoted;

  if (is_plain (data, len))
    {
      append (line, "\"", 1);
      append (line, data, len);
      append (line, "\"", 1);
      return;
    }
  object = json_object_new_string_len (data, (int)len);
  quoted = json_object_to_json_string_length (object, JSON_C_TO_STRING_PLAIN, &quoted_len);
  append (line, quoted, quoted_len);
  json_object_put (object);
}

/* Field names are constants that need no escaping. */
static void
append_name (FrontLine *line, const char *name)
{
  append (line, line->len == 0 ? "{\"" : ",\"", 2);
  append (line, name, strlen (name));
  append (line, "\":", 2);
}

FrontLine *
front_log_begin (FrontEventId id)
{
  int64_t now_ms = clock_boot_ms ();

  if (!take_token (id, now_ms))
    {
      count_omitted (id);
      return NULL;
    }
  current.id = id;
  current.len = 0;
  current.too_long = false;
  front_log_number (&current, "ms", now_ms);
  front_log_text (&current, "vm", vm_name);
  front_log_text (&current, "event", kinds[id].name);
  if (states[id].omitted > 0)
    front_log_number (&current, "omitted", states[id].omitted);
  return &current;
}

void
front_log_text (FrontLine *line, const char *name, const char *value)
{
  front_log_span (line, name, span_of (value));
}

void
front_log_span (FrontLine *line, const char *name, Span value)
{
  if (!line || !value.text)
    return;
  append_name (line, name);
  append_quoted (line, value.text, value.len);
}

void
front_log_number (FrontLine *line, const char *name, int64_t value)
{
  char digits[NUMBER_SIZE];
  int len;

  if (!line)
    return;
  len = snprintf (digits, sizeof digits, "%lld", (long long)value);
  append_name (line, name);
  append (line, digits, (size_t)len);
}

/* The line is lost if the pipe is full: a slow log reader must not delay requests. */
static bool
write_line (const FrontLine *line)
{
  ssize_t written;

  do
    written = write (STDOUT_FILENO, line->text, line->len);
  while (written < 0 && errno == EINTR);
  return written == (ssize_t)line->len;
}

void
front_log_end (FrontLine *line)
{
  if (!line)
    return;
  append (line, "}\n", strlen ("}\n"));
  if (line->too_long || !write_line (line))
    {
      count_omitted (line->id);
      return;
    }
  states[line->id].written++;
  states[line->id].omitted = 0;
}

void
front_log_metrics (Buffer *out)
{
  for (unsigned i = 0; i < FRONT_EVENT_COUNT; i++)
    buffer_printf (out,
                   "lovage_front_log_lines_total{event=\"%s\"} %lld\n"
                   "lovage_front_log_lines_omitted_total{event=\"%s\"} %lld\n",
                   kinds[i].name, (long long)states[i].written, kinds[i].name,
                   (long long)states[i].omitted_total);
}
