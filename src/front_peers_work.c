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
#define SHARE_UNITS 100.0 /* of WorkEntry.running */
/* Bytes a second that a front sends for this, headers of UDP and IP included. A front of 80 needs
 * 7,200 at 6 requests a second; one of 360 with 28 would need 32,000, and its control traffic is to
 * stay within 14,000, of which other news takes 4,700, or 12,600 during a roll-out with many
 * fronts. What can't be told now is told with the next prompt that goes to the same server. */
#define BYTES_A_S        8000.0
#define BYTES_A_S_BUSY   1400.0
#define BYTES_SAVED_MOST 8000.0 /* while nothing was sent */
#define BYTES_OF_HEADERS 28
#define MS_PER_S         1000.0

static bool
may_tell (const FrontPeers *peers, const Peer *peer, bool near, int64_t now_ms)
{
  return peer_is_alive (peer, now_ms) && (peer->domain == peers->own_domain) == near;
}

/* A datagram that can't be sent is as one that is lost: the receiver decides by what it knows. */
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

static bool
may_send (FrontPeers *peers, int64_t now_ms)
{
  double rate = peers_is_large (peers) && peers_has_rollout (peers) ? BYTES_A_S_BUSY : BYTES_A_S;
  double saved = peers->work_credit_bytes + rate * (double)(now_ms - peers->work_ms) / MS_PER_S;

  peers->work_credit_bytes = fmin (saved, BYTES_SAVED_MOST);
  peers->work_ms = now_ms;
  return peers->work_credit_bytes > 0;
}

void
front_peers_send_work (FrontPeers *peers,
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
  if (server->untold_ms < TELL_LEAST_MS || !may_send (peers, now_ms))
    return;
  message.entries[0]
      = (WorkEntry){ .server = server->hash,
                     .read_ms = (uint32_t)lround (server->untold_ms),
                     .running = (uint32_t)lround (server->untold_share * SHARE_UNITS) };
  server->untold_ms = 0;
  server->untold_share = 0;
  len = work_message_encode (&message, data, sizeof data);
  told = tell_those (peers, data, len, true, TELL_MOST, now_ms);
  told += tell_those (peers, data, len, false, TELL_MOST - told, now_ms);
  peers->work_credit_bytes -= (double)told * (double)(len + BYTES_OF_HEADERS);
  peers->next_work++;
}

static void
take_note (Front *front, const WorkEntry *note, int64_t now_ms)
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
peers_receive_work (FrontPeers *peers, const void *data, size_t len, int64_t now_ms)
{
  WorkMessage message;

  if (!work_message_decode (&message, data, len))
    return false;
  if (message.incarnation == peers->front->incarnation)
    return true;
  for (uint32_t i = 0; i < message.count; i++)
    take_note (peers->front, &message.entries[i], now_ms);
  return true;
}
