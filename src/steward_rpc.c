#include "steward_rpc.h"
#include "cluster_grant.h"
#include "cluster_view.h"
#include "steward_brake.h"
#include "steward_cluster.h"
#include "steward_heartbeat.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

static bool handle_grant (void *context, const RpcPeer *peer, const void *arg, void *result);
static bool handle_document (void *context, const RpcPeer *peer, const void *arg, void *result);
static bool handle_view (void *context, const RpcPeer *peer, const void *arg, void *result);
static bool handle_bill_copy (void *context, const RpcPeer *peer, const void *arg, void *result);

#define ARG(type)    .arg_proc = (xdrproc_t)xdr_##type, .arg_size = sizeof (type)
#define RESULT(type) .result_proc = (xdrproc_t)xdr_##type, .result_size = sizeof (type)

static const RpcProcedure procedures[] = {
  { LOVAGE_HEARTBEAT_ASK, ARG (rpc_heartbeat), .handle = steward_heartbeat_handle_ask },
  { LOVAGE_HEARTBEAT_ANSWER, ARG (rpc_heartbeat), .handle = steward_heartbeat_handle_answer },
  { LOVAGE_GRANT, ARG (rpc_grant_ask), RESULT (rpc_grant), .handle = handle_grant },
  { LOVAGE_CONFIG_GET, ARG (rpc_number), RESULT (rpc_document), .handle = handle_document },
  { LOVAGE_BILL_COPY, ARG (rpc_bill_copy), RESULT (rpc_bill_copy_result),
    .handle = handle_bill_copy },
  { LOVAGE_VIEW_GET, ARG (rpc_number), RESULT (rpc_document), .handle = handle_view },
};

bool
steward_rpc_open (Steward *s, Status *st)
{
  RpcServerOptions options = { .key = &s->key,
                               .sender = s->incarnation,
                               .address = s->settings.rpc.address,
                               .port = (int)s->settings.rpc.port,
                               .procedures = procedures,
                               .procedure_count = sizeof procedures / sizeof *procedures,
                               .context = s };

  s->rpc = rpc_server_new (&options, st);
  return s->rpc != NULL;
}

/* The grant is recorded under the cluster's lock, under which steward_cluster_apply reads the
   gates. So a gate that was granted a lower number is taken into account when this steward next
   reports the number that it applies. */
static int64_t
give_grant (Steward *s, uint64_t gate, int64_t now, int64_t *number)
{
  ClusterGrant grant;
  int64_t left;

  pthread_mutex_lock (&s->cluster.lock);
  *number = steward_document_number (&s->document);
  grant = steward_cluster_grant_now (s, now);
  left = *number > 0 ? cluster_grant_left (&grant, now) : 0;
  if (left > 0)
    steward_gates_record_grant (&s->gates, gate, *number, now + left);
  pthread_mutex_unlock (&s->cluster.lock);
  return left;
}

static void
raise_brakes (Steward *s, const rpc_grant_ask *ask)
{
  for (u_int i = 0; i < ask->raised.raised_len; i++)
    {
      ClusterBrake brake;
      steward_brakes_decode (&ask->raised.raised_val[i], &brake);
      (void)steward_brake_raise (s, &brake);
    }
}

static void
add_peer (rpc_grant *grant, const ClusterMember *m)
{
  grant->peers.peers_val[grant->peers.peers_len++]
      = (rpc_peer){ .address = memory_strdup (m->address),
                    .port = m->port,
                    .failure_domain = memory_strdup (m->failure_domain) };
}

/* Adds live stewards of other failure domains, starting after this steward in the view's order, so
   that the copies of all gates are spread evenly. */
static void
add_peers (const Steward *s, const ClusterView *view, int64_t now, rpc_grant *grant)
{
  size_t first = grant->rank < 0 ? 0 : (size_t)grant->rank;
  int64_t age_ms;

  grant->peers.peers_val = memory_array (LOVAGE_PEERS_MAX, sizeof *grant->peers.peers_val);
  for (size_t i = 0; i < view->count && grant->peers.peers_len < LOVAGE_PEERS_MAX; i++)
    {
      const ClusterMember *m = &view->members[(first + i) % view->count];
      if (strcmp (m->failure_domain, s->self.failure_domain) != 0
          && steward_cluster_member_state (s, m, now, &age_ms) == STEWARD_MEMBER_ALIVE)
        add_peer (grant, m);
    }
}

/* Counts registered members, not live ones: if the shares of a limit grew while a member was only
   cut off, they would sum to more than the limit. */
static void
fill_members (Steward *s, int64_t now, rpc_grant *grant)
{
  pthread_mutex_lock (&s->cluster.lock);
  const ClusterView *view = cluster_state_view (s->cluster.state);
  grant->members = (u_int)(view->count > 0 ? view->count : 1);
  grant->rank = cluster_view_find (view, s->incarnation);
  add_peers (s, view, now, grant);
  pthread_mutex_unlock (&s->cluster.lock);
}

static bool
handle_grant (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  Steward *s = context;
  const rpc_grant_ask *ask = arg;
  rpc_grant *grant = result;
  int64_t now = clock_boot_ms ();
  int64_t left = 0;

  if (ask->incarnation != peer->sender)
    return false;
  raise_brakes (s, ask);
  steward_evidence_add (&s->evidence, ask->evidence.evidence_val, ask->evidence.evidence_len);
  if (steward_deaths_merge (&s->deaths, ask->deaths.deaths_val, ask->deaths.deaths_len, now))
    steward_heartbeat_broadcast_deaths (s);
  (void)steward_cluster_grant (s, now);
  bool recorded
      = steward_gates_record_ask (&s->gates, ask->incarnation, ask->number, ask->in_flight, now);
  if (recorded)
    left = give_grant (s, ask->incarnation, now, &grant->number);
  grant->grant_ms = ask->stopping ? 0 : (u_int)left;
  fill_members (s, now, grant);
  steward_brakes_fill (&s->brakes, CLUSTER_BRAKES_MAX, &grant->brakes.brakes_val,
                       &grant->brakes.brakes_len);
  steward_deaths_fill (&s->deaths, &steward_deaths_grant_limits, now, &grant->deaths.deaths_val,
                       &grant->deaths.deaths_len);
  counter_add (left > 0 ? COUNTER_STEWARD_GRANTS : COUNTER_STEWARD_GRANTS_REFUSED, 1);
  steward_cluster_apply (s);
  return true;
}

static void
set_document (rpc_document *document, int64_t number, char *text)
{
  document->number = text == NULL ? 0 : number;
  document->text = text == NULL ? memory_strdup ("") : text;
}

static bool
handle_document (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  Steward *s = context;
  const rpc_number *ask = arg;
  int64_t number;
  char *text = steward_document_text (&s->document, &number);

  (void)peer;
  /* A request for an older number gets the newest document: numbers are applied only in ascending
     order. */
  if (text != NULL && number < ask->number)
    {
      free (text);
      text = NULL;
    }
  set_document (result, number, text);
  return true;
}

/* Only an adopted view is served: its write is known to be committed. */
static bool
handle_view (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  Steward *s = context;
  const rpc_number *ask = arg;
  ClusterView *view = steward_cluster_view (s);
  bool have = view->number > 0 && view->number >= ask->number;

  (void)peer;
  set_document (result, view->number, have ? cluster_view_text (view) : NULL);
  free (view);
  return true;
}

static bool
handle_bill_copy (void *context, const RpcPeer *peer, const void *arg, void *result)
{
  Steward *s = context;
  const rpc_bill_copy *copy = arg;
  rpc_bill_copy_result *answer = result;
  u_int count = copy->records.records_len;
  char **records;

  if (copy->gate != peer->sender)
    return false;
  records = memory_array (count + 1, sizeof *records);
  for (u_int i = 0; i < count; i++)
    {
      const rpc_record *record = &copy->records.records_val[i];
      records[i] = memory_alloc ((size_t)record->rpc_record_len + 1);
      memcpy (records[i], record->rpc_record_val, record->rpc_record_len);
    }
  answer->taken = bill_replica_take (s->bills, copy->gate, (const char *const *)records, count,
                                     clock_boot_ms ());
  for (u_int i = 0; i < count; i++)
    free (records[i]);
  free (records);
  return true;
}
