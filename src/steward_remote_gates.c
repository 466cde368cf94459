#include "steward_remote_gates.h"

static StewardRemoteGate *
slot_for (StewardRemoteGates *remote, uint64_t gate)
{
  StewardRemoteGate *oldest = &remote->gates[0];

  for (size_t i = 0; i < STEWARD_REMOTE_GATES_MAX; i++)
    {
      StewardRemoteGate *entry = &remote->gates[i];
      if (entry->gate == gate || entry->gate == 0)
        return entry;
      if (entry->reported_at < oldest->reported_at)
        oldest = entry;
    }
  return oldest;
}

void
steward_remote_gates_update (StewardRemoteGates *remote,
                             uint64_t steward,
                             const uint64_t *gates,
                             size_t count,
                             int64_t now)
{
  for (size_t i = 0; i < count; i++)
    if (gates[i] != 0)
      *slot_for (remote, gates[i])
          = (StewardRemoteGate){ .gate = gates[i], .steward = steward, .reported_at = now };
}

const StewardRemoteGate *
steward_remote_gates_find (const StewardRemoteGates *remote, uint64_t gate)
{
  for (size_t i = 0; i < STEWARD_REMOTE_GATES_MAX && remote->gates[i].gate != 0; i++)
    if (remote->gates[i].gate == gate)
      return &remote->gates[i];
  return NULL;
}
