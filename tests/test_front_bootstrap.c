/** Which fronts ask the store when many start: src/front_bootstrap.c, front_peers_rank.c and the
 *  choice of recipients, simulated in steps of 10 ms without a network. */
#include "front_bootstrap.h"
#include "front_peers_private.h"
#include "suite.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdlib.h>

#define FRONTS           300
#define DOMAINS          6
#define SEEDS            3
#define STEP_MS          10
#define JITTER_MS        300 /* all VMs start within this time */
#define ROUND_MS         500
#define ROUND_ALONE_MS   200
#define PEER_TIMEOUT_MS  1000 /* until a request to a front that doesn't answer fails */
#define STORE_TIMEOUT_MS 1500 /* the same for a request to the store */
#define ANSWER_MS        10   /* of the store, or of a front that has the rows */
#define FIRST_IP         0x0a000001u
#define TABLE            ((uint64_t)STORE_SERVERS)
#define ORIGIN_MS        1000000 /* when the simulation starts */
#define END_MS           20000   /* of the simulation, whatever its state */
/* Maximum calls to the store per start: reading the list of fronts, and one more. */
#define CALLS_PER_START 2

typedef enum
{
  ASKS_NONE,
  ASKS_STORE,
  ASKS_FRONT
} Asks;

typedef struct
{
  FrontPeers peers;
  int64_t start_ms; /* doesn't run before this time; -1: never starts */
  int64_t dies_ms;  /* 0: never */
  bool list_known;
  int64_t list_ms; /* when the list of fronts arrives */
  bool has_table;
  int64_t known_ms; /* time since which it has the table */
  Asks asks;
  unsigned asked;   /* number of the front that is asked */
  int64_t until_ms; /* when the store's answer arrives, or the request times out */
  unsigned failures;
} Node;

typedef struct
{
  unsigned registered[FRONTS]; /* nonzero: the store lists it */
  unsigned list_calls;
  unsigned table_calls;
  int64_t silent_until_ms; /* the store doesn't answer before this time */
  unsigned lost_every;     /* one of so many answers of the store is lost; 0: none */
  Node nodes[FRONTS];
} World;

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
  return 1 + number % DOMAINS;
}

static World *
world_new (void)
{
  World *world = memory_alloc (sizeof *world);

  for (unsigned i = 0; i < FRONTS; i++)
    {
      Node *node = &world->nodes[i];

      node->peers.own.sin_addr.s_addr = address_of (i);
      node->peers.own_domain = domain_of (i);
      node->peers.next_peer = i;
      node->start_ms = ORIGIN_MS + (int64_t)(i * 7919 % JITTER_MS);
      for (unsigned j = 0; j < SEEDS; j++)
        peer_add (&node->peers, address_of (j * 50));
    }
  return world;
}

/* Registers the first three fronts of each failure domain. */
static void
register_fronts (World *world)
{
  for (unsigned i = 0; i < DOMAINS * 3; i++)
    world->registered[i] = 1;
}

static bool
runs (const Node *node, int64_t now_ms)
{
  return node->start_ms >= 0 && node->start_ms <= now_ms
         && (node->dies_ms == 0 || now_ms < node->dies_ms);
}

static void
mark_alive (Node *node, unsigned from, int64_t newest, int64_t now_ms)
{
  Peer *peer = peer_add (&node->peers, address_of (from));

  if (!peer)
    return;
  peer->seen_ms = now_ms;
  peer->domain = domain_of (from);
  if (newest > 0)
    peer->newest[TABLE] = newest;
}

/* Sends a list of up to 40 others that the sender knows; only those of one failure domain if domain
 * isn't 0. */
static void
send_members (const Node *from, Node *to, uint32_t domain, unsigned start, int64_t now_ms)
{
  unsigned sent = 0;

  for (unsigned i = 0; i < from->peers.count && sent < PEER_MEMBERS_MAX; i++)
    {
      const Peer *peer = &from->peers.list[(start + i) % from->peers.count];

      if (!peer_is_alive (peer, now_ms) || (domain != 0 && peer->domain != domain))
        continue;
      sent++;
      mark_alive (to, number_of (&peer->address), 0, now_ms);
    }
}

static void
send_message (World *world, unsigned from, unsigned to, int64_t now_ms)
{
  Node *sender = &world->nodes[from], *receiver = &world->nodes[to];
  uint32_t alive = front_peers_alive (&sender->peers, now_ms) - 1;

  if (!runs (receiver, now_ms))
    return;
  mark_alive (receiver, from, sender->has_table, now_ms);
  send_members (sender, receiver, 0, sender->peers.next_member, now_ms);
  if (!peers_is_starting (&receiver->peers, peer_find (&receiver->peers, address_of (from)), alive,
                          now_ms))
    return;
  mark_alive (sender, to, receiver->has_table, now_ms);
  send_members (receiver, sender, domain_of (from), from, now_ms);
}

static void
send_round (World *world, unsigned number, int64_t now_ms)
{
  Node *node = &world->nodes[number];
  bool alone = front_peers_alive (&node->peers, now_ms) == 1;
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
  node->peers.next_member += PEER_MEMBERS_MAX;
}

/* Time at which the store's answer to a request sent now arrives, or at which the request fails if
 * the answer is lost. */
static int64_t
store_answer_time (const World *world, unsigned calls, int64_t now_ms)
{
  if (world->lost_every != 0 && calls % world->lost_every == 0)
    return now_ms + STORE_TIMEOUT_MS;
  return (world->silent_until_ms > now_ms ? now_ms + STORE_TIMEOUT_MS : now_ms) + ANSWER_MS;
}

static void
read_list (World *world, Node *node, int64_t now_ms)
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
  for (unsigned i = 0; i < FRONTS; i++)
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
ask (World *world, Node *node, int64_t now_ms)
{
  struct sockaddr_in source = { 0 };
  BootstrapView view = {
    .age_ms = now_ms - node->start_ms,
    .list_known = node->list_known,
    .is_registered = front_peers_is_registered (&node->peers),
    .has_registered = front_peers_has_registered (&node->peers),
    .has_informed = front_peers_informed_source (&node->peers, TABLE, now_ms, &source),
    .failures = node->failures,
  };
  BootstrapStep step = front_bootstrap_step (&view);

  if (step == BOOTSTRAP_WAIT)
    return;
  if (step == BOOTSTRAP_ASK_RANKED)
    step = front_peers_ranked_source (&node->peers, TABLE, now_ms, &source) ? BOOTSTRAP_ASK_INFORMED
                                                                            : BOOTSTRAP_ASK_STORE;
  node->asks = step == BOOTSTRAP_ASK_STORE ? ASKS_STORE : ASKS_FRONT;
  node->asked = number_of (&source);
  node->until_ms = step == BOOTSTRAP_ASK_STORE
                       ? store_answer_time (world, ++world->table_calls, now_ms)
                       : now_ms + PEER_TIMEOUT_MS;
}

static void
on_rows (Node *node, int64_t now_ms)
{
  node->has_table = true;
  node->known_ms = now_ms;
  node->asks = ASKS_NONE;
}

static void
on_failure (Node *node, int64_t now_ms)
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
wait_for_answer (World *world, Node *node, int64_t now_ms)
{
  const Node *asked = &world->nodes[node->asked];

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
  if (runs (asked, now_ms) && asked->has_table && asked->known_ms + ANSWER_MS <= now_ms)
    on_rows (node, now_ms);
  else if (!runs (asked, now_ms) || now_ms >= node->until_ms)
    on_failure (node, now_ms);
}

static void
step (World *world, int64_t now_ms)
{
  for (unsigned i = 0; i < FRONTS; i++)
    {
      Node *node = &world->nodes[i];

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
  for (unsigned i = 0; i < FRONTS; i++)
    {
      if (runs (&world->nodes[i], now_ms) && !world->nodes[i].has_table)
        return false;
    }
  return now_ms > ORIGIN_MS + JITTER_MS;
}

/* Milliseconds from the last start until all fronts have the table. */
static int64_t
simulate (World *world)
{
  int64_t now_ms = ORIGIN_MS;

  while (!all_have_table (world, now_ms) && now_ms < ORIGIN_MS + END_MS)
    {
      now_ms += STEP_MS;
      step (world, now_ms);
    }
  return now_ms - ORIGIN_MS - JITTER_MS;
}

/* A site of 300 fronts starts for the first time, and each front knows three addresses. If each
 * considered itself the first of its failure domain, it would read every table, some of them
 * repeatedly, and register: 13 calls per start, 3,800 before the first request. */
static void
test_first_start_makes_few_calls (void)
{
  World *world = world_new ();

  CU_ASSERT (simulate (world) <= 3000);
  CU_ASSERT_EQUAL (world->list_calls, FRONTS);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  free (world);
}

/* All VMs lose power at one moment and are back within 300 ms of each other, in any order. Callers
 * are waiting, so each front has to have all tables within half a second, without 300 reads of
 * each. */
static void
test_all_restart_within_half_a_second (void)
{
  World *world = world_new ();

  register_fronts (world);
  CU_ASSERT (simulate (world) <= 500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  free (world);
}

/* All VMs lose power, and in one failure domain none of the three registered fronts comes back. */
static void
test_starts_without_registered_fronts (void)
{
  World *world = world_new ();

  register_fronts (world);
  for (unsigned i = 0; i < 3; i++)
    world->nodes[(size_t)i * DOMAINS].start_ms = -1;
  CU_ASSERT (simulate (world) <= 1000);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  free (world);
}

/* All VMs lose power, and the registered fronts of one domain die 20 ms after their start, while
 * others wait for their answers. */
static void
test_starts_although_registered_fronts_die (void)
{
  World *world = world_new ();

  register_fronts (world);
  for (unsigned i = 0; i < 3; i++)
    {
      Node *node = &world->nodes[(size_t)i * DOMAINS];

      node->dies_ms = node->start_ms + (int64_t)2 * ANSWER_MS;
    }
  CU_ASSERT (simulate (world) <= 1500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  free (world);
}

/* Every third answer of the store is lost, the list of fronts included; a front without an answer
 * asks again after 1.5 s. No front may wait longer than twice that and a margin; the others serve
 * meanwhile. */
static void
test_starts_despite_lost_answers (void)
{
  World *world = world_new ();

  register_fronts (world);
  world->lost_every = 3;
  CU_ASSERT (simulate (world) <= 3500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  free (world);
}

/* The store doesn't answer for the first 3 s. Once it does, all fronts get the table soon. */
static void
test_starts_once_silent_store_answers (void)
{
  World *world = world_new ();

  register_fronts (world);
  world->silent_until_ms = ORIGIN_MS + 3000;
  CU_ASSERT (simulate (world) <= 3000 + 3500);
  free (world);
}

/* One front of 300 is killed and starts again while the others run. It has to ask a front of its
 * domain, not the store. */
static void
test_single_restart_gets_rows_from_peer (void)
{
  World *world = world_new ();

  register_fronts (world);
  for (unsigned i = 0; i < FRONTS; i++)
    {
      world->nodes[i].has_table = i != FRONTS - 1;
      world->nodes[i].list_known = i != FRONTS - 1;
    }
  CU_ASSERT (simulate (world) <= 100);
  CU_ASSERT_EQUAL (world->list_calls, 1);
  CU_ASSERT_EQUAL (world->table_calls, 0);
  free (world);
}

static void
test_step_for_each_state (void)
{
  static const struct
  {
    BootstrapView view;
    BootstrapStep step;
  } states[] = {
    { { .age_ms = 0 }, BOOTSTRAP_WAIT },
    { { .age_ms = 299 }, BOOTSTRAP_WAIT },
    { { .age_ms = 5, .has_informed = true }, BOOTSTRAP_ASK_INFORMED },
    { { .age_ms = 5, .list_known = true, .is_registered = true }, BOOTSTRAP_ASK_STORE },
    { { .age_ms = 5, .list_known = true, .has_registered = true }, BOOTSTRAP_WAIT },
    { { .age_ms = 300, .list_known = true, .has_registered = true }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 400, .list_known = true }, BOOTSTRAP_WAIT },
    { { .age_ms = 1500, .list_known = true }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 5, .list_lost = true }, BOOTSTRAP_WAIT },
    { { .age_ms = 300, .list_lost = true }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 1500 }, BOOTSTRAP_ASK_RANKED },
    { { .age_ms = 5, .has_informed = true, .failures = 6 }, BOOTSTRAP_ASK_INFORMED },
    { { .age_ms = 300, .has_informed = true, .failures = 6 }, BOOTSTRAP_ASK_STORE },
  };

  for (size_t i = 0; i < SUITE_COUNT (states); i++)
    CU_ASSERT_EQUAL (front_bootstrap_step (&states[i].view), states[i].step);
}

static const SuiteCase cases[] = {
  { "step_for_each_state", test_step_for_each_state },
  { "first_start_makes_few_calls", test_first_start_makes_few_calls },
  { "all_restart_within_half_a_second", test_all_restart_within_half_a_second },
  { "starts_without_registered_fronts", test_starts_without_registered_fronts },
  { "starts_although_registered_fronts_die", test_starts_although_registered_fronts_die },
  { "starts_despite_lost_answers", test_starts_despite_lost_answers },
  { "starts_once_silent_store_answers", test_starts_once_silent_store_answers },
  { "single_restart_gets_rows_from_peer", test_single_restart_gets_rows_from_peer },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_bootstrap", cases, SUITE_COUNT (cases));
}
