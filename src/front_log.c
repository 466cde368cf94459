#include "front_log.h"
#include "util_clock.h"
#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BURST_S     4.0 /* seconds' worth of lines that may come at once */
#define MS_PER_S    1000.0
#define PIPE_ATOMIC 4096 /* bytes that a pipe takes whole or not at all */
#define NUMBER_MAX  24   /* digits of any number, a sign and the end */

typedef struct
{
  const char *name;
  double rate; /* lines a second */
} EventKind;

typedef struct
{
  double saved; /* lines that may be written now */
  int64_t filled_ms;
  int64_t written;
  int64_t omitted; /* since the last line */
  int64_t omitted_total;
} EventState;

/* The line is written piece by piece into its own room. Built as a tree of json-c's it cost 4 us, a
 * tenth of a front's processor time on a calm day; so it costs 1.2 us and less than can be told. */
struct FrontLine
{
  FrontEventId id;
  bool too_long;
  size_t len;
  char text[PIPE_ATOMIC];
};

static const EventKind kinds[FRONT_EVENT_COUNT] = {
#define EVENT(id, label, lines) [FRONT_EVENT_##id] = { .name = (label), .rate = (lines) },
#include "front_event.def"
#undef EVENT
};

/* One thread writes; the process has one event loop. */
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
    states[i].saved = kinds[i].rate * BURST_S;
}

static bool
take (FrontEventId id, int64_t now_ms)
{
  EventState *state = &states[id];
  double most = kinds[id].rate * BURST_S;

  state->saved += (double)(now_ms - state->filled_ms) / MS_PER_S * kinds[id].rate;
  state->filled_ms = now_ms;
  if (state->saved > most)
    state->saved = most;
  if (state->saved < 1)
    return false;
  state->saved -= 1;
  return true;
}

static void
leave_out (FrontEventId id)
{
  states[id].omitted++;
  states[id].omitted_total++;
}

static void
add (FrontLine *line, const char *data, size_t len)
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

/* Ids and names, nearly all values, are as they stand; for others json-c knows the rules. */
static void
add_quoted (FrontLine *line, const char *data, size_t len)
{
  struct json_object *object;
  size_t quoted_len;
  const char *quoted;

  if (is_plain (data, len))
    {
      add (line, "\"", 1);
      add (line, data, len);
      add (line, "\"", 1);
      return;
    }
  object = json_object_new_string_len (data, (int)len);
  quoted = json_object_to_json_string_length (object, JSON_C_TO_STRING_PLAIN, &quoted_len);
  add (line, quoted, quoted_len);
  json_object_put (object);
}

/* Names stand in the code, and need no look. */
static void
add_name (FrontLine *line, const char *name)
{
  add (line, line->len == 0 ? "{\"" : ",\"", 2);
  add (line, name, strlen (name));
  add (line, "\":", 2);
}

FrontLine *
front_log_begin (FrontEventId id)
{
  int64_t now_ms = clock_boot_ms ();

  if (!take (id, now_ms))
    {
      leave_out (id);
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
  add_name (line, name);
  add_quoted (line, value.text, value.len);
}

void
front_log_number (FrontLine *line, const char *name, int64_t value)
{
  char digits[NUMBER_MAX];
  int len;

  if (!line)
    return;
  len = snprintf (digits, sizeof digits, "%lld", (long long)value);
  add_name (line, name);
  add (line, digits, (size_t)len);
}

/* A pipe that is full loses the line; nobody who reads logs may hold up a request. */
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
  add (line, "}\n", strlen ("}\n"));
  if (line->too_long || !write_line (line))
    {
      leave_out (line->id);
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
