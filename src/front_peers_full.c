/* Tells other fronts of requests that brittle servers turned away. Each front would otherwise find
 * by a request of its own that a server is full, and all these requests together bring it down. */
#include "front_counter.h"
#include "front_full_message.h"
#include "front_peers_private.h"

void
front_peers_send_full (FrontPeers *peers, const FrontServer *server, int64_t now_ms)
{
  const FullMessage message = { .incarnation = peers->front->incarnation, .server = server->hash };
  unsigned char data[FULL_MESSAGE_MAX];

  if (peers_may_send_work (peers, now_ms))
    peers_send_at_once (peers, data, full_message_encode (&message, data, sizeof data), now_ms);
}

bool
peers_receive_full (FrontPeers *peers, const void *data, size_t len, int64_t now_ms)
{
  FullMessage message;
  FrontServer *server;
  int64_t rest_ms;

  if (!full_message_decode (&message, data, len))
    return false;
  server = front_servers_find_hash (peers->front->servers, message.server);
  if (!server || message.incarnation == peers->front->incarnation)
    return true;
  front_counter_add (FRONT_COUNTER_FULL_TOLD);
  rest_ms = server_brittle_told_full (&server->brittle, now_ms);
  if (rest_ms > 0)
    front_server_rest (server, rest_ms, now_ms);
  return true;
}
