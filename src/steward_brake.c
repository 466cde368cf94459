#include "steward_brake.h"
#include "steward_heartbeat.h"
#include "steward_table.h"
#include <stdio.h>

#define LABEL_SIZE (2 * ((size_t)CLUSTER_NAME_MAX + 1))

/* The broadcast is an ask to each member that carries the brake. A member that this datagram
   doesn't reach receives the brake with the answers to its next asks, because the digest of its
   brakes differs from the answering member's. */
ClusterBrakeResult
steward_brake_raise (Steward *s, const ClusterBrake *brake)
{
  ClusterBrakeResult result = steward_brakes_raise (&s->brakes, brake);
  char label[LABEL_SIZE];

  if (result != CLUSTER_BRAKE_ADDED)
    return result;
  snprintf (label, sizeof label, "%s@%s", brake->model, brake->version);
  (void)steward_audit_queue_add (
      &s->audit, &(StewardAuditEntry){
                     .who = brake->by, .action = "brake", .to = label, .detail = brake->why });
  steward_heartbeat_broadcast_brakes (s);
  steward_table_wake (s->table);
  return result;
}
