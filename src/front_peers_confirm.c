/* Tells other fronts that the store has shown that a table is complete here, so that few fronts
 * have to ask the store. The first fronts of each failure domain pass that on within it. A front
 * that isn't told asks the store itself: no front relies on others that are dead, frozen or cut
 * off. */
#include "front_confirm_message.h"
#include "front_counter.h"
#include "front_peers_private.h"
#include <sys/socket.h>

/* Milliseconds by which a confirmation has to be later than the last one to be passed on. */
#define RELAY_INTERVAL_MS 250
/* One that is earlier by more than this is by another clock: the store has started again. */
#define CLOCK_WENT_BACK_MS 5000

_Static_assert(TREE_ROOTS == COLLECTORS, "collectors pass on to their failure domains");

/* A datagram that is lost, or can't be sent, is made up for by the next one. */
static void
send_to (FrontPeers *peers, const Peer *peer, const void *data, size_t len)
{
  sendto (peers->fd, data, len, 0, (const struct sockaddr *)&peer->address, sizeof peer->address);
  front_counter_add (FRONT_COUNTER_CONFIRM_MESSAGES);
}

static unsigned
add_collectors (FrontPeers *peers, const Peer **out, unsigned count, int64_t now_ms)
{
  Collectors own;

  peers_find_collectors (peers, now_ms, &own);
  for (unsigned i = 0; i < own.count; i++)
    out[count++] = own.peers[i];
  for (unsigned i = 0; i < peers->domain_count; i++)
    {
      uint32_t domain = peers->domains[i].domain;
      const Peer *first = peers_find_other_collector (peers, domain, false, now_ms);
      const Peer *second = peers_find_other_collector (peers, domain, true, now_ms);

      if (first)
        out[count++] = first;
      if (second && second != first)
        out[count++] = second;
    }
  return count;
}

unsigned
peers_confirm_recipients (FrontPeers *peers,
                          bool is_own,
                          const Peer *out[CONFIRM_RECIPIENTS_MAX],
                          int64_t now_ms)
{
  unsigned count = peers_tree_children (peers, out, now_ms);

  return is_own ? add_collectors (peers, out, count, now_ms) : count;
}

/* True if it tells more than what was sent last. */
static bool
take_turn (FrontPeers *peers, const ConfirmMessage *message)
{
  int64_t *last_ms = &peers->confirm_sent_ms[message->table];
  int64_t later_ms = message->confirmation.at_ms - *last_ms;

  if (later_ms < RELAY_INTERVAL_MS && later_ms > -CLOCK_WENT_BACK_MS)
    return false;
  *last_ms = message->confirmation.at_ms;
  return true;
}

static void
send_to_recipients (FrontPeers *peers, const ConfirmMessage *message, bool is_own, int64_t now_ms)
{
  const Peer *recipients[CONFIRM_RECIPIENTS_MAX];
  unsigned char data[CONFIRM_MESSAGE_MAX];
  size_t len = confirm_message_encode (message, data, sizeof data);
  unsigned count;

  if (!take_turn (peers, message))
    return;
  count = peers_confirm_recipients (peers, is_own, recipients, now_ms);
  for (unsigned i = 0; i < count; i++)
    send_to (peers, recipients[i], data, len);
}

void
front_peers_send_confirmation (FrontPeers *peers,
                               StoreTable table,
                               const Confirmation *confirmation,
                               int64_t now_ms)
{
  const ConfirmMessage message = { .incarnation = peers->front->incarnation,
                                   .table = (uint32_t)table,
                                   .confirmation = *confirmation };

  send_to_recipients (peers, &message, true, now_ms);
}

bool
peers_receive_confirmation (FrontPeers *peers, const void *data, size_t len, int64_t now_ms)
{
  ConfirmMessage message;

  if (!confirm_message_decode (&message, data, len))
    return false;
  if (message.incarnation == peers->front->incarnation)
    return true;
  if (front_store_confirmation_told (peers->front->store, message.table, &message.confirmation,
                                     now_ms))
    send_to_recipients (peers, &message, false, now_ms);
  return true;
}
