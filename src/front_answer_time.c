/* Learns how long the servers of a plain service take to answer. */
#include "front_answer_time.h"
#include <math.h>
#include <stddef.h>

/* Weight of one answer for its server: a front sends each of them about one request a second, and
 * three answers have to be enough. */
#define SERVER_SMOOTHING 0.3
/* The same for the service, of which each answer of any server tells. */
#define SERVICE_SMOOTHING 0.05
/* Milliseconds in which the difference of a server that gets no requests falls to a third. */
#define FORGET_MS 3000.0
/* Milliseconds; no caller of a plain service waits longer. */
#define ANSWER_MAX_MS 60000.0
/* One answer counts for the service as at most this multiple of what is usual, so that a server
 * that hangs does not make all others look fast. */
#define OUTLIER_FACTOR 4.0

static ServiceAnswerTime *
service_get (FrontAnswerTimes *times, uint64_t service)
{
  ServiceAnswerTime *oldest = &times->services[0];

  for (unsigned i = 0; i < ANSWER_SERVICES_MAX; i++)
    {
      ServiceAnswerTime *known = &times->services[i];

      if (known->service == service)
        return known;
      if (known->at_ms < oldest->at_ms)
        oldest = known;
    }
  *oldest = (ServiceAnswerTime){ .service = service };
  return oldest;
}

double
front_answer_times_typical_ms (const FrontAnswerTimes *times, uint64_t service)
{
  for (unsigned i = 0; i < ANSWER_SERVICES_MAX; i++)
    {
      if (times->services[i].service == service)
        return times->services[i].typical_ms;
    }
  return 0;
}

static double
expected_ms (const AnswerTime *server, double typical_ms, int64_t now_ms)
{
  if (server->at_ms == 0)
    return typical_ms;
  return typical_ms
         + (server->ms - typical_ms) * exp (-(double)(now_ms - server->at_ms) / FORGET_MS);
}

static void
server_add (AnswerTime *server, double typical_ms, double ms, int64_t now_ms)
{
  double known = expected_ms (server, typical_ms, now_ms);

  *server = (AnswerTime){ .ms = known + SERVER_SMOOTHING * (ms - known), .at_ms = now_ms };
}

void
front_answer_times_add (FrontAnswerTimes *times,
                        uint64_t service,
                        AnswerTime *server,
                        double ms,
                        int64_t now_ms)
{
  ServiceAnswerTime *known;

  if (!isfinite (ms) || ms < 0 || ms > ANSWER_MAX_MS || service == 0)
    return;
  known = service_get (times, service);
  if (known->typical_ms == 0)
    known->typical_ms = ms;
  else
    known->typical_ms
        += SERVICE_SMOOTHING * (fmin (ms, OUTLIER_FACTOR * known->typical_ms) - known->typical_ms);
  known->at_ms = now_ms;
  server_add (server, known->typical_ms, ms, now_ms);
}

void
answer_time_add_missing (AnswerTime *server, double typical_ms, double ms, int64_t now_ms)
{
  if (typical_ms > 0 && ms <= ANSWER_MAX_MS && ms > expected_ms (server, typical_ms, now_ms))
    server_add (server, typical_ms, ms, now_ms);
}

double
answer_time_extra_ms (const AnswerTime *server, double typical_ms, int64_t now_ms)
{
  return expected_ms (server, typical_ms, now_ms) - typical_ms;
}
