#include "gate_replicas.h"
#include "gate.h"
#include "util_counter.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COPIES_WANTED   2 /* other failure domains */
#define COPY_TIMEOUT_MS 500
#define MESSAGE_MAX     (512UL * 1024) /* bytes; a message that has reached it gets no more records */

static void update_peers (Gate *gate);
static bool copy_to (Gate *gate, GatePeer *peer, const char *const *records, size_t count);

void
gate_replicas_init (GateReplicas *replicas)
{
  *replicas = (GateReplicas){ 0 };
  pthread_mutex_init (&replicas->lock, NULL);
}

void
gate_replicas_clear (GateReplicas *replicas)
{
  for (size_t i = 0; i < replicas->peer_count; i++)
    {
      if (replicas->peers[i].client != NULL)
        rpc_client_free (replicas->peers[i].client);
    }
  pthread_mutex_destroy (&replicas->lock);
}

void
gate_replicas_set_peers (GateReplicas *replicas, const rpc_peer *peers, size_t count)
{
  pthread_mutex_lock (&replicas->lock);
  replicas->granted_count = count < LOVAGE_PEERS_MAX ? count : LOVAGE_PEERS_MAX;
  for (size_t i = 0; i < replicas->granted_count; i++)
    {
      GatePeer *peer = &replicas->granted[i];
      *peer = (GatePeer){ .port = peers[i].port };
      snprintf (peer->address, sizeof (peer->address), "%s", peers[i].address);
      snprintf (peer->failure_domain, sizeof (peer->failure_domain), "%s", peers[i].failure_domain);
    }
  pthread_mutex_unlock (&replicas->lock);
}

/* Copies the peers of the newest grant; connections to peers that it still names are reused. */
static void
update_peers (Gate *gate)
{
  GateReplicas *replicas = &gate->replicas;
  GatePeer next[LOVAGE_PEERS_MAX];
  size_t count;

  pthread_mutex_lock (&replicas->lock);
  count = replicas->granted_count;
  memcpy (next, replicas->granted, sizeof (next));
  pthread_mutex_unlock (&replicas->lock);
  for (size_t i = 0; i < replicas->peer_count; i++)
    {
      GatePeer *old = &replicas->peers[i];
      for (size_t j = 0; j < count; j++)
        {
          if (old->client == NULL || old->port != next[j].port
              || strcmp (old->address, next[j].address) != 0)
            continue;
          next[j].client = old->client;
          old->client = NULL;
        }
      if (old->client != NULL)
        rpc_client_free (old->client);
    }
  memcpy (replicas->peers, next, sizeof (next));
  replicas->peer_count = count;
}

/* Sends one message with as many records as fit. Returns their number, or 0 if they were not
 * accepted. */
static size_t
send_batch (Gate *gate, GatePeer *peer, const char *const *records, size_t count)
{
  rpc_record list[LOVAGE_RECORDS_MAX];
  rpc_bill_copy copy = { .gate = gate->incarnation, .records = { .records_val = list } };
  rpc_bill_copy_result result = { 0 };
  size_t bytes = 0;
  size_t n = 0;
  Status st = { 0 };

  while (n < count && n < LOVAGE_RECORDS_MAX && bytes < MESSAGE_MAX)
    {
      list[n].rpc_record_val = (char *)records[n];
      list[n].rpc_record_len = (u_int)strlen (records[n]);
      bytes += list[n].rpc_record_len;
      n++;
    }
  copy.records.records_len = (u_int)n;
  if (rpc_client_call (peer->client, LOVAGE_BILL_COPY, (xdrproc_t)xdr_rpc_bill_copy, &copy,
                       (xdrproc_t)xdr_rpc_bill_copy_result, &result, COPY_TIMEOUT_MS, &st)
      != STATUS_OK)
    return 0;
  return result.taken ? n : 0;
}

static bool
copy_to (Gate *gate, GatePeer *peer, const char *const *records, size_t count)
{
  size_t sent = 0;

  if (peer->client == NULL)
    peer->client = rpc_client_new (&gate->site_key, gate->incarnation, peer->address, peer->port);
  while (sent < count)
    {
      size_t n = send_batch (gate, peer, records + sent, count - sent);
      if (n == 0)
        return false;
      sent += n;
    }
  return true;
}

int
gate_replicas_copy (void *context, const char *const *records, size_t count)
{
  Gate *gate = context;
  GateReplicas *replicas = &gate->replicas;
  const char *domains[COPIES_WANTED];
  int copies = 0;

  update_peers (gate);
  for (size_t i = 0; i < replicas->peer_count && copies < COPIES_WANTED; i++)
    {
      GatePeer *peer = &replicas->peers[i];
      bool other = strcmp (peer->failure_domain, gate->settings.common.failure_domain) != 0;
      for (int j = 0; j < copies; j++)
        other = other && strcmp (domains[j], peer->failure_domain) != 0;
      if (!other || !copy_to (gate, peer, records, count))
        continue;
      domains[copies++] = peer->failure_domain;
      counter_add (COUNTER_GATE_RECORDS_COPIED, (int64_t)count);
    }
  return copies;
}
