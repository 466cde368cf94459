/* Which connections make room for others, as lovage-front does it: first those whose callers hold
 * back a request or don't take an answer; then, for memory, the request that began to arrive last;
 * for a new connection the one that has been idle for longest. Complete requests stay. */
#include "gate_filter_private.h"
#include "http_arrival.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"
#include <event2/buffer.h>

#define STEP "request.room"
/* Milliseconds without a byte taken after which an answer counts as held back by its caller. */
#define UNREAD_MS 1000

void
filter_give (GateFilter *filter)
{
  gate_memory_give (filter->filters->memory, GATE_MEMORY_REQUESTS, filter->held);
  filter->held = 0;
}

void
filter_give_answered (GateFilter *filter)
{
  if (!filter->mid_request && gate_link_answer_count (filter->link) >= filter->requests)
    filter_give (filter);
}

/* Milliseconds by which the request that arrives is late; 0 or less: it isn't, or there is none. */
static int64_t
late_ms (const GateFilter *filter, int64_t now_ms)
{
  if (!filter->server || !filter->mid_request)
    return 0;
  return http_arrival_late_ms (now_ms - filter->since_ms, filter->received);
}

static int64_t
unread_ms (const GateFilter *filter, int64_t now_ms)
{
  if (evbuffer_get_length (bufferevent_get_output (filter->caller)) == 0)
    return 0;
  return now_ms - filter->taken_ms - UNREAD_MS;
}

static void
log_room (const GateFilter *filter, const char *cause)
{
  const GateFilters *filters = filter->filters;

  counter_add (COUNTER_GATE_ROOM_MADE, 1);
  log_msg (MSG_GATE_ROOM_MADE,
           "cause=\"%s\" received=\"%zu\" for_ms=\"%lld\" connections=\"%u\" held=\"%zu\"", cause,
           filter->received, (long long)(clock_boot_ms () - filter->since_ms), filters->count,
           gate_memory_held (filters->memory, GATE_MEMORY_REQUESTS));
}

static GateFilter *
latest (const GateFilters *filters)
{
  GateFilter *filter, *found = NULL;
  int64_t now_ms = clock_boot_ms ();
  int64_t most_ms = 0;

  cds_list_for_each_entry (filter, &filters->list, node)
  {
    int64_t ms = late_ms (filter, now_ms);

    if (ms <= most_ms)
      continue;
    found = filter;
    most_ms = ms;
  }
  return found;
}

static GateFilter *
last_long_to_arrive (const GateFilters *filters)
{
  GateFilter *filter, *last = NULL;

  cds_list_for_each_entry (filter, &filters->list, node)
  {
    if (filter->server && filter->mid_request && filter->received > GATE_MEMORY_SHORT_BYTES
        && (!last || filter->since_ms >= last->since_ms))
      last = filter;
  }
  return last;
}

static void
give_answered (const GateFilters *filters)
{
  GateFilter *filter;

  cds_list_for_each_entry (filter, &filters->list, node) filter_give_answered (filter);
}

/* False if only the request itself could make room. */
static bool
make_room (GateFilter *filter)
{
  GateFilter *other = latest (filter->filters);
  bool is_late = other != NULL;

  if (!other)
    other = last_long_to_arrive (filter->filters);
  if (!other || other == filter)
    return false;
  log_room (other, is_late ? "late" : "last");
  filter_refuse (other, is_late ? REFUSAL_READ_TIMEOUT : REASON_OVERLOAD, STEP);
  return true;
}

bool
filter_take (GateFilter *filter, size_t bytes)
{
  GateMemory *memory = filter->filters->memory;
  size_t counted = bytes * GATE_MEMORY_REQUEST_FACTOR;
  bool is_short = filter->received <= GATE_MEMORY_SHORT_BYTES;

  if (!gate_memory_take_request (memory, counted, is_short))
    {
      give_answered (filter->filters);
      while (!gate_memory_take_request (memory, counted, is_short))
        {
          if (make_room (filter))
            continue;
          log_room (filter, "refused");
          return false;
        }
    }
  filter->held += counted;
  return true;
}

static bool
is_idle (const GateFilter *filter)
{
  return filter->server && !filter->mid_request
         && gate_link_answer_count (filter->link) >= filter->requests
         && evbuffer_get_length (bufferevent_get_output (filter->caller)) == 0;
}

static GateFilter *
first_idle (const GateFilters *filters)
{
  GateFilter *filter, *first = NULL;

  cds_list_for_each_entry (filter, &filters->list, node)
  {
    if (is_idle (filter) && (!first || filter->since_ms < first->since_ms))
      first = filter;
  }
  return first;
}

/* The connection of whose answer no byte was taken for longest. */
static GateFilter *
most_unread (const GateFilters *filters)
{
  GateFilter *filter, *found = NULL;
  int64_t now_ms = clock_boot_ms ();
  int64_t most_ms = 0;

  cds_list_for_each_entry (filter, &filters->list, node)
  {
    int64_t ms = unread_ms (filter, now_ms);

    if (ms <= most_ms)
      continue;
    found = filter;
    most_ms = ms;
  }
  return found;
}

bool
gate_filters_close_one (GateFilters *filters)
{
  GateFilter *filter = latest (filters);
  const char *cause = "late";

  if (!filter)
    {
      filter = most_unread (filters);
      cause = "unread";
    }
  if (!filter)
    {
      filter = first_idle (filters);
      cause = "idle";
    }
  if (!filter)
    return false;
  log_room (filter, cause);
  filter_free (filter);
  return true;
}

void
gate_filters_tick (GateFilters *filters)
{
  GateFilter *filter;

  give_answered (filters);
  while (gate_memory_is_waited_for (filters->memory) && (filter = most_unread (filters)))
    {
      log_room (filter, "unread");
      filter_free (filter);
    }
}
