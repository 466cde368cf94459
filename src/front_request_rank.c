/* Ranks a request when it arrives: by its team and route, and one behind if its team has had its
 * part of a loaded service. */
#include "front_counter.h"
#include "front_request_private.h"
#include "front_urgency.h"

/* True if answers of the request's service begin late in general, for the request's route. */
static bool
is_loaded (const FrontRequest *request)
{
  WaitBelief belief = front_waits_general (request->front->waits, request_service_hash (request),
                                           request_wait_rank (request), request->arrived_ms);

  return front_urgency_is_loaded (belief.ms, request->route->objective_ms);
}

/* A request that another front handed over was counted there. */
static bool
is_in_turn (const FrontRequest *request)
{
  return !request->team || request->call.handed_off_attempts >= 0
         || front_team_use_add (
             &request->front->team_use, request_service_hash (request), request->team->hash,
             is_loaded (request) && request->route->may_yield, request->arrived_ms);
}

void
request_raise_rank (FrontRequest *request, int64_t now_ms)
{
  if (front_is_contended (request->front) && !request->is_behind
      && front_urgency_is_pressed (now_ms - request->arrived_ms, request->end_ms - now_ms))
    request->rank = front_config_first_rank (request->config, request->team);
}

void
request_set_rank (FrontRequest *request)
{
  if (!front_is_contended (request->front))
    {
      request->rank = front_config_priority (request->route, request->team);
      return;
    }
  request->rank = front_config_rank (request->config, request->route, request->team);
  if (is_in_turn (request))
    return;
  request->is_behind = true;
  request->rank = front_urgency_rank_behind ((unsigned)request->rank);
  front_counter_add (FRONT_COUNTER_BEHIND);
}
