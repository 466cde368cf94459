/* Handles the loss of an attempt's connection. */
#include "front_counter.h"
#include "front_deaths.h"
#include "front_keep.h"
#include "front_pool.h"
#include "front_request_private.h"
#include "util_clock.h"

static void
check_server (FrontRequest *request)
{
  DeathFlight flight = { .fingerprint = request->fingerprint, .parts = request->parts };

  if (!request->has_begun && !request->parts_reported)
    flight.part_count = request->part_count;
  request->parts_reported |= flight.part_count > 0;
  front_deaths_check (request->front, request->server, &flight);
}

/* The server may have been closing the idle connection. */
static bool
is_kept_cut (const FrontRequest *request)
{
  return front_attempt_is_kept (request->attempt)
         && !front_attempt_reply (request->attempt)->status;
}

/* After a longer time than an unacknowledged write may take, it was no close of an idle
 * connection. */
static void
handle_kept_cut (const FrontRequest *request, int64_t now_ms)
{
  front_counter_add (FRONT_COUNTER_KEPT_CUT);
  front_pool_forget (request->front->pool, request->server);
  if (now_ms - request->attempt_ms >= KEEP_UNACKED_TIMEOUT_MS)
    front_health_failed (&request->server->health, now_ms);
}

static const char *
cut_reason (const FrontRequest *request)
{
  if (is_kept_cut (request))
    return "kept_closed";
  if (front_attempt_is_too_long (request->attempt))
    return "answer_too_long";
  return request->relaying ? "stream_cut" : "answer_cut";
}

void
request_handle_cut (FrontRequest *request)
{
  int64_t now_ms = clock_boot_ms ();

  if (!front_attempt_is_sent (request->attempt))
    {
      request_handle_unreachable (request, "not_connected");
      return;
    }
  if (is_kept_cut (request))
    handle_kept_cut (request, now_ms);
  else
    front_health_failed (&request->server->health, now_ms);
  check_server (request);
  request_retry (request, cut_reason (request), true);
}
