#include "steward_brake.h"
#include "steward_heartbeat.h"
#include "steward_table.h"
#include <stdio.h>

#define LABEL_SIZE (2 * ((size_t)CLUSTER_NAME_MAX + 1))

/* The ask carries the brake to each member at once. A member that the datagram doesn't reach gets
   it with the answers to its next asks, since its digest differs from the others'. */
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
