#include "engine_record.h"
#include "util_buffer.h"
#include "util_id.h"
#include <fcntl.h>
#include <stdio.h>
#include <sys/uio.h>

static int record_fd = -1;

void
record_open (const char *path)
{
  record_fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (record_fd < 0)
    perror (path);
}

/* One write per line, so that lines of several processes do not mix and those written before a kill
 * remain. Consumes the reference to obj. */
static void
record_line (struct json_object *obj)
{
  size_t len;
  const char *text = json_object_to_json_string_length (obj, JSON_C_TO_STRING_PLAIN, &len);
  struct iovec parts[] = { { (void *)text, len }, { (void *)"\n", 1 } };
  if (writev (record_fd, parts, 2) != (ssize_t)len + 1)
    perror ("standin-engine: record");
  json_object_put (obj);
}

void
record_start (const Run *run)
{
  if (record_fd < 0)
    return;
  struct json_object *obj = json_object_new_object ();
  json_object_object_add (obj, "run", json_object_new_int64 (run->number));
  json_object_object_add (obj, "request", json_object_new_string (run->request));
  json_object_object_add (obj, "user", json_object_new_string (run->user));
  json_object_object_add (obj, "mark", json_object_new_string (run->prompt.mark));
  json_object_object_add (obj, "idempotency", json_object_new_string (run->idempotency));
  json_object_object_add (obj, "model", json_object_new_string (run->model));
  json_object_object_add (obj, "started_ms", json_object_new_int64 (run->started_ms));
  record_line (obj);
}

void
record_end (const Run *run)
{
  if (record_fd < 0)
    return;
  Buffer text = { 0 };
  buffer_add (&text, "", 0);
  run_text (run, run->tokens, &text);
  const char *ended = run->state == RUN_DONE ? "whole" : run->cut ? "cut" : "cancelled";
  struct json_object *obj = json_object_new_object ();
  json_object_object_add (obj, "run", json_object_new_int64 (run->number));
  json_object_object_add (obj, "ended", json_object_new_string (ended));
  json_object_object_add (obj, "tokens", json_object_new_int64 (run->tokens));
  json_object_object_add (obj, "text", json_object_new_string (text.data));
  record_line (obj);
  buffer_free (&text);
}

struct json_object *
record_json (const Run *run)
{
  char hash[ID_SIZE];
  struct json_object *obj = json_object_new_object ();
  snprintf (hash, sizeof hash, "%016llx", (unsigned long long)run->prompt.hash);
  json_object_object_add (obj, "request", json_object_new_string (run->request));
  json_object_object_add (obj, "model", json_object_new_string (run->model));
  json_object_object_add (obj, "user", json_object_new_string (run->user));
  json_object_object_add (obj, "mark", json_object_new_string (run->prompt.mark));
  json_object_object_add (obj, "idempotency", json_object_new_string (run->idempotency));
  json_object_object_add (obj, "body_hash", json_object_new_string (hash));
  json_object_object_add (obj, "started_ms", json_object_new_int64 (run->started_ms));
  json_object_object_add (obj, "ended", json_object_new_boolean (run->ended_ms != 0));
  json_object_object_add (obj, "ended_ms", json_object_new_int64 (run->ended_ms));
  json_object_object_add (obj, "tokens", json_object_new_int64 (run->tokens));
  json_object_object_add (obj, "prompt_tokens", json_object_new_int64 (run->prompt.tokens));
  json_object_object_add (obj, "cancelled", json_object_new_boolean (run->state == RUN_CANCELLED));
  return obj;
}
