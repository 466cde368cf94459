/**
 * Operators' call that reads the state of the members as this steward sees it.
 */
#include "cluster_grant.h"
#include "steward_call.h"
#include "steward_cluster.h"
#include "util_clock.h"
#include <inttypes.h>
#include <stdio.h>

#define ADDRESS_SIZE (CLUSTER_ADDRESS_MAX + 8)

typedef struct json_object Json;

static Json *
member_json (const Steward *s, const ClusterMember *m, int64_t now)
{
  const ClusterProgress *k = cluster_state_progress (s->cluster.state, m->incarnation);
  Json *obj = json_object_new_object ();
  char address[ADDRESS_SIZE], incarnation[24];
  int64_t age_ms;
  StewardMemberState state = steward_cluster_member_state (s, m, now, &age_ms);

  snprintf (address, sizeof address, "%s:%d", m->address, m->port);
  snprintf (incarnation, sizeof incarnation, "%016" PRIx64, m->incarnation);
  json_object_object_add (obj, "vm", json_object_new_string (m->vm));
  json_object_object_add (obj, "address", json_object_new_string (address));
  json_object_object_add (obj, "failure_domain", json_object_new_string (m->failure_domain));
  json_object_object_add (obj, "incarnation", json_object_new_string (incarnation));
  json_object_object_add (obj, "number", json_object_new_int64 (k == NULL ? 0 : k->number));
  json_object_object_add (obj, "age_ms", json_object_new_int64 (age_ms));
  json_object_object_add (obj, "state", json_object_new_string (steward_member_state_name (state)));
  return obj;
}

static Json *
suspicion_json (const StewardSuspicion *suspicion)
{
  Json *obj = json_object_new_object ();

  json_object_object_add (obj, "kind",
                          json_object_new_string (steward_suspect_name (suspicion->kind)));
  json_object_object_add (obj, "silent", json_object_new_int64 ((int64_t)suspicion->silent));
  json_object_object_add (obj, "failure_domain",
                          json_object_new_string (suspicion->failure_domain));
  return obj;
}

static void
add_cluster (Steward *s, Json *answer, int64_t now)
{
  Json *members = json_object_new_array ();
  const ClusterState *state = s->cluster.state;

  pthread_mutex_lock (&s->cluster.lock);
  const ClusterView *view = cluster_state_view (state);
  ClusterGrant grant = steward_cluster_grant_now (s, now);
  for (size_t i = 0; i < view->count; i++)
    json_object_array_add (members, member_json (s, &view->members[i], now));
  json_object_object_add (answer, "view", json_object_new_int64 (view->number));
  json_object_object_add (answer, "view_established",
                          json_object_new_boolean (view->number > 0 && view->established));
  json_object_object_add (answer, "number", json_object_new_int64 (cluster_state_number (state)));
  json_object_object_add (answer, "accepted",
                          json_object_new_int64 (cluster_state_accepted (state)));
  json_object_object_add (answer, "grant_ms",
                          json_object_new_int64 (cluster_grant_left (&grant, now)));
  json_object_object_add (answer, "grant_proof",
                          json_object_new_string (cluster_proof_name (grant.proof)));
  StewardSuspicion suspicion = s->cluster.suspicion;
  pthread_mutex_unlock (&s->cluster.lock);
  json_object_object_add (answer, "members", members);
  json_object_object_add (answer, "suspicion", suspicion_json (&suspicion));
}

void
steward_api_status (StewardCall *call)
{
  Steward *s = call->s;
  Json *answer = json_object_new_object ();

  json_object_object_add (answer, "vm", json_object_new_string (s->self.vm));
  add_cluster (s, answer, clock_boot_ms ());
  json_object_object_add (answer, "brakes", steward_brakes_json (&s->brakes));
  json_object_object_add (answer, "platform",
                          json_object_new_string (atomic_load (&s->platform_up) ? "ok" : "down"));
  steward_call_done (call, answer);
}
