#include "front_log.h"
#include "util_clock.h"
#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <string.h>
#include <unistd.h>

#define BURST_S     4.0 /* seconds' worth of lines that may come at once */
#define MS_PER_S    1000.0
#define PIPE_ATOMIC 4096 /* bytes that a pipe takes whole or not at all */

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

struct FrontLine
{
  struct json_object *object;
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

FrontLine *
front_log_begin (FrontEventId id)
{
  int64_t now_ms = clock_boot_ms ();

  if (!take (id, now_ms))
    {
      leave_out (id);
      return NULL;
    }
  current.object = json_object_new_object ();
  front_log_number (&current, "ms", now_ms);
  front_log_text (&current, "vm", vm_name);
  front_log_text (&current, "event", kinds[id].name);
  if (states[id].omitted > 0)
    front_log_number (&current, "omitted", states[id].omitted);
  states[id].omitted = 0;
  states[id].written++;
  return &current;
}

void
front_log_text (FrontLine *line, const char *name, const char *value)
{
  if (line && value)
    json_object_object_add (line->object, name, json_object_new_string (value));
}

void
front_log_span (FrontLine *line, const char *name, Span value)
{
  if (line && value.text)
    json_object_object_add (line->object, name,
                            json_object_new_string_len (value.text, (int)value.len));
}

void
front_log_number (FrontLine *line, const char *name, int64_t value)
{
  if (line)
    json_object_object_add (line->object, name, json_object_new_int64 (value));
}

void
front_log_end (FrontLine *line)
{
  char text[PIPE_ATOMIC];
  const char *json;
  size_t len;

  if (!line)
    return;
  json = json_object_to_json_string_ext (line->object, JSON_C_TO_STRING_PLAIN);
  len = strlen (json);
  if (len < sizeof text)
    {
      memcpy (text, json, len);
      text[len++] = '\n';
      /* A pipe that is full loses the line; nobody who reads logs may hold up a request. */
      while (write (STDOUT_FILENO, text, len) < 0 && errno == EINTR)
        continue;
    }
  json_object_put (line->object);
  line->object = NULL;
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
