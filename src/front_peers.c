#include "front_peers_private.h"
#include "front_socket.h"
#include "util_clock.h"
#include "util_memory.h"
#include "util_unused.h"
#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROUND_INTERVAL_MS 500 /* milliseconds between rounds of messages */
/* The same while no other front is known, so that a starting front finds others soon. */
#define ROUND_INTERVAL_ALONE_MS 200
/* During a roll-out: its verdict needs the evidence of all fronts. */
#define ROUND_INTERVAL_ROLLOUT_MS 200
/* The same with many peers: five messages of 900 bytes in a round have to stay below 14 KB/s. */
#define ROUND_INTERVAL_ROLLOUT_LARGE_MS 400
#define LARGE_PEERS                     100 /* known peers */
/* Before a round that front_peers_send_soon asks for. */
#define ROUND_INTERVAL_URGENT_MS       80
#define ROUND_INTERVAL_URGENT_LARGE_MS 200

/* The IPv4 address of "IP" or "IP:PORT"; 0 if not valid. */
static uint32_t
ip_of (const char *address)
{
  Span rest = span_of (address);
  char *ip = span_dup (span_cut (&rest, ':'));
  struct in_addr in;
  bool good = inet_pton (AF_INET, ip, &in) == 1;

  free (ip);
  return good ? in.s_addr : 0;
}

void
front_peers_add (FrontPeers *peers, const char *address)
{
  uint32_t ip = ip_of (address);

  Peer *peer = ip != 0 ? peer_add (peers, ip, 0, clock_boot_ms ()) : NULL;

  if (peer)
    peer->is_seed = true;
}

bool
front_peers_add_registered (FrontPeers *peers, const char *address, uint32_t domain)
{
  uint32_t ip = ip_of (address);
  Peer *peer;

  if (ip == 0)
    return false;
  if (ip == peers->own.sin_addr.s_addr)
    {
      peers->is_registered = true;
      return true;
    }
  peer = peer_find (peers, ip);
  if (!peer || peer->domain == 0)
    peer = peer_add (peers, ip, domain, clock_boot_ms ());
  if (peer)
    peer->is_registered = true;
  return true;
}

bool
front_peers_is_registered (const FrontPeers *peers)
{
  return peers->is_registered;
}

void
front_peers_set_registered (FrontPeers *peers, bool registered)
{
  peers->is_registered = registered;
}

static void
on_datagram (evutil_socket_t fd, short what UNUSED, void *user)
{
  FrontPeers *peers = user;
  unsigned char data[PEER_MESSAGE_MAX];
  struct sockaddr_in from = { 0 };
  socklen_t from_len = sizeof from;
  ssize_t len;

  while ((len = recvfrom (fd, data, sizeof data, 0, (struct sockaddr *)&from, &from_len)) > 0)
    {
      PeerMessage message;

      if (peers_receive_work (peers, data, (size_t)len, clock_boot_ms ())
          || peers_receive_full (peers, data, (size_t)len, clock_boot_ms ())
          || peers_receive_waits (peers, data, (size_t)len, clock_boot_ms ())
          || peers_receive_confirmation (peers, data, (size_t)len, clock_boot_ms ())
          || !peer_message_decode (&message, data, (size_t)len)
          || message.incarnation == peers->front->incarnation)
        continue;
      peers_receive_message (peers, from.sin_addr.s_addr, &message, clock_boot_ms ());
    }
}

bool
peers_is_large (const FrontPeers *peers)
{
  return peers->count > LARGE_PEERS;
}

bool
peers_has_rollout (const FrontPeers *peers)
{
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, front_rollouts_list (peers->front->rollouts), node)
  {
    if (front_rollout_is_running (rollout))
      return true;
  }
  return false;
}

static int64_t
round_interval_ms (const FrontPeers *peers, int64_t now_ms)
{
  if (peers->is_urgent)
    return peers_is_large (peers) ? ROUND_INTERVAL_URGENT_LARGE_MS : ROUND_INTERVAL_URGENT_MS;
  if (front_peers_is_alone (peers, now_ms))
    return ROUND_INTERVAL_ALONE_MS;
  if (!peers_has_rollout (peers))
    return ROUND_INTERVAL_MS;
  return peers_is_large (peers) ? ROUND_INTERVAL_ROLLOUT_LARGE_MS : ROUND_INTERVAL_ROLLOUT_MS;
}

bool
peers_begin_round (FrontPeers *peers, int64_t now_ms)
{
  if (now_ms - peers->round_ms < round_interval_ms (peers, now_ms))
    return false;
  peers->round_ms = now_ms;
  peers->is_urgent = false;
  return true;
}

void
front_peers_send_soon (FrontPeers *peers)
{
  peers->is_urgent = true;
}

void
front_peers_tick (FrontPeers *peers, int64_t now_ms)
{
  if (peers_begin_round (peers, now_ms))
    {
      peers_forget (peers, now_ms);
      peers_send_round (peers, now_ms);
    }
  for (unsigned i = 0; i < PEER_TABLES; i++)
    peers_fetch_missing (peers, (StoreTable)i, now_ms);
}

FrontPeers *
front_peers_new (Front *front)
{
  FrontPeers *peers = memory_alloc (sizeof *peers);
  struct sockaddr_in control;
  struct in_addr ip;

  peers->front = front;
  peers->started_ms = clock_boot_ms ();
  peers->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  peers->own.sin_family = AF_INET;
  peers->own.sin_port = htons ((uint16_t)front->settings.peer_port);
  if (peers->fd < 0 || inet_pton (AF_INET, front->settings.ip, &ip) != 1
      || !front_socket_parse_address (front->settings.control, &control))
    {
      free (peers);
      return NULL;
    }
  peers->own.sin_addr = ip;
  peers->own_domain = front_failure_domain_hash (front->settings.failure_domain);
  peers->control_port = control.sin_port;
  if (bind (peers->fd, (struct sockaddr *)&peers->own, sizeof peers->own) != 0)
    {
      close (peers->fd);
      free (peers);
      return NULL;
    }
  peers->event = event_new (front->base, peers->fd, EV_READ | EV_PERSIST, on_datagram, peers);
  event_add (peers->event, NULL);
  for (unsigned i = 0; i < front->settings.seed_count; i++)
    front_peers_add (peers, front->settings.seeds[i]);
  return peers;
}

void
front_peers_free (FrontPeers *peers)
{
  for (unsigned i = 0; i < PEER_TABLES; i++)
    {
      if (peers->fetches[i].channel)
        front_channel_free (peers->fetches[i].channel);
      store_answer_clear (&peers->fetches[i].parts);
    }
  event_free (peers->event);
  close (peers->fd);
  peers_clear (peers);
  free (peers);
}
