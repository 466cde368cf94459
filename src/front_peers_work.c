/* Reading that fronts send to backend servers, told to others as it is sent. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "front_work_message.h"
#include <math.h>
#include <sys/socket.h>

/* Milliseconds of reading at one server from which others are told: shorter prompts are gone before
 * anybody can heed them. */
#define TELL_LEAST_MS 10.0
/* Fronts that are told of one piece of reading, those of our failure domain first: they use the
 * same servers. */
#define TELL_MOST   24
#define SHARE_UNITS 100.0 /* of WorkNote.running */

static bool
may_tell (const FrontPeers *peers, const Peer *peer, bool near, int64_t now_ms)
{
  return peer_is_alive (peer, now_ms) && (peer->domain == peers->own_domain) == near;
}

static unsigned
tell_those (FrontPeers *peers,
            const void *data,
            size_t len,
            bool near,
            unsigned most,
            int64_t now_ms)
{
  unsigned told = 0;

  for (unsigned i = 0; i < peers->count && told < most; i++)
    {
      const Peer *peer = &peers->list[(peers->next_work + i) % peers->count];

      if (!may_tell (peers, peer, near, now_ms))
        continue;
      sendto (peers->fd, data, len, 0, (const struct sockaddr *)&peer->address,
              sizeof peer->address);
      front_counter_add (FRONT_COUNTER_WORK_MESSAGES);
      told++;
    }
  return told;
}

void
front_peers_tell_work (FrontPeers *peers,
                       FrontServer *server,
                       double read_ms,
                       double share,
                       int64_t now_ms)
{
  WorkMessage message = { .incarnation = peers->front->incarnation, .count = 1 };
  unsigned char data[WORK_MESSAGE_MAX];
  unsigned told;
  size_t len;

  server->untold_ms += read_ms;
  server->untold_share += share;
  if (server->untold_ms < TELL_LEAST_MS)
    return;
  message.notes[0] = (WorkNote){ .server = server->hash,
                                 .read_ms = (uint32_t)lround (server->untold_ms),
                                 .running = (uint32_t)lround (server->untold_share * SHARE_UNITS) };
  server->untold_ms = 0;
  server->untold_share = 0;
  len = work_message_encode (&message, data, sizeof data);
  told = tell_those (peers, data, len, true, TELL_MOST, now_ms);
  tell_those (peers, data, len, false, TELL_MOST - told, now_ms);
  peers->next_work++;
}

static void
take_note (Front *front, const WorkNote *note, int64_t now_ms)
{
  FrontServer *server;

  cds_list_for_each_entry (server, front_servers_list (front->servers), node)
  {
    if (server->hash != note->server)
      continue;
    front_others_add (&server->others, note->read_ms, note->running / SHARE_UNITS, now_ms);
    return;
  }
}

bool
peers_take_work (FrontPeers *peers, const void *data, size_t len, int64_t now_ms)
{
  WorkMessage message;

  if (!work_message_decode (&message, data, len))
    return false;
  if (message.incarnation == peers->front->incarnation)
    return true;
  for (uint32_t i = 0; i < message.count; i++)
    take_note (peers->front, &message.notes[i], now_ms);
  return true;
}
