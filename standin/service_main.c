/*
 * standin-service: a backend server other than a model engine, for tests only. It answers every
 * call with a description of the request, and logs all requests, so that a test can check what ran
 * and how often.
 */
#include "common_fault.h"
#include "common_http.h"
#include "common_main.h"
#include "util_clock.h"
#include "util_id.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  StandinEndpoint endpoint;
  int64_t work_ms;
} Options;

enum
{
  OPTION_WORK_MS = 256
};

static Options options;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct json_object *record; /* array of all runs so far */

static void
add_string (struct json_object *obj, const char *name, const char *value)
{
  json_object_object_add (obj, name, json_object_new_string (value ? value : ""));
}

static struct json_object *
record_run (StandinRequest *request)
{
  char hash[20];
  const char *body = request->body.data ? request->body.data : "";
  struct json_object *run = json_object_new_object ();
  snprintf (hash, sizeof hash, "%016llx", (unsigned long long)id_hash (body, request->body.len, 0));
  add_string (run, "request", standin_header (request, "X-Lovage-Request"));
  add_string (run, "idempotency", standin_header (request, "Idempotency-Key"));
  add_string (run, "method", request->method);
  add_string (run, "path", request->path);
  add_string (run, "body", body);
  add_string (run, "body_hash", hash);
  json_object_object_add (run, "started_ms", json_object_new_int64 (clock_wall_ms ()));
  json_object_object_add (run, "started_boot_ms", json_object_new_int64 (clock_boot_ms ()));
  pthread_mutex_lock (&lock);
  json_object_array_add (record, json_object_get (run));
  pthread_mutex_unlock (&lock);
  return run;
}

static enum MHD_Result
handle_call (StandinRequest *request)
{
  if (fault_consume (FAULT_NOT_RUN, request->path, NULL))
    return standin_reply_error (request, MHD_HTTP_SERVICE_UNAVAILABLE, "not_run");
  struct json_object *run = record_run (request);
  if (options.work_ms)
    clock_sleep_ms (options.work_ms);
  return standin_reply (request, MHD_HTTP_OK, run);
}

static enum MHD_Result
handle_record (StandinRequest *request)
{
  pthread_mutex_lock (&lock);
  const char *text = json_object_to_json_string (record);
  enum MHD_Result result
      = standin_reply_bytes (request, MHD_HTTP_OK, text, strlen (text), "application/json");
  pthread_mutex_unlock (&lock);
  return result;
}

static const StandinRoute route_list[]
    = { { "GET", "/v1/record", true, handle_record }, { NULL, "/", false, handle_call } };

static const StandinRoutes routes = { route_list, sizeof route_list / sizeof route_list[0] };

static const struct argp_option option_list[]
    = { { "work-ms", OPTION_WORK_MS, "T", 0, "time that each call takes", 0 }, { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &options.endpoint;
      return 0;
    case OPTION_WORK_MS:
      options.work_ms = strtoll (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  const struct argp_child children[] = { { &standin_endpoint_argp, 0, NULL, 0 }, { 0 } };
  const struct argp argp = { .options = option_list,
                             .parser = parse_option,
                             .doc = "An echo service for tests.",
                             .children = children };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  standin_block_signals ();
  record = json_object_new_array ();
  struct MHD_Daemon *daemon
      = standin_http_start (options.endpoint.address, options.endpoint.port, &routes);
  if (!daemon)
    return EXIT_FAILURE;
  standin_wait_termination ();
  standin_http_stop (daemon);
  json_object_put (record);
  return EXIT_SUCCESS;
}
