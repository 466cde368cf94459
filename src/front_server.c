#include "front_server.h"

static const char *const names[FRONT_SERVER_STATES] = {
  [FRONT_SERVER_READY] = "ready",     [FRONT_SERVER_COLD] = "cold",
  [FRONT_SERVER_AVOIDED] = "avoided", [FRONT_SERVER_UNCONFIRMED] = "unconfirmed",
  [FRONT_SERVER_RESTING] = "resting", [FRONT_SERVER_EVACUATED] = "evacuated",
  [FRONT_SERVER_LEAVING] = "leaving", [FRONT_SERVER_GONE] = "gone",
};

void
front_server_lost_address (FrontServer *server)
{
  server->leaving = true;
}

/* A shorter rest that a later answer asks for doesn't end a longer one. */
void
front_server_rest (FrontServer *server, int64_t rest_ms, int64_t now_ms)
{
  if (now_ms + rest_ms > server->rest_until_ms)
    server->rest_until_ms = now_ms + rest_ms;
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
  if (now_ms < server->rest_until_ms)
    return FRONT_SERVER_RESTING;
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
