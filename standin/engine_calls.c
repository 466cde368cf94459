#include "engine_calls.h"
#include "common_fault.h"
#include "engine_cache.h"
#include "engine_load.h"
#include "engine_models.h"
#include "engine_options.h"
#include "engine_run.h"
#include "engine_stream.h"
#include <stdlib.h>
#include <string.h>

#define STREAM_PATH "/v1/streams/"

static const char *
member_string (struct json_object *body, const char *name)
{
  struct json_object *member;
  if (!json_object_object_get_ex (body, name, &member)
      || !json_object_is_type (member, json_type_string))
    return NULL;
  return json_object_get_string (member);
}

static int64_t
member_number (struct json_object *body, const char *name)
{
  struct json_object *member;
  if (!json_object_object_get_ex (body, name, &member))
    return 0;
  return json_object_get_int64 (member);
}

static bool
wants_stream (struct json_object *body)
{
  struct json_object *member;
  return json_object_object_get_ex (body, "stream", &member) && json_object_get_boolean (member);
}

static int
connection_fd (StandinRequest *request)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info ? info->connect_fd : -1;
}

static struct json_object *
choice_json (const Run *run)
{
  Buffer text = { 0 };
  run_text (run, run->length, &text);
  struct json_object *message = json_object_new_object ();
  json_object_object_add (message, "role", json_object_new_string ("assistant"));
  json_object_object_add (message, "content", json_object_new_string (text.data));
  struct json_object *choice = json_object_new_object ();
  json_object_object_add (choice, "index", json_object_new_int (0));
  json_object_object_add (choice, "message", message);
  json_object_object_add (choice, "finish_reason", json_object_new_string ("stop"));
  buffer_free (&text);
  return choice;
}

static enum MHD_Result
reply_complete (StandinRequest *request, Run *run, unsigned attachment)
{
  RunState state;
  unsigned tokens = 0;
  do
    tokens = run_wait (run, tokens, &state);
  while (state != RUN_DONE && state != RUN_CANCELLED);
  run_detach (run, attachment);
  if (state == RUN_CANCELLED)
    return MHD_NO;
  struct json_object *usage = json_object_new_object ();
  json_object_object_add (usage, "prompt_tokens", json_object_new_int64 (run->prompt.tokens));
  json_object_object_add (usage, "completion_tokens", json_object_new_int64 (run->length));
  struct json_object *choices = json_object_new_array ();
  json_object_array_add (choices, choice_json (run));
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "id", json_object_new_string (run->request));
  json_object_object_add (reply, "model", json_object_new_string (run->model));
  json_object_object_add (reply, "choices", choices);
  json_object_object_add (reply, "usage", usage);
  return standin_reply (request, MHD_HTTP_OK, reply);
}

static enum MHD_Result
run_chat (StandinRequest *request,
          struct json_object *body,
          const char *model,
          const Prompt *prompt)
{
  const char *priority = standin_header (request, "X-Lovage-Priority");
  int64_t length = member_number (body, "max_tokens");
  Run *run = run_begin (&(RunParams){ .request = standin_header (request, "X-Lovage-Request"),
                                      .idempotency = standin_header (request, "Idempotency-Key"),
                                      .user = member_string (body, "user"),
                                      .model = model,
                                      .prompt = prompt,
                                      .priority = priority ? (int)strtol (priority, NULL, 10) : 0,
                                      .length = length > 0 ? (unsigned)length : 0 });
  bool stream = wants_stream (body);
  unsigned attachment
      = run_attach (run, connection_fd (request), stream ? engine_options.resume_ms : 0);
  if (stream)
    return stream_answer (request, run, attachment, 0);
  return reply_complete (request, run, attachment);
}

static enum MHD_Result
handle_chat (StandinRequest *request)
{
  struct json_object *body = standin_json (request);
  const char *model = body ? member_string (body, "model") : NULL;
  Prompt prompt;
  enum MHD_Result result;
  if (!model || !prompt_read (body, &prompt))
    result = standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad_request");
  else if (fault_consume (FAULT_NOT_RUN, request->path, NULL) || fault_peek (FAULT_DRAIN, "", NULL))
    result = standin_reply_error (request, MHD_HTTP_SERVICE_UNAVAILABLE, "not_run");
  else if (!models_loaded (model))
    result = standin_reply_error (request, MHD_HTTP_CONFLICT, "wrong_version");
  else
    result = run_chat (request, body, model, &prompt);
  json_object_put (body);
  return result;
}

static enum MHD_Result
handle_stream (StandinRequest *request)
{
  Run *run = run_find (request->path + strlen (STREAM_PATH));
  const char *from = standin_query (request, "from");
  if (!run)
    return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "no_stream");
  if (strcmp (request->method, "DELETE") == 0)
    {
      run_cancel (run);
      return standin_reply_empty (request, MHD_HTTP_NO_CONTENT);
    }
  unsigned attachment = run_attach (run, connection_fd (request), engine_options.resume_ms);
  return stream_answer (request, run, attachment, from ? (unsigned)strtoul (from, NULL, 10) : 0);
}

static enum MHD_Result
handle_record (StandinRequest *request)
{
  const char *from = standin_query (request, "from");
  return standin_reply (request, MHD_HTTP_OK, runs_record (from ? strtoul (from, NULL, 10) : 0));
}

static const StandinRoute routes[] = { { "POST", "/v1/chat/completions", false, handle_chat },
                                       { "GET", STREAM_PATH, false, handle_stream },
                                       { "DELETE", STREAM_PATH, false, handle_stream },
                                       { "GET", "/v1/load", false, load_report },
                                       { "GET", "/v1/cache_events", false, cache_events },
                                       { "POST", "/v1/orders", false, models_handle_order },
                                       { "GET", "/v1/orders", true, models_list_orders },
                                       { "GET", "/v1/record", true, handle_record } };

const StandinRoutes engine_routes = { routes, sizeof routes / sizeof routes[0] };
