/* Requests that wait here until a brittle server has room for them: sent on, they would be turned
 * away, and bring it down. Each waits for a slot that this front's other requests free. */
#include "front_counter.h"
#include "front_log.h"
#include "front_request_private.h"
#include "util_clock.h"
#include "util_unused.h"
#include <string.h>

/* The longest wait, as parts of the objective and of the time that is left: another front may serve
 * the caller's next attempt in the rest. */
#define WAIT_OBJECTIVE_SHARE 1.0
#define WAIT_LEFT_SHARE      0.25
/* Milliseconds after which room is sought again if no request ends: a server's rest may be over, or
 * its room may have grown. */
#define RETRY_MS     50
#define US_PER_MS    1000L
#define SMOOTHING    0.1    /* weight of one interval */
#define INTERVAL_MAX 1000.0 /* milliseconds */
/* Services without room that are remembered while one list of requests is walked. */
#define NO_ROOM_MAX 8

void
front_waiting_init (FrontWaiting *waiting)
{
  CDS_INIT_LIST_HEAD (&waiting->requests);
  waiting->timer = NULL;
}

void
front_waiting_clear (FrontWaiting *waiting)
{
  if (waiting->timer)
    event_free (waiting->timer);
  waiting->timer = NULL;
}

static RoomInterval *
interval_of (FrontWaiting *waiting, uint64_t service)
{
  RoomInterval *oldest = &waiting->intervals[0];

  for (unsigned i = 0; i < WAITING_SERVICES_MAX; i++)
    {
      RoomInterval *interval = &waiting->intervals[i];

      if (interval->service == service)
        return interval;
      if (interval->freed_ms < oldest->freed_ms)
        oldest = interval;
    }
  *oldest = (RoomInterval){ .service = service };
  return oldest;
}

static unsigned
count_before (const FrontRequest *request)
{
  const FrontRequest *other;
  unsigned count = 0;

  cds_list_for_each_entry (other, &request->front->waiting.requests, waiting_node)
  {
    count += strcmp (other->service, request->service) == 0
             && other->route->priority <= request->route->priority;
  }
  return count;
}

static int64_t
longest_wait_ms (const FrontRequest *request, int64_t now_ms)
{
  double objective_ms = WAIT_OBJECTIVE_SHARE * (double)request->route->objective_ms;
  double left_ms = WAIT_LEFT_SHARE * (double)(request->end_ms - now_ms);

  return (int64_t)(objective_ms < left_ms ? objective_ms : left_ms);
}

/* Milliseconds until the requests that come before it have got room, and it has. */
static int64_t
expected_wait_ms (const FrontRequest *request)
{
  const RoomInterval *interval
      = interval_of (&request->front->waiting, request_service_hash (request));

  return (int64_t)(interval->ms * (count_before (request) + 1));
}

/* More urgent requests come first, then those that came first. */
static void
add (FrontWaiting *waiting, FrontRequest *request)
{
  FrontRequest *other;

  cds_list_for_each_entry_reverse (other, &waiting->requests, waiting_node)
  {
    if (other->route->priority <= request->route->priority)
      break;
  }
  cds_list_add (&request->waiting_node, &other->waiting_node);
}

static bool
is_known (const char *const *services, unsigned count, const char *service)
{
  for (unsigned i = 0; i < count; i++)
    {
      if (strcmp (services[i], service) == 0)
        return true;
    }
  return false;
}

/* The first request for which a server has room; NULL: there is none. */
static FrontRequest *
first_with_room (FrontWaiting *waiting)
{
  const char *no_room[NO_ROOM_MAX];
  unsigned count = 0;
  FrontRequest *request;

  cds_list_for_each_entry (request, &waiting->requests, waiting_node)
  {
    if (is_known (no_room, count, request->service))
      continue;
    if (request_has_server (request))
      return request;
    if (count < NO_ROOM_MAX)
      no_room[count++] = request->service;
  }
  return NULL;
}

static void arm (Front *front, int64_t wait_ms);

static void
on_timer (evutil_socket_t fd UNUSED, short what UNUSED, void *user)
{
  Front *front = user;
  FrontRequest *request;

  while ((request = first_with_room (&front->waiting)))
    {
      request_stop_waiting (request);
      request_send (request);
    }
  if (!cds_list_empty (&front->waiting.requests))
    arm (front, RETRY_MS);
}

static void
arm (Front *front, int64_t wait_ms)
{
  const struct timeval wait = { .tv_usec = wait_ms * US_PER_MS };

  if (!front->waiting.timer)
    front->waiting.timer = evtimer_new (front->base, on_timer, front);
  evtimer_add (front->waiting.timer, &wait);
}

bool
request_wait_for_room (FrontRequest *request)
{
  FrontWaiting *waiting = &request->front->waiting;
  int64_t now_ms = clock_boot_ms ();
  int64_t longest_ms = longest_wait_ms (request, now_ms);

  if (request->wait_end_ms == 0)
    request->wait_end_ms = now_ms + longest_ms;
  if (request->call.handed_off_attempts >= 0 || now_ms >= request->wait_end_ms
      || expected_wait_ms (request) > longest_ms)
    return false;
  if (cds_list_empty (&waiting->requests))
    arm (request->front, RETRY_MS);
  add (waiting, request);
  request->is_waiting = true;
  front_counter_add (FRONT_COUNTER_WAITS);
  request_arm_timer (request);
  return true;
}

void
request_stop_waiting (FrontRequest *request)
{
  if (!request->is_waiting)
    return;
  cds_list_del (&request->waiting_node);
  request->is_waiting = false;
}

void
request_end_wait (FrontRequest *request)
{
  int64_t wait_ms = expected_wait_ms (request);

  request_stop_waiting (request);
  request_give_up (request, "servers_full", wait_ms);
}

void
front_waiting_room_freed (Front *front, uint64_t service, int64_t now_ms)
{
  RoomInterval *interval = interval_of (&front->waiting, service);
  double ms = (double)(now_ms - interval->freed_ms);

  if (interval->freed_ms != 0)
    interval->ms += SMOOTHING * ((ms < INTERVAL_MAX ? ms : INTERVAL_MAX) - interval->ms);
  interval->freed_ms = now_ms;
  if (!cds_list_empty (&front->waiting.requests))
    arm (front, 0);
}
