#include "steward_heartbeat.h"
#include "cluster_view.h"
#include "steward_cluster.h"
#include "steward_fetch.h"
#include "steward_message.h"
#include "steward_table.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_id.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Rounds are spread over one part in JITTER_PARTS of the interval, so that stewards that started
   together don't all send at the same time. */
#define JITTER_PARTS 4
/* Bytes of an ask and its answer on the wire, with the headers of UDP and IP (make
   bench-control). */
#define EXCHANGE_BYTES            430.0
#define EXCHANGE_BYTES_PER_MEMBER 1.6

struct StewardHeartbeat
{
  Steward *s;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  bool stop;
  uint64_t next_peer;  /**< index of the next member to ask, in this steward's order */
  uint64_t seed;       /**< seed of this steward's order of members */
  double tokens;       /**< asks that may be sent now (token bucket) */
  int64_t refilled_at; /**< time at which tokens were last added */
};

/** What an ask carries in addition to the heartbeat. */
typedef enum
{
  ASK_PLAIN,
  ASK_WITH_BRAKES,
  ASK_WITH_DEATHS
} AskExtra;

/** A member to ask. */
typedef struct
{
  uint64_t order; /**< sort key in this steward's order */
  bool silent;    /**< not alive: the process there may be a new one that has no view */
  struct sockaddr_in address;
} Peer;

/* A steward answers as many asks as it sends, on average, so each ask accounts for two
   exchanges. */
double
steward_heartbeat_rate (size_t members)
{
  double exchange_bytes = EXCHANGE_BYTES + EXCHANGE_BYTES_PER_MEMBER * (double)members;
  double rate = STEWARD_HEARTBEAT_BYTES_PER_S / (2 * exchange_bytes);

  return rate < STEWARD_HEARTBEAT_ASKS_PER_S_MAX ? rate : STEWARD_HEARTBEAT_ASKS_PER_S_MAX;
}

/* The address of this steward is in the view, unless it is not registered yet or the receiver may
   have no view: then the message carries it. */
static void
add_address (Steward *s, rpc_heartbeat *message, bool registered)
{
  if (registered)
    return;
  free (message->address);
  message->address = memory_strdup (s->self.address);
  message->port = s->self.port;
}

static bool
is_registered (const Steward *s)
{
  return cluster_view_find (cluster_state_view (s->cluster.state), s->incarnation) >= 0;
}

static void
send_ask (Steward *s, const Peer *peer, AskExtra extra)
{
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);
  uint64_t nonce = id_random_u64 ();
  rpc_heartbeat message;
  bool registered;

  pthread_mutex_lock (&s->cluster.lock);
  registered = is_registered (s);
  cluster_state_make_ask (s->cluster.state, nonce == 0 ? 1 : nonce, clock_boot_ms (), ask);
  pthread_mutex_unlock (&s->cluster.lock);
  steward_message_encode (ask, &message);
  add_address (s, &message, registered && !peer->silent);
  message.brakes_digest = steward_brakes_digest (&s->brakes);
  if (extra == ASK_WITH_BRAKES)
    steward_brakes_fill (&s->brakes, STEWARD_BRAKES_PER_MESSAGE, &message.brakes.brakes_val,
                         &message.brakes.brakes_len);
  if (extra == ASK_WITH_DEATHS)
    steward_deaths_fill (&s->deaths, &steward_deaths_heartbeat_limits, clock_boot_ms (),
                         &message.deaths.deaths_val, &message.deaths.deaths_len);
  counter_add (COUNTER_STEWARD_HEARTBEATS, 1);
  (void)rpc_server_send (s->rpc, &peer->address, LOVAGE_HEARTBEAT_ASK, (xdrproc_t)xdr_rpc_heartbeat,
                         &message, NULL);
  steward_message_clear (&message);
  free (ask);
}

static int
compare_order (const void *a, const void *b)
{
  uint64_t x = ((const Peer *)a)->order;
  uint64_t y = ((const Peer *)b)->order;

  return (x > y) - (x < y);
}

static bool
is_silent (const Steward *s, const ClusterMember *m)
{
  int64_t age_ms;

  return steward_cluster_member_state (s, m, clock_boot_ms (), &age_ms) != STEWARD_MEMBER_ALIVE;
}

/* Lists the other members in an order specific to this steward, the same in each round, so that
   asking in turn reaches every member equally often. If lagging_number is not 0, members that apply
   it or a newer number are left out. *out is freed by the caller. */
static size_t
list_peers (Steward *s, uint64_t seed, int64_t lagging_number, Peer **out)
{
  ClusterView *view = steward_cluster_view (s);
  size_t count = 0;

  *out = memory_array (view->count + 1, sizeof **out);
  pthread_mutex_lock (&s->cluster.lock);
  for (size_t i = 0; i < view->count; i++)
    {
      const ClusterMember *m = &view->members[i];
      const ClusterProgress *k = cluster_state_progress (s->cluster.state, m->incarnation);
      Peer *peer = &(*out)[count];
      if (m->incarnation == s->incarnation || !rpc_address (m->address, m->port, &peer->address))
        continue;
      if (lagging_number != 0 && k != NULL && k->number >= lagging_number)
        continue;
      peer->silent = is_silent (s, m);
      peer->order = id_hash (&m->incarnation, sizeof m->incarnation, seed);
      count++;
    }
  pthread_mutex_unlock (&s->cluster.lock);
  free (view);
  qsort (*out, count, sizeof **out, compare_order);
  return count;
}

/* Returns the number of asks that this round may send: at most one to each other member. */
static size_t
take_tokens (StewardHeartbeat *h, size_t others)
{
  int64_t now = clock_boot_ms ();
  double rate = steward_heartbeat_rate (others + 1);
  size_t asks;

  h->tokens += rate * (double)(now - h->refilled_at) / 1000;
  h->refilled_at = now;
  if (h->tokens > (double)others)
    h->tokens = (double)others;
  asks = (size_t)h->tokens;
  h->tokens -= (double)asks;
  return asks;
}

static void
send_round (StewardHeartbeat *h)
{
  Peer *peers;
  size_t count = list_peers (h->s, h->seed, 0, &peers);
  size_t asks = take_tokens (h, count);

  for (size_t i = 0; i < asks && count > 0; i++)
    send_ask (h->s, &peers[h->next_peer++ % count], ASK_PLAIN);
  free (peers);
  steward_cluster_apply (h->s);
  steward_cluster_update_suspicion (h->s, clock_boot_ms ());
}

static void
ask_all (Steward *s, int64_t lagging_number, AskExtra extra)
{
  Peer *peers;
  size_t count = list_peers (s, s->incarnation, lagging_number, &peers);

  for (size_t i = 0; i < count; i++)
    send_ask (s, &peers[i], extra);
  free (peers);
}

void
steward_heartbeat_ask_lagging (Steward *s, int64_t number)
{
  ask_all (s, number, ASK_PLAIN);
}

void
steward_heartbeat_broadcast_brakes (Steward *s)
{
  ask_all (s, 0, ASK_WITH_BRAKES);
}

void
steward_heartbeat_broadcast_deaths (Steward *s)
{
  ClusterView *view = steward_cluster_view (s);
  size_t members = view->count;

  free (view);
  if (members > 1 && steward_deaths_may_broadcast (&s->deaths, members - 1, clock_boot_ms ()))
    ask_all (s, 0, ASK_WITH_DEATHS);
}

static int64_t
round_interval_ms (const StewardHeartbeat *h)
{
  int64_t ms = h->s->settings.heartbeat_ms;
  int64_t jitter = ms / JITTER_PARTS;

  if (jitter == 0)
    return ms;
  return ms - jitter / 2 + (int64_t)(id_random_u64 () % (uint64_t)(jitter + 1));
}

static void *
run (void *context)
{
  StewardHeartbeat *h = context;

  pthread_mutex_lock (&h->lock);
  while (!h->stop)
    {
      pthread_mutex_unlock (&h->lock);
      send_round (h);
      pthread_mutex_lock (&h->lock);
      if (!h->stop)
        (void)wait_ms (&h->wake, &h->lock, round_interval_ms (h));
    }
  pthread_mutex_unlock (&h->lock);
  return NULL;
}

StewardHeartbeat *
steward_heartbeat_start (Steward *s)
{
  StewardHeartbeat *h = memory_alloc (sizeof *h);

  h->s = s;
  h->seed = id_random_u64 ();
  h->refilled_at = clock_boot_ms ();
  pthread_mutex_init (&h->lock, NULL);
  wait_init (&h->wake);
  int error = pthread_create (&h->thread, NULL, run, h);
  INVARIANT (error == 0, "pthread_create: %s", strerror (error));
  return h;
}

void
steward_heartbeat_stop (StewardHeartbeat *h)
{
  if (h == NULL)
    return;
  pthread_mutex_lock (&h->lock);
  h->stop = true;
  pthread_cond_signal (&h->wake);
  pthread_mutex_unlock (&h->lock);
  pthread_join (h->thread, NULL);
  pthread_cond_destroy (&h->wake);
  pthread_mutex_destroy (&h->lock);
  free (h);
}

/* A newer number or view has to be fetched. */
static void
wake_fetchers (Steward *s)
{
  if (steward_cluster_wanted_number (s) > steward_document_number (&s->document)
      || steward_cluster_wants_view (s))
    {
      steward_table_wake (s->table);
      steward_fetch_wake (s->fetch);
    }
}

/* The answer goes to the asker's registered or stated address, which may differ from the source of
   its datagram. */
static bool
asker_address (const Steward *s, const rpc_heartbeat *ask, struct sockaddr_in *out)
{
  const ClusterView *view = cluster_state_view (s->cluster.state);
  int index = cluster_view_find (view, ask->incarnation);

  if (index >= 0)
    return rpc_address (view->members[index].address, view->members[index].port, out);
  return ask->address[0] != '\0' && rpc_address (ask->address, ask->port, out);
}

static void
send_answer (Steward *s,
             const struct sockaddr_in *to,
             const rpc_heartbeat *ask,
             ClusterHeartbeat *answer)
{
  rpc_heartbeat message;

  steward_message_encode (answer, &message);
  message.gates.gates_val = memory_array (LOVAGE_GATES_MAX, sizeof *message.gates.gates_val);
  message.gates.gates_len = (u_int)steward_gates_alive (&s->gates, clock_boot_ms (),
                                                        message.gates.gates_val, LOVAGE_GATES_MAX);
  message.brakes_digest = steward_brakes_digest (&s->brakes);
  if (ask->brakes_digest != message.brakes_digest)
    steward_brakes_fill (&s->brakes, STEWARD_BRAKES_PER_MESSAGE, &message.brakes.brakes_val,
                         &message.brakes.brakes_len);
  steward_deaths_fill (&s->deaths, &steward_deaths_heartbeat_limits, clock_boot_ms (),
                       &message.deaths.deaths_val, &message.deaths.deaths_len);
  counter_add (COUNTER_STEWARD_HEARTBEATS, 1);
  (void)rpc_server_send (s->rpc, to, LOVAGE_HEARTBEAT_ANSWER, (xdrproc_t)xdr_rpc_heartbeat,
                         &message, NULL);
  steward_message_clear (&message);
}

/* A process that was restarted in an outage of the table service has no view. The other members'
   asks still arrive at its address and carry the address of their sender, from which it can fetch
   the configuration and the view. */
static void
set_introducer (Steward *s, const rpc_heartbeat *ask)
{
  ClusterMember *introducer = &s->cluster.introducer;

  if (cluster_state_view (s->cluster.state)->number > 0 || ask->address[0] == '\0')
    return;
  *introducer = (ClusterMember){ .incarnation = ask->incarnation, .port = ask->port };
  snprintf (introducer->address, sizeof introducer->address, "%s", ask->address);
}

bool
steward_heartbeat_handle_ask (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  Steward *s = context;
  const rpc_heartbeat *message = arg;
  ClusterHeartbeat *ask = memory_alloc (sizeof *ask);
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);
  bool good = steward_message_decode (message, ask) && ask->incarnation == peer->sender;
  struct sockaddr_in to;
  bool answers = false;

  (void)result;
  if (good)
    {
      pthread_mutex_lock (&s->cluster.lock);
      set_introducer (s, message);
      answers = cluster_state_handle_ask (s->cluster.state, ask, clock_boot_ms (), answer);
      if (answers)
        cluster_heartbeat_pack (s->cluster.state, answer);
      answers = answers && asker_address (s, message, &to);
      pthread_mutex_unlock (&s->cluster.lock);
      (void)steward_brakes_merge (&s->brakes, message->brakes.brakes_val,
                                  message->brakes.brakes_len);
      (void)steward_deaths_merge (&s->deaths, message->deaths.deaths_val,
                                  message->deaths.deaths_len, clock_boot_ms ());
      if (answers)
        send_answer (s, &to, message, answer);
      wake_fetchers (s);
    }
  free (ask);
  free (answer);
  return good;
}

bool
steward_heartbeat_handle_answer (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  Steward *s = context;
  const rpc_heartbeat *message = arg;
  ClusterHeartbeat *answer = memory_alloc (sizeof *answer);
  bool good = steward_message_decode (message, answer) && answer->incarnation == peer->sender;

  (void)result;
  if (good)
    {
      pthread_mutex_lock (&s->cluster.lock);
      (void)cluster_state_handle_answer (s->cluster.state, answer, clock_boot_ms ());
      steward_remote_gates_update (&s->remote_gates, answer->incarnation, message->gates.gates_val,
                                   message->gates.gates_len, clock_boot_ms ());
      pthread_cond_broadcast (&s->cluster.changed);
      pthread_mutex_unlock (&s->cluster.lock);
      (void)steward_brakes_merge (&s->brakes, message->brakes.brakes_val,
                                  message->brakes.brakes_len);
      (void)steward_deaths_merge (&s->deaths, message->deaths.deaths_val,
                                  message->deaths.deaths_len, clock_boot_ms ());
      wake_fetchers (s);
    }
  free (answer);
  return good;
}
