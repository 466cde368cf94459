/*
 * The stand-in engine. Other tests rely on its faults and on its record of runs: if these were
 * wrong, the tests could pass without checking anything.
 */
#include "../standin/engine_calls.h"
#include "../standin/engine_load.h"
#include "../standin/engine_models.h"
#include "../standin/engine_options.h"
#include "../standin/engine_run.h"
#include "http_client.h"
#include "suite.h"
#include "util_clock.h"
#include <stdlib.h>
#include <string.h>

#define LOCALHOST "127.0.0.1"
#define CHAT      "/v1/chat/completions"
#define TOKENS    12

EngineOptions engine_options = { .slots = 1,
                                 .token_ms = 5,
                                 .first_ms = 5,
                                 .cached_share = 0.3,
                                 .prefixes = 4,
                                 .resume_ms = 300,
                                 .checks_fencing = true };

static int port;

static HttpRequest
request_of (const char *method, const char *path, const char *body)
{
  return (HttpRequest){ .method = method,
                        .address = LOCALHOST,
                        .port = port,
                        .path = path,
                        .body = body,
                        .body_len = body ? strlen (body) : 0,
                        .connect_timeout_ms = 5000,
                        .read_timeout_ms = 5000 };
}

/* Returns the HTTP status of a call, 0 if there was no complete answer; the body goes to *out. */
static int
call (const char *method, const char *path, const char *body, Buffer *out)
{
  HttpRequest request = request_of (method, path, body);
  int http_status = 0;
  buffer_clear (out);
  return http_call (&request, &http_status, out, NULL) == STATUS_OK ? http_status : 0;
}

static void
set_fault (const char *fault)
{
  Buffer out = { 0 };
  CU_ASSERT_EQUAL (call ("POST", "/v1/fault", fault, &out), 204);
  buffer_free (&out);
}

static void
clear_faults (void)
{
  Buffer out = { 0 };
  CU_ASSERT_EQUAL (call ("DELETE", "/v1/fault", NULL, &out), 204);
  buffer_free (&out);
}

static void
make_chat (char *out, size_t size, const char *mark, int tokens, bool stream)
{
  snprintf (out, size,
            "{\"model\":\"m@v1\",\"max_tokens\":%d,\"stream\":%s,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"[id=%s] hello\"}]}",
            tokens, stream ? "true" : "false", mark);
}

/* The last run in the record whose prompt has this mark, to be freed with json_object_put; NULL if
 * there is none. */
static struct json_object *
run_of (const char *mark)
{
  struct json_object *record = runs_record (0);
  struct json_object *found = NULL;
  for (size_t i = 0; i < json_object_array_length (record); i++)
    {
      struct json_object *run = json_object_array_get_idx (record, i);
      struct json_object *member;
      json_object_object_get_ex (run, "mark", &member);
      if (strcmp (json_object_get_string (member), mark) == 0)
        found = run;
    }
  found = json_object_get (found);
  json_object_put (record);
  return found;
}

static int64_t
run_value (const char *mark, const char *name)
{
  struct json_object *run = run_of (mark);
  struct json_object *member;
  int64_t value = -1;
  if (run && json_object_object_get_ex (run, name, &member))
    value = json_object_get_int64 (member);
  json_object_put (run);
  return value;
}

static bool
has_ended (void *context)
{
  return run_value (context, "ended") == 1;
}

static bool
is_idle (void *context)
{
  int running;
  int queued;
  (void)context;
  runs_count (&running, &queued);
  return running == 0 && queued == 0;
}

static bool
is_running (void *context)
{
  int running;
  int queued;
  (void)context;
  runs_count (&running, &queued);
  return running == 1;
}

/* Counts the ids of a stream: all of them, and those that continue the sequence 0, 1, 2... */
static void
count_ids (const char *stream, int *all, int *next)
{
  *all = 0;
  *next = 0;
  for (const char *s = strstr (stream, "id: "); s; s = strstr (s + 1, "\nid: "))
    {
      int id = (int)strtol (strstr (s, "id: ") + 4, NULL, 10);
      *next += id == *next;
      ++*all;
    }
}

static void
test_stream_events_are_duplicated_and_reordered (void)
{
  /* The faults duplicate and reorder change the sequence of event ids; the stream is still
   * complete. */
  const struct
  {
    const char *fault;
    int all;
    int next; /* ids that continue the sequence */
  } cases[] = { { NULL, TOKENS + 1, TOKENS + 1 },
                { "{\"kind\":\"duplicate\",\"value\":4,\"count\":1}", TOKENS + 4, TOKENS + 1 },
                { "{\"kind\":\"reorder\",\"value\":4,\"count\":1}", TOKENS + 1, 4 } };
  for (size_t i = 0; i < SUITE_COUNT (cases); i++)
    {
      char body[256];
      Buffer out = { 0 };
      int all;
      int next;
      make_chat (body, sizeof body, "spoilt", TOKENS, true);
      if (cases[i].fault)
        set_fault (cases[i].fault);
      CU_ASSERT_EQUAL (call ("POST", CHAT, body, &out), 200);
      count_ids (out.data, &all, &next);
      CU_ASSERT_EQUAL (all, cases[i].all);
      CU_ASSERT_EQUAL (next, cases[i].next);
      CU_ASSERT_PTR_NOT_NULL (strstr (out.data, "data: [DONE]\n\n"));
      buffer_free (&out);
    }
}

static void
test_cut_stream_can_be_resumed (void)
{
  /* After the fault has cut a stream, resuming it from event 2 gives the same bytes as an
   * undisturbed stream from there on. */
  char body[256];
  char path[128];
  Buffer complete = { 0 };
  Buffer cut = { 0 };
  Buffer rest = { 0 };
  make_chat (body, sizeof body, "cut", TOKENS, true);
  CU_ASSERT_EQUAL (call ("POST", CHAT, body, &complete), 200);
  set_fault ("{\"kind\":\"cut_at\",\"value\":300,\"count\":1}");
  CU_ASSERT_EQUAL (call ("POST", CHAT, body, &cut), 0);
  CU_ASSERT_EQUAL (cut.len, 300);
  CU_ASSERT_EQUAL (strncmp (cut.data, complete.data, 300), 0);
  struct json_object *run = run_of ("cut");
  struct json_object *request;
  json_object_object_get_ex (run, "request", &request);
  snprintf (path, sizeof path, "/v1/streams/%s?from=2", json_object_get_string (request));
  CU_ASSERT_EQUAL (call ("GET", path, NULL, &rest), 200);
  CU_ASSERT_STRING_EQUAL (rest.data, strstr (complete.data, "id: 2\n"));
  CU_ASSERT_EQUAL (run_value ("cut", "cancelled"), 0);
  json_object_put (run);
  buffer_free (&complete);
  buffer_free (&cut);
  buffer_free (&rest);
}

static void
test_closed_connection_cancels_run (void)
{
  /* A run is cancelled when its caller closes the connection, streamed or not. */
  const char *const marks[] = { "left-stream", "left-whole" };
  for (size_t i = 0; i < SUITE_COUNT (marks); i++)
    {
      char body[256];
      HttpExchange *exchange;
      make_chat (body, sizeof body, marks[i], 100000, i == 0);
      HttpRequest request = request_of ("POST", CHAT, body);
      request.read_timeout_ms = 1000;
      http_exchange_begin (&request, &exchange, NULL);
      CU_ASSERT_EQUAL (exchange != NULL, i == 0);
      http_exchange_free (exchange);
      CU_ASSERT_TRUE (suite_wait (has_ended, (void *)marks[i]));
      CU_ASSERT_EQUAL (run_value (marks[i], "cancelled"), 1);
    }
}

static void
test_delete_cancels_run (void)
{
  char body[256];
  char path[128];
  HttpExchange *exchange = NULL;
  Buffer out = { 0 };
  char block[4096];
  long n;
  make_chat (body, sizeof body, "deleted", 100000, true);
  HttpRequest request = request_of ("POST", CHAT, body);
  const HttpHeader id = { "X-Lovage-Request", "the-one" };
  request.headers = &id;
  request.header_count = 1;
  CU_ASSERT_EQUAL_FATAL (http_exchange_begin (&request, &exchange, NULL), STATUS_OK);
  snprintf (path, sizeof path, "/v1/streams/%s", id.value);
  CU_ASSERT_EQUAL (call ("DELETE", path, NULL, &out), 204);
  while ((n = http_exchange_read (exchange, block, sizeof block, NULL)) > 0)
    ;
  CU_ASSERT_EQUAL (n, -1);
  http_exchange_free (exchange);
  CU_ASSERT_EQUAL (run_value ("deleted", "cancelled"), 1);
  CU_ASSERT_EQUAL (call ("DELETE", "/v1/streams/unknown", NULL, &out), 404);
  buffer_free (&out);
}

static void
test_higher_priority_runs_first (void)
{
  /* With one slot, the later of two queued runs goes first if it has the higher priority. */
  Prompt prompt = { .mark = "first", .hash = 1 };
  CU_ASSERT_TRUE (suite_wait (is_idle, NULL));
  Run *first = run_begin (&(RunParams){ .model = "m@v1", .prompt = &prompt, .length = 20 });
  CU_ASSERT_TRUE (suite_wait (is_running, NULL));
  Run *low = run_begin (&(RunParams){ .model = "m@v1", .prompt = &prompt, .length = 20 });
  Run *high
      = run_begin (&(RunParams){ .model = "m@v1", .prompt = &prompt, .length = 20, .priority = 1 });
  RunState state = RUN_QUEUED;
  CU_ASSERT_EQUAL (run_wait (high, 19, &state), 20);
  CU_ASSERT_EQUAL (run_wait (first, 19, &state), 20);
  CU_ASSERT_EQUAL (run_wait (low, 19, &state), 20);
  CU_ASSERT_TRUE (first->ended_ms <= high->ended_ms);
  CU_ASSERT_TRUE (high->ended_ms < low->ended_ms);
}

static void
test_not_run (void)
{
  /* The faults that refuse or lose a request, and an unknown version, leave no run in the record;
   * the fault lose_reply leaves a complete one. */
  char body[256];
  Buffer out = { 0 };
  make_chat (body, sizeof body, "never", TOKENS, false);
  char *version = strstr (body, "@v1") + 2;
  const char *const faults[]
      = { "{\"kind\":\"not_run\",\"count\":1}", "{\"kind\":\"drain\",\"count\":0}",
          "{\"kind\":\"down\",\"count\":1}", "{\"kind\":\"lose_call\",\"count\":1}" };
  const int statuses[] = { 503, 503, 503, 0 };
  for (size_t i = 0; i < SUITE_COUNT (faults); i++)
    {
      set_fault (faults[i]);
      CU_ASSERT_EQUAL (call ("POST", CHAT, body, &out), statuses[i]);
      clear_faults ();
    }
  *version = '9';
  CU_ASSERT_EQUAL (call ("POST", CHAT, body, &out), 409);
  CU_ASSERT_EQUAL (run_value ("never", "tokens"), -1);
  set_fault ("{\"kind\":\"lose_reply\",\"count\":1}");
  *version = '1';
  CU_ASSERT_EQUAL (call ("POST", CHAT, body, &out), 0);
  CU_ASSERT_EQUAL (run_value ("never", "tokens"), TOKENS);
  buffer_free (&out);
}

static void
test_outdated_fencing_number_is_refused (void)
{
  /* An order with a lower fencing number than an earlier one has no effect, except with the fault
   * ignore_fencing. */
  Buffer out = { 0 };
  CU_ASSERT_EQUAL (call ("POST", "/v1/orders", "{\"fence\":5,\"load\":[\"m@v2\"]}", &out), 200);
  CU_ASSERT_TRUE (models_loaded ("m@v2"));
  CU_ASSERT_EQUAL (call ("POST", "/v1/orders", "{\"fence\":4,\"unload\":[\"m@v2\"]}", &out), 412);
  CU_ASSERT_TRUE (models_loaded ("m@v2"));
  set_fault ("{\"kind\":\"ignore_fencing\"}");
  CU_ASSERT_EQUAL (call ("POST", "/v1/orders", "{\"fence\":4,\"unload\":[\"m@v2\"]}", &out), 200);
  CU_ASSERT_FALSE (models_loaded ("m@v2"));
  clear_faults ();
  buffer_free (&out);
}

static int
count_events (const char *path, int64_t *next)
{
  Buffer out = { 0 };
  struct json_object *events;
  struct json_object *member;
  CU_ASSERT_EQUAL_FATAL (call ("GET", path, NULL, &out), 200);
  struct json_object *answer = json_tokener_parse (out.data);
  json_object_object_get_ex (answer, "events", &events);
  json_object_object_get_ex (answer, "next", &member);
  int count = (int)json_object_array_length (events);
  *next = json_object_get_int64 (member);
  json_object_put (answer);
  buffer_free (&out);
  return count;
}

static void
test_cache_events_are_reported_and_omitted (void)
{
  char path[64];
  int64_t from;
  int64_t next;
  count_events ("/v1/cache_events", &from);
  for (int i = 0; i < 8; i++)
    {
      char body[256];
      char mark[16];
      Buffer out = { 0 };
      snprintf (mark, sizeof mark, "cache-%d", i / 2);
      make_chat (body, sizeof body, mark, 1, false);
      CU_ASSERT_EQUAL (call ("POST", CHAT, body, &out), 200);
      buffer_free (&out);
    }
  /* Four new prefixes, each used twice, replace the four that the cache held: eight events. */
  snprintf (path, sizeof path, "/v1/cache_events?from=%lld", (long long)from);
  CU_ASSERT_EQUAL (count_events (path, &next), 8);
  CU_ASSERT_EQUAL (next, from + 8);
  set_fault ("{\"kind\":\"gappy_events\",\"value\":2}");
  CU_ASSERT_EQUAL (count_events (path, &next), 4);
  CU_ASSERT_EQUAL (next, from + 8);
  set_fault ("{\"kind\":\"late_events\",\"value\":3600000}");
  CU_ASSERT_EQUAL (count_events (path, &next), 0);
  CU_ASSERT_EQUAL (next, from);
  clear_faults ();
}

static bool
reports_running (void *context)
{
  Buffer out = { 0 };
  call ("GET", "/v1/load", NULL, &out);
  bool running = out.data && strstr (out.data, "\"running\":1") != NULL;
  buffer_free (&out);
  return running == *(const bool *)context;
}

static void
test_lag_load_delays_load_report (void)
{
  Prompt prompt = { .mark = "load", .hash = 1 };
  bool yes = true;
  bool no = false;
  Run *run = run_begin (&(RunParams){ .model = "m@v1", .prompt = &prompt, .length = 100000 });
  CU_ASSERT_TRUE (suite_wait (reports_running, &yes));
  set_fault ("{\"kind\":\"lag_load\",\"value\":500}");
  /* The report is half a second old, so that it shows the run's start and end only later. */
  CU_ASSERT_TRUE (suite_wait (reports_running, &yes));
  run_cancel (run);
  CU_ASSERT_TRUE (reports_running (&yes));
  CU_ASSERT_TRUE (suite_wait (reports_running, &no));
  clear_faults ();
}

int
main (int argc, char **argv)
{
  const SuiteCase cases[]
      = { { "stream_events_are_duplicated_and_reordered",
            test_stream_events_are_duplicated_and_reordered },
          { "cut_stream_can_be_resumed", test_cut_stream_can_be_resumed },
          { "closed_connection_cancels_run", test_closed_connection_cancels_run },
          { "delete_cancels_run", test_delete_cancels_run },
          { "higher_priority_runs_first", test_higher_priority_runs_first },
          { "not_run", test_not_run },
          { "outdated_fencing_number_is_refused", test_outdated_fencing_number_is_refused },
          { "cache_events_are_reported_and_omitted", test_cache_events_are_reported_and_omitted },
          { "lag_load_delays_load_report", test_lag_load_delays_load_report } };
  port = suite_free_port ();
  models_serve ("m@v1");
  runs_start ();
  load_start ();
  struct MHD_Daemon *daemon = standin_http_start (LOCALHOST, port, &engine_routes);
  int status
      = daemon ? suite_main (argc, argv, "engine", cases, SUITE_COUNT (cases)) : EXIT_FAILURE;
  runs_stop ();
  if (daemon)
    standin_http_stop (daemon);
  return status;
}
