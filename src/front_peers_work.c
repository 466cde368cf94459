/* Announces the prompts that this front sends to backend servers, so that other fronts include them
 * in the load of these servers. */
#include "front_counter.h"
#include "front_peers_private.h"
#include "front_work_message.h"
#include <math.h>
#include <sys/socket.h>

/* A message is sent once so many milliseconds of reading at one server are unannounced: shorter
 * prompts have been read before another front could use the information. */
#define ANNOUNCE_MIN_MS 10.0
/* Maximum number of fronts that get a message, those of the same failure domain first, as they use
 * the same servers. */
#define RECIPIENTS_MAX 24
#define WEIGHT_SCALE   100.0 /* WorkReport.running is in hundredths */
/* Bytes per second for work messages, UDP and IP headers included. One of 80 fronts needs 7,200 at
 * 6 requests per second; one of 360 at 28 would need 32,000, but its control traffic has to stay
 * within 14,000, of which other messages take 4,700, or 12,600 during a roll-out with many fronts.
 * Work that can't be announced now is added to the next announcement for the same server. */
#define BYTES_PER_S         8000.0
#define BYTES_PER_S_ROLLOUT 1400.0
#define CREDIT_MAX_BYTES    8000.0 /* credit that accumulates while nothing is sent */
#define MS_PER_S            1000.0

static bool
is_recipient (const FrontPeers *peers, const Peer *peer, bool same_domain, int64_t now_ms)
{
  return peer_is_alive (peer, now_ms) && (peer->domain == peers->own_domain) == same_domain;
}

/* A failed send is ignored like a lost datagram: the receiver decides by what it knows. */
static unsigned
send_to_peers (FrontPeers *peers,
               const void *data,
               size_t len,
               bool same_domain,
               unsigned max,
               int64_t now_ms)
{
  unsigned sent = 0;

  for (unsigned i = 0; i < peers->count && sent < max; i++)
    {
      const Peer *peer = peers->list[(peers->next_work + i) % peers->count];

      if (!is_recipient (peers, peer, same_domain, now_ms))
        continue;
      sendto (peers->fd, data, len, 0, (const struct sockaddr *)&peer->address,
              sizeof peer->address);
      sent++;
    }
  return sent;
}

bool
peers_may_send_work (FrontPeers *peers, int64_t now_ms)
{
  double rate
      = peers_is_large (peers) && peers_has_rollout (peers) ? BYTES_PER_S_ROLLOUT : BYTES_PER_S;
  double credit = peers->work_credit_bytes + rate * (double)(now_ms - peers->work_ms) / MS_PER_S;

  peers->work_credit_bytes = fmin (credit, CREDIT_MAX_BYTES);
  peers->work_ms = now_ms;
  return peers->work_credit_bytes > 0;
}

unsigned
peers_send_in_turn (FrontPeers *peers, const void *data, size_t len, int64_t now_ms)
{
  unsigned sent = send_to_peers (peers, data, len, true, RECIPIENTS_MAX, now_ms);

  sent += send_to_peers (peers, data, len, false, RECIPIENTS_MAX - sent, now_ms);
  peers->next_work++;
  return sent;
}

void
peers_send_at_once (FrontPeers *peers, const void *data, size_t len, int64_t now_ms)
{
  unsigned sent = peers_send_in_turn (peers, data, len, now_ms);

  front_counter_add_many (FRONT_COUNTER_WORK_MESSAGES, sent);
  peers->work_credit_bytes -= (double)sent * (double)(len + WORK_HEADER_BYTES);
}

void
front_peers_send_work (FrontPeers *peers,
                       FrontServer *server,
                       double read_ms,
                       double running_weight,
                       int64_t now_ms)
{
  WorkMessage message = { .incarnation = peers->front->incarnation, .count = 1 };
  unsigned char data[WORK_MESSAGE_MAX];
  size_t len;

  server->unreported_ms += read_ms;
  server->unreported_weight += running_weight;
  if (server->unreported_ms < ANNOUNCE_MIN_MS || !peers_may_send_work (peers, now_ms))
    return;
  message.reports[0]
      = (WorkReport){ .server = server->hash,
                      .read_ms = (uint32_t)lround (server->unreported_ms),
                      .running = (uint32_t)lround (server->unreported_weight * WEIGHT_SCALE) };
  server->unreported_ms = 0;
  server->unreported_weight = 0;
  len = work_message_encode (&message, data, sizeof data);
  peers_send_at_once (peers, data, len, now_ms);
}

static void
apply_report (Front *front, const WorkReport *report, int64_t now_ms)
{
  FrontServer *server = front_servers_find_hash (front->servers, report->server);

  if (server)
    front_peer_load_add (&server->peer_load, report->read_ms, report->running / WEIGHT_SCALE,
                         now_ms);
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
    apply_report (peers->front, &message.reports[i], now_ms);
  return true;
}
