/** Which fronts ask the store when many start: src/front_bootstrap.c, front_peers_rank.c and the
 *  choice of recipients, simulated in steps of 10 ms without a network. */
#include "front_bootstrap.h"
#include "front_peers_private.h"
#include "suite.h"
#include "util_id.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#define FRONTS           300
#define DOMAINS          6
#define FLEET_FRONTS     1000
#define FLEET_MAX        2000 /* twice the largest known site */
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
  unsigned count;
  unsigned registered[FLEET_MAX]; /* nonzero: the store lists it */
  unsigned list_calls;
  unsigned table_calls;
  int64_t silent_until_ms; /* the store doesn't answer before this time */
  unsigned lost_every;     /* one of so many answers of the store is lost; 0: none */
  Node nodes[FLEET_MAX];
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
world_new (unsigned count)
{
  World *world = memory_alloc (sizeof *world);

  world->count = count;
  for (unsigned i = 0; i < count; i++)
    {
      Node *node = &world->nodes[i];

      node->peers.own.sin_addr.s_addr = address_of (i);
      node->peers.own_domain = domain_of (i);
      node->start_ms = ORIGIN_MS + (int64_t)(i * 7919 % JITTER_MS);
      for (unsigned j = 0; j < SEEDS; j++)
        peer_add (&node->peers, address_of (j * 50), 0, ORIGIN_MS);
    }
  return world;
}

static void
world_free (World *world)
{
  for (unsigned i = 0; i < world->count; i++)
    peers_clear (&world->nodes[i].peers);
  free (world);
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
  Peer *peer = peer_add (&node->peers, address_of (from), domain_of (from), now_ms);

  if (!peer)
    return;
  peer->seen_ms = now_ms;
  if (newest > 0)
    peer->newest[TABLE] = newest;
}

static void
receive_lists (Node *to, const PeerMessage *message, int64_t now_ms)
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
  Node *sender = &world->nodes[from], *receiver = &world->nodes[to];
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
  Node *node = &world->nodes[number];
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
  for (unsigned i = 0; i < world->count; i++)
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
  for (unsigned i = 0; i < world->count; i++)
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
  World *world = world_new (FRONTS);

  CU_ASSERT (simulate (world) <= 3000);
  CU_ASSERT_EQUAL (world->list_calls, FRONTS);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* All VMs lose power at one moment and are back within 300 ms of each other, in any order. Callers
 * are waiting, so each front has to have all tables within half a second, without 300 reads of
 * each. */
static void
test_all_restart_within_half_a_second (void)
{
  World *world = world_new (FRONTS);

  register_fronts (world);
  CU_ASSERT (simulate (world) <= 500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* All VMs lose power, and in one failure domain none of the three registered fronts comes back. */
static void
test_starts_without_registered_fronts (void)
{
  World *world = world_new (FRONTS);

  register_fronts (world);
  for (unsigned i = 0; i < 3; i++)
    world->nodes[(size_t)i * DOMAINS].start_ms = -1;
  CU_ASSERT (simulate (world) <= 1000);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* All VMs lose power, and the registered fronts of one domain die 20 ms after their start, while
 * others wait for their answers. */
static void
test_starts_although_registered_fronts_die (void)
{
  World *world = world_new (FRONTS);

  register_fronts (world);
  for (unsigned i = 0; i < 3; i++)
    {
      Node *node = &world->nodes[(size_t)i * DOMAINS];

      node->dies_ms = node->start_ms + (int64_t)2 * ANSWER_MS;
    }
  CU_ASSERT (simulate (world) <= 1500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* Every third answer of the store is lost, the list of fronts included; a front without an answer
 * asks again after 1.5 s. No front may wait longer than twice that and a margin; the others serve
 * meanwhile. */
static void
test_starts_despite_lost_answers (void)
{
  World *world = world_new (FRONTS);

  register_fronts (world);
  world->lost_every = 3;
  CU_ASSERT (simulate (world) <= 3500);
  CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * FRONTS);
  world_free (world);
}

/* The store doesn't answer for the first 3 s. Once it does, all fronts get the table soon. */
static void
test_starts_once_silent_store_answers (void)
{
  World *world = world_new (FRONTS);

  register_fronts (world);
  world->silent_until_ms = ORIGIN_MS + 3000;
  CU_ASSERT (simulate (world) <= 3000 + 3500);
  world_free (world);
}

/* One front of 300 is killed and starts again while the others run. It has to ask a front of its
 * domain, not the store. */
static void
test_single_restart_gets_rows_from_peer (void)
{
  World *world = world_new (FRONTS);

  register_fronts (world);
  for (unsigned i = 0; i < world->count; i++)
    {
      world->nodes[i].has_table = i != FRONTS - 1;
      world->nodes[i].list_known = i != FRONTS - 1;
    }
  CU_ASSERT (simulate (world) <= 100);
  CU_ASSERT_EQUAL (world->list_calls, 1);
  CU_ASSERT_EQUAL (world->table_calls, 0);
  world_free (world);
}

typedef struct
{
  unsigned alone;     /* fronts that know no other */
  unsigned followers; /* that consider themselves as such for a table */
  unsigned sentinels;
  unsigned registrars;
  unsigned fewest_known;   /* of its failure domain, to any front */
  unsigned fewest_counted; /* fronts in all failure domains, by any front */
} Roles;

static Roles
count_roles (World *world, int64_t now_ms)
{
  Roles roles = { .fewest_known = world->count, .fewest_counted = world->count };

  for (unsigned i = 0; i < world->count; i++)
    {
      FrontPeers *peers = &world->nodes[i].peers;
      unsigned known = peers_known_alive (peers, peers->own_domain, now_ms);
      unsigned counted = front_peers_alive (peers, now_ms);
      struct sockaddr_in source;

      roles.alone += front_peers_is_alone (peers, now_ms);
      roles.followers += !front_peers_ranked_source (peers, TABLE, now_ms, &source);
      roles.sentinels += front_peers_is_selected (peers, TABLE + 1, 3, now_ms);
      roles.registrars += front_peers_is_registrar (peers, now_ms);
      roles.fewest_known = known < roles.fewest_known ? known : roles.fewest_known;
      roles.fewest_counted = counted < roles.fewest_counted ? counted : roles.fewest_counted;
    }
  return roles;
}

static void
run_until (World *world, int64_t from_ms, int64_t until_ms)
{
  for (int64_t now_ms = from_ms; now_ms < until_ms; now_ms += STEP_MS)
    step (world, now_ms);
}

/* 1,000 and 2,000 fronts start for the first time, and each knows three addresses. If these knew at
 * most 512 others, they would never answer the rest: half of all fronts would know no other, and
 * each of them would follow the store by itself. */
static void
test_all_of_a_fleet_know_each_other (void)
{
  static const unsigned counts[] = { FLEET_FRONTS, FLEET_MAX };

  for (size_t i = 0; i < SUITE_COUNT (counts); i++)
    {
      World *world = world_new (counts[i]);
      int64_t known_ms = simulate (world);
      int64_t end_ms = ORIGIN_MS + JITTER_MS + 10000;
      Roles roles;

      run_until (world, ORIGIN_MS + JITTER_MS + known_ms, end_ms);
      roles = count_roles (world, end_ms);
      CU_ASSERT (known_ms <= 3000);
      CU_ASSERT (world->list_calls + 3 * world->table_calls <= CALLS_PER_START * counts[i]);
      CU_ASSERT_EQUAL (roles.alone, 0);
      CU_ASSERT_EQUAL (roles.followers, 2 * DOMAINS);
      CU_ASSERT_EQUAL (roles.sentinels, 3);
      CU_ASSERT_EQUAL (roles.registrars, 5 * DOMAINS);
      CU_ASSERT (roles.fewest_known >= counts[i] / DOMAINS);
      CU_ASSERT (roles.fewest_counted >= counts[i]);
      printf ("%u: rows after %lld ms, %u + %u calls; followers %u, sentinels %u, registrars %u, "
              "least known %u, least counted %u\n",
              counts[i], (long long)known_ms, world->list_calls, world->table_calls,
              roles.followers, roles.sentinels, roles.registrars, roles.fewest_known,
              roles.fewest_counted);
      world_free (world);
    }
}

typedef struct
{
  double most_dealt;     /* the parts of all fronts together, of what is divided among them */
  int64_t last_place_ms; /* when the last one has its place, after the first start */
} Places;

static Places
watch_places (World *world)
{
  Places places = { 0 };

  for (int64_t now_ms = ORIGIN_MS; now_ms < ORIGIN_MS + FRONT_SETTLED_MS; now_ms += STEP_MS)
    {
      double dealt = 0;

      step (world, now_ms);
      for (unsigned i = 0; i < world->count; i++)
        {
          FrontsView view;

          world->nodes[i].peers.started_ms = world->nodes[i].start_ms;
          front_peers_fill_view (&world->nodes[i].peers, now_ms, &view);
          if (view.has_place)
            dealt += 1.0 / view.places;
          else
            places.last_place_ms = now_ms + STEP_MS - ORIGIN_MS;
        }
      if (dealt > places.most_dealt)
        places.most_dealt = dealt;
    }
  return places;
}

/* All fronts start at one moment. Guards against fronts that take too large a part of a server's
 * slots as they don't know the others yet, and against small sites that use few slots for long. */
static void
test_parts_add_up_to_the_whole (void)
{
  static const struct
  {
    unsigned fronts;
    int64_t place_ms;
  } sites[]
      = { { 3, 3000 }, { 9, 3000 }, { 20, 3000 }, { 70, 3000 }, { 300, 4000 }, { 985, 4000 } };

  for (size_t i = 0; i < 2 * SUITE_COUNT (sites); i++)
    {
      World *world = world_new (sites[i / 2].fronts);
      Places places;

      if (i % 2 == 1)
        register_fronts (world);
      places = watch_places (world);
      printf ("%u: at most %.2f of a server's slots dealt, all have their place after %lld ms\n",
              sites[i / 2].fronts, places.most_dealt, (long long)places.last_place_ms);
      CU_ASSERT (places.most_dealt <= 1.05);
      CU_ASSERT (places.last_place_ms <= sites[i / 2].place_ms);
      world_free (world);
    }
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
  { "parts_add_up_to_the_whole", test_parts_add_up_to_the_whole },
  { "step_for_each_state", test_step_for_each_state },
  { "first_start_makes_few_calls", test_first_start_makes_few_calls },
  { "all_restart_within_half_a_second", test_all_restart_within_half_a_second },
  { "starts_without_registered_fronts", test_starts_without_registered_fronts },
  { "starts_although_registered_fronts_die", test_starts_although_registered_fronts_die },
  { "starts_despite_lost_answers", test_starts_despite_lost_answers },
  { "starts_once_silent_store_answers", test_starts_once_silent_store_answers },
  { "all_of_a_fleet_know_each_other", test_all_of_a_fleet_know_each_other },
  { "single_restart_gets_rows_from_peer", test_single_restart_gets_rows_from_peer },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_bootstrap", cases, SUITE_COUNT (cases));
}
