#include "front_server.h"

static const char *const names[FRONT_SERVER_STATES] = {
  [FRONT_SERVER_READY] = "ready",         [FRONT_SERVER_COLD] = "cold",
  [FRONT_SERVER_AVOIDED] = "avoided",     [FRONT_SERVER_UNCONFIRMED] = "unconfirmed",
  [FRONT_SERVER_EVACUATED] = "evacuated", [FRONT_SERVER_LEAVING] = "leaving",
  [FRONT_SERVER_GONE] = "gone",
};

void
front_server_lost_address (FrontServer *server)
{
  server->leaving = true;
}

bool
front_server_takes_work (const FrontServer *server)
{
  return server->listed && !server->leaving && !server->evacuated;
}

/* The list takes precedence over the results of requests: a server that is leaving may answer well,
 * but gets no new work. */
FrontServerState
front_server_state (const FrontServer *server, int64_t now_ms)
{
  if (!server->listed)
    return FRONT_SERVER_GONE;
  if (server->leaving)
    return FRONT_SERVER_LEAVING;
  if (server->evacuated)
    return FRONT_SERVER_EVACUATED;
  if (server->unconfirmed)
    return FRONT_SERVER_UNCONFIRMED;
  if (front_health_avoided (&server->health, now_ms))
    return FRONT_SERVER_AVOIDED;
  return now_ms < server->cold_until_ms ? FRONT_SERVER_COLD : FRONT_SERVER_READY;
}

const char *
front_server_state_name (FrontServerState state)
{
  return names[state];
}
