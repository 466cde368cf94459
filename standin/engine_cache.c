#include "engine_cache.h"
#include "common_fault.h"
#include "engine_options.h"
#include "util_clock.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS_MAX 4096 /* events kept; older ones are lost */

typedef struct
{
  int64_t seq;
  uint64_t prefix;
  bool added;
  int64_t at_ms; /* boot-time clock */
} CacheEvent;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t *prefixes; /* most recently used first */
static int prefix_count;
static CacheEvent events[EVENTS_MAX]; /* ring buffer; seq modulo its size is the index */
static int64_t next_seq;

static void
add_event (uint64_t prefix, bool added)
{
  events[next_seq % EVENTS_MAX] = (CacheEvent){ next_seq, prefix, added, clock_boot_ms () };
  next_seq++;
}

static int
find_prefix (uint64_t prefix)
{
  for (int i = 0; i < prefix_count; i++)
    if (prefixes[i] == prefix)
      return i;
  return -1;
}

bool
cache_use (uint64_t prefix)
{
  if (engine_options.prefixes < 1)
    return false;
  pthread_mutex_lock (&lock);
  if (!prefixes)
    prefixes = memory_array ((size_t)engine_options.prefixes, sizeof *prefixes);
  int at = find_prefix (prefix);
  bool cached = at >= 0;
  if (!cached && prefix_count == engine_options.prefixes)
    add_event (prefixes[--prefix_count], false);
  if (!cached)
    {
      at = prefix_count++;
      add_event (prefix, true);
    }
  memmove (&prefixes[1], &prefixes[0], (size_t)at * sizeof *prefixes);
  prefixes[0] = prefix;
  pthread_mutex_unlock (&lock);
  return cached;
}

static struct json_object *
event_json (const CacheEvent *event)
{
  char hash[20];
  struct json_object *obj = json_object_new_object ();
  snprintf (hash, sizeof hash, "%016llx", (unsigned long long)event->prefix);
  json_object_object_add (obj, "seq", json_object_new_int64 (event->seq));
  json_object_object_add (obj, "prefix", json_object_new_string (hash));
  json_object_object_add (obj, "added", json_object_new_boolean (event->added));
  return obj;
}

enum MHD_Result
cache_events (StandinRequest *request)
{
  const char *text = standin_query (request, "from");
  int64_t seq = text ? strtoll (text, NULL, 10) : 0;
  Fault late = { 0 };
  Fault gappy = { 0 };
  fault_peek (FAULT_LATE_EVENTS, request->path, &late);
  fault_peek (FAULT_GAPPY_EVENTS, request->path, &gappy);
  int64_t newest_ms = clock_boot_ms () - (int64_t)late.number;
  struct json_object *list = json_object_new_array ();
  pthread_mutex_lock (&lock);
  if (seq < next_seq - EVENTS_MAX)
    seq = next_seq - EVENTS_MAX;
  for (; seq < next_seq && events[seq % EVENTS_MAX].at_ms <= newest_ms; seq++)
    if (gappy.number < 1 || (seq + 1) % (int64_t)gappy.number != 0)
      json_object_array_add (list, event_json (&events[seq % EVENTS_MAX]));
  pthread_mutex_unlock (&lock);
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "events", list);
  json_object_object_add (reply, "next", json_object_new_int64 (seq));
  return standin_reply (request, MHD_HTTP_OK, reply);
}
