#include "front_world.h"
#include "front_bootstrap.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>

#define SEEDS            3
#define ROUND_MS         500
#define ROUND_ALONE_MS   200
#define PEER_TIMEOUT_MS  1000 /* until a request to a front that doesn't answer fails */
#define STORE_TIMEOUT_MS 1500 /* the same for a request to the store */
#define FIRST_IP         0x0a000001u
#define END_MS           20000 /* of the simulation, whatever its state */

static uint32_t
address_of (unsigned number)
{
  return htonl (FIRST_IP + number);
}

static unsigned
number_of (const struct sockaddr_in *address)
{
  return ntohl (address->sin_addr.s_addr) - FIRST_IP;
}

static uint32_t
domain_of (unsigned number)
{
  return 1 + number % WORLD_DOMAINS;
}

World *
world_new (unsigned count)
{
  World *world = memory_alloc (sizeof *world);

  world->count = count;
  for (unsigned i = 0; i < count; i++)
    {
      WorldNode *node = &world->nodes[i];

      node->peers.own.sin_addr.s_addr = address_of (i);
      node->peers.own_domain = domain_of (i);
      node->start_ms = WORLD_ORIGIN_MS + (int64_t)(i * 7919 % WORLD_JITTER_MS);
      for (unsigned j = 0; j < SEEDS; j++)
        peer_add (&node->peers, address_of (j * 50), 0, WORLD_ORIGIN_MS);
    }
  return world;
}

void
world_free (World *world)
{
  for (unsigned i = 0; i < world->count; i++)
    peers_clear (&world->nodes[i].peers);
  free (world);
}

void
world_register (World *world)
{
  for (unsigned i = 0; i < WORLD_DOMAINS * 3; i++)
    world->registered[i] = 1;
}

static bool
runs (const WorldNode *node, int64_t now_ms)
{
  return node->start_ms >= 0 && node->start_ms <= now_ms
         && (node->dies_ms == 0 || now_ms < node->dies_ms);
}

static void
mark_alive (WorldNode *node, unsigned from, int64_t newest, int64_t now_ms)
{
  Peer *peer = peer_add (&node->peers, address_of (from), domain_of (from), now_ms);

  if (!peer)
    return;
  peer->seen_ms = now_ms;
  if (newest > 0)
    peer->newest[WORLD_TABLE] = newest;
}

static void
receive_lists (WorldNode *to, const PeerMessage *message, int64_t now_ms)
{
  for (uint32_t i = 0; i < message->count_count; i++)
    peers_domain_report (&to->peers, message->counts[i].domain, message->counts[i].fronts,
                         now_ms - message->counts[i].age_ms);
  for (uint32_t i = 0; i < message->member_count; i++)
    {
      const PeerMember *member = &message->members[i];
      Peer *peer = peer_add (&to->peers, htonl (member->ip), member->domain, now_ms);

      if (peer && peer->seen_ms < now_ms - member->age_ms)
        peer->seen_ms = now_ms - member->age_ms;
    }
}

static void
send_message (World *world, unsigned from, unsigned to, int64_t now_ms)
{
  WorldNode *sender = &world->nodes[from], *receiver = &world->nodes[to];
  PeerMessage message = { 0 }, answer = { 0 };
  const Peer not_kept = { .domain = domain_of (from) }, *peer;

  if (!runs (receiver, now_ms))
    return;
  peers_counts_fill (&sender->peers, &message, now_ms);
  peers_members_fill (&sender->peers, &message, domain_of (from) == domain_of (to), now_ms);
  mark_alive (receiver, from, sender->has_table, now_ms);
  peer = peer_find (&receiver->peers, address_of (from));
  if (!peer)
    peer = &not_kept;
  if (peers_is_starting (&receiver->peers, peer, message.domain_fronts, now_ms))
    {
      mark_alive (sender, to, receiver->has_table, now_ms);
      peers_counts_fill (&receiver->peers, &answer, now_ms);
      peers_members_fill_domain (&receiver->peers, &answer, domain_of (from), now_ms);
      peers_domain_report (&sender->peers, domain_of (to), answer.domain_fronts, now_ms);
      receive_lists (sender, &answer, now_ms);
    }
  peers_domain_report (&receiver->peers, domain_of (from), message.domain_fronts, now_ms);
  receive_lists (receiver, &message, now_ms);
}

static void
send_round (World *world, unsigned number, int64_t now_ms)
{
  WorldNode *node = &world->nodes[number];
  bool alone = front_peers_is_alone (&node->peers, now_ms);
  Peer *chosen[PEERS_PER_ROUND_MAX];
  unsigned count;

  if (now_ms - node->peers.round_ms < (alone ? ROUND_ALONE_MS : ROUND_MS))
    return;
  node->peers.round_ms = now_ms;
  count = peers_choose_recipients (&node->peers, chosen, now_ms);
  for (unsigned i = 0; i < count; i++)
    {
      chosen[i]->sent_ms = now_ms;
      send_message (world, number, number_of (&chosen[i]->address), now_ms);
    }
}

/* Time at which the store's answer to a request sent now arrives, or at which the request fails if
 * the answer is lost. */
static int64_t
store_answer_time (const World *world, unsigned calls, int64_t now_ms)
{
  if (world->lost_every != 0 && calls % world->lost_every == 0)
    return now_ms + STORE_TIMEOUT_MS;
  return (world->silent_until_ms > now_ms ? now_ms + STORE_TIMEOUT_MS : now_ms) + WORLD_ANSWER_MS;
}

static void
read_list (World *world, WorldNode *node, int64_t now_ms)
{
  if (node->list_known)
    return;
  if (node->list_ms == 0)
    node->list_ms = store_answer_time (world, ++world->list_calls, now_ms);
  if (now_ms < node->list_ms)
    return;
  if (world->silent_until_ms > now_ms)
    {
      node->list_ms = 0;
      return;
    }
  node->list_known = true;
  for (unsigned i = 0; i < world->count; i++)
    {
      if (world->registered[i])
        {
          char text[INET_ADDRSTRLEN];
          struct in_addr ip = { .s_addr = address_of (i) };

          inet_ntop (AF_INET, &ip, text, sizeof text);
          front_peers_add_registered (&node->peers, text, domain_of (i));
        }
    }
}

static void
ask (World *world, WorldNode *node, int64_t now_ms)
{
  struct sockaddr_in source = { 0 };
  BootstrapView view = {
    .age_ms = now_ms - node->start_ms,
    .list_known = node->list_known,
    .is_registered = front_peers_is_registered (&node->peers),
    .has_registered = front_peers_has_registered (&node->peers),
    .has_informed = front_peers_informed_source (&node->peers, WORLD_TABLE, now_ms, &source),
    .failures = node->failures,
  };
  BootstrapStep step = front_bootstrap_step (&view);

  if (step == BOOTSTRAP_WAIT)
    return;
  if (step == BOOTSTRAP_ASK_RANKED)
    step = front_peers_ranked_source (&node->peers, WORLD_TABLE, now_ms, &source)
               ? BOOTSTRAP_ASK_INFORMED
               : BOOTSTRAP_ASK_STORE;
  node->asks = step == BOOTSTRAP_ASK_STORE ? ASKS_STORE : ASKS_FRONT;
  node->asked = number_of (&source);
  node->until_ms = step == BOOTSTRAP_ASK_STORE
                       ? store_answer_time (world, ++world->table_calls, now_ms)
                       : now_ms + PEER_TIMEOUT_MS;
}

static void
on_rows (WorldNode *node, int64_t now_ms)
{
  node->has_table = true;
  node->known_ms = now_ms;
  node->asks = ASKS_NONE;
}

static void
on_failure (WorldNode *node, int64_t now_ms)
{
  struct sockaddr_in source = { .sin_addr.s_addr = address_of (node->asked) };

  if (node->asks == ASKS_FRONT)
    {
      node->failures++;
      front_peers_mark_failed (&node->peers, &source, now_ms);
    }
  node->asks = ASKS_NONE;
}

static void
wait_for_answer (World *world, WorldNode *node, int64_t now_ms)
{
  const WorldNode *asked = &world->nodes[node->asked];

  if (node->asks == ASKS_STORE && now_ms >= node->until_ms)
    {
      if (world->silent_until_ms > now_ms)
        on_failure (node, now_ms);
      else
        on_rows (node, now_ms);
    }
  if (node->asks != ASKS_FRONT)
    return;
  /* Connections to a front that doesn't run are refused or closed. */
  if (runs (asked, now_ms) && asked->has_table && asked->known_ms + WORLD_ANSWER_MS <= now_ms)
    on_rows (node, now_ms);
  else if (!runs (asked, now_ms) || now_ms >= node->until_ms)
    on_failure (node, now_ms);
}

void
world_step (World *world, int64_t now_ms)
{
  for (unsigned i = 0; i < world->count; i++)
    {
      WorldNode *node = &world->nodes[i];

      if (!runs (node, now_ms))
        continue;
      send_round (world, i, now_ms);
      read_list (world, node, now_ms);
      if (node->asks != ASKS_NONE)
        wait_for_answer (world, node, now_ms);
      if (!node->has_table && node->asks == ASKS_NONE)
        ask (world, node, now_ms);
    }
}

static bool
all_have_table (const World *world, int64_t now_ms)
{
  for (unsigned i = 0; i < world->count; i++)
    {
      if (runs (&world->nodes[i], now_ms) && !world->nodes[i].has_table)
        return false;
    }
  return now_ms > WORLD_ORIGIN_MS + WORLD_JITTER_MS;
}

int64_t
world_simulate (World *world)
{
  int64_t now_ms = WORLD_ORIGIN_MS;

  while (!all_have_table (world, now_ms) && now_ms < WORLD_ORIGIN_MS + END_MS)
    {
      now_ms += WORLD_STEP_MS;
      world_step (world, now_ms);
    }
  return now_ms - WORLD_ORIGIN_MS - WORLD_JITTER_MS;
}
