#include "gate_poll.h"
#include "gate_thread.h"
#include "http_reader.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define POLL_THREADS     4
#define POLL_INTERVAL_MS 1000
#define POLL_STEP_MS     50 /* interval of checks for a stop */
#define POLL_TIMEOUT_MS  1000
#define REPORT_MAX       (64UL * 1024) /* bytes */
/** Reads by one thread in one interval; further engines are read in later intervals. */
#define READS_PER_ROUND (GATE_POLL_READS_MAX / POLL_THREADS)

/** A watched engine and the persistent connection to it. */
typedef struct
{
  unsigned server; /**< its index in the configuration */
  HttpReader *reader;
} PollEngine;

typedef struct
{
  GatePoll *poll;
  unsigned index;
  pthread_t thread;
  PollEngine *engines; /**< this thread's share of the watched engines */
  size_t engine_count;
  size_t next;    /**< index of the engine to read next */
  int64_t number; /**< number of the configuration that engines was built from */
} PollThread;

struct GatePoll
{
  Gate *gate;
  bool stop; /* atomic */
  PollThread threads[POLL_THREADS];
};

static bool stopped (GatePoll *poll);
static void poll_server (HttpReader *reader, GateServer *server);
static void *poll_run (void *context);

static bool
stopped (GatePoll *poll)
{
  return __atomic_load_n (&poll->stop, __ATOMIC_ACQUIRE);
}

static int64_t
read_count (struct json_object *root, const char *name)
{
  struct json_object *value;
  int64_t n;

  if (!json_object_object_get_ex (root, name, &value)
      || !json_object_is_type (value, json_type_int))
    return 0;
  n = json_object_get_int64 (value);
  return n > 0 ? n : 0;
}

static bool
apply_report (GateServer *server, const Buffer *answer)
{
  struct json_object *root = answer->data != NULL ? json_tokener_parse (answer->data) : NULL;
  struct json_object *draining;
  bool is_draining;

  if (!json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      return false;
    }
  is_draining = json_object_object_get_ex (root, "draining", &draining)
                && json_object_get_boolean (draining);
  gate_server_record_report (server, read_count (root, "running") + read_count (root, "queued"),
                             is_draining, read_count (root, "at_ms"), clock_boot_ms ());
  json_object_put (root);
  return true;
}

static void
poll_server (HttpReader *reader, GateServer *server)
{
  HttpRead read = {
    .path = "/v1/load",
    .connect_timeout_ms = POLL_TIMEOUT_MS,
    .read_timeout_ms = POLL_TIMEOUT_MS,
    .answer_max = REPORT_MAX,
  };
  Buffer answer = { 0 };
  int http_status = 0;
  Status st = { 0 };
  StatusCode code = http_reader_get (reader, &read, &http_status, &answer, &st);
  bool taken = code == STATUS_OK && http_status == 200 && apply_report (server, &answer);

  if (!taken)
    gate_server_record_missed_report (server, code == STATUS_UNAVAILABLE, clock_boot_ms ());
  counter_add (taken ? COUNTER_GATE_LOAD_REPORTS : COUNTER_GATE_LOAD_REPORTS_MISSED, 1);
  buffer_free (&answer);
}

static void
engines_free (PollEngine *engines, size_t count)
{
  for (size_t i = 0; engines != NULL && i < count; i++)
    http_reader_free (engines[i].reader);
  free (engines);
}

/* Takes over the existing reader of this address, or creates one. */
static HttpReader *
reuse_or_open_reader (PollThread *thread, const ConfigServer *server)
{
  for (size_t i = 0; thread->engines != NULL && i < thread->engine_count; i++)
    {
      HttpReader *reader = thread->engines[i].reader;
      if (reader != NULL && http_reader_has_address (reader, server->address, server->port))
        {
          thread->engines[i].reader = NULL;
          return reader;
        }
    }
  return http_reader_new (server->address, server->port, 1);
}

/* Rebuilds the thread's share: every POLL_THREADSth watched engine. Connections to engines that are
   no longer in the share are closed. */
static void
rebuild_engines (PollThread *thread, const GateSnapshot *snapshot)
{
  const Config *config = snapshot->config;
  PollEngine *engines = memory_array (config->server_count + 1, sizeof (*engines));
  size_t watched = 0;
  size_t count = 0;

  for (unsigned i = 0; i < config->server_count; i++)
    {
      if (!snapshot->index->watched[i] || config->servers[i].kind != SERVER_ENGINE)
        continue;
      if (watched++ % POLL_THREADS == thread->index)
        engines[count++]
            = (PollEngine){ .server = i,
                            .reader = reuse_or_open_reader (thread, &config->servers[i]) };
    }
  engines_free (thread->engines, thread->engine_count);
  thread->engines = engines;
  thread->engine_count = count;
  thread->next = count > 0 ? thread->next % count : 0;
  thread->number = config->number;
}

/* Reads the next READS_PER_ROUND engines of this thread's share, or all if there are fewer. */
static void
poll_round (PollThread *thread)
{
  GateSnapshot *snapshot = gate_snapshot_get (&thread->poll->gate->snapshots);

  if (snapshot == NULL)
    return;
  if (thread->engines == NULL || thread->number != snapshot->config->number)
    rebuild_engines (thread, snapshot);
  for (size_t i = 0; i < thread->engine_count && i < READS_PER_ROUND; i++)
    {
      const PollEngine *engine = &thread->engines[thread->next];
      if (stopped (thread->poll))
        break;
      poll_server (engine->reader, snapshot->servers[engine->server]);
      thread->next = (thread->next + 1) % thread->engine_count;
    }
  gate_snapshot_put (snapshot);
}

static void *
poll_run (void *context)
{
  PollThread *thread = context;

  clock_sleep_ms (thread->index * POLL_INTERVAL_MS / POLL_THREADS);
  while (!stopped (thread->poll))
    {
      int64_t next_ms = clock_boot_ms () + POLL_INTERVAL_MS;
      poll_round (thread);
      while (!stopped (thread->poll) && clock_boot_ms () < next_ms)
        clock_sleep_ms (POLL_STEP_MS);
    }
  engines_free (thread->engines, thread->engine_count);
  return NULL;
}

GatePoll *
gate_poll_start (Gate *gate)
{
  GatePoll *poll = memory_alloc (sizeof (*poll));

  poll->gate = gate;
  for (unsigned i = 0; i < POLL_THREADS; i++)
    {
      poll->threads[i] = (PollThread){ .poll = poll, .index = i };
      gate_thread_start (&poll->threads[i].thread, poll_run, &poll->threads[i]);
    }
  return poll;
}

void
gate_poll_stop (GatePoll *poll)
{
  __atomic_store_n (&poll->stop, true, __ATOMIC_RELEASE);
  for (unsigned i = 0; i < POLL_THREADS; i++)
    pthread_join (poll->threads[i].thread, NULL);
  free (poll);
}
