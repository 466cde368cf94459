#include "fake_gate.h"
#include "bill_entry.h"
#include "suite.h"
#include "util_assert.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPLICA_MAX      (8U << 20) /* bytes */
#define TABLE_TIMEOUT_MS 1000

FakeSite
fake_site_new (void)
{
  return (FakeSite){
    .platform = fake_platform_new (),
    .replica = bill_replica_new (REPLICA_MAX),
  };
}

void
fake_site_free (FakeSite *site)
{
  bill_replica_free (site->replica);
  platform_free (site->platform);
}

static bool
is_alive (void *context, uint64_t incarnation)
{
  const FakeGate *gate = context;

  return gate != NULL && gate->incarnation == incarnation;
}

void
fake_site_settle (FakeSite *site, const FakeGate *alive)
{
  BillRecovery recovery;
  size_t written = 1;

  while (written > 0)
    if (bill_replica_flush (site->replica, site->platform, is_alive, (void *)alive, 0, &written,
                            NULL)
        != STATUS_OK)
      break;
  bill_recover_objects (site->platform, is_alive, (void *)alive, &recovery, NULL);
}

bool
fake_site_bill (FakeSite *site, const char *key, BillRecord *out)
{
  PlatformRow row;
  bool found;

  INVARIANT (site->platform->ops->get (site->platform, BILL_TABLE, key, 1000, &row, NULL)
                 == STATUS_OK,
             "the fake platform is down");
  found = row.version > 0;
  INVARIANT (!found || bill_parse (row.value, out), "key=\"%s\"", key);
  platform_row_clear (&row);
  return found;
}

static int
copy_to_steward (void *context, const char *const *records, size_t count)
{
  FakeGate *gate = context;
  LinkState state = fake_link_call (gate->link, CALL_COPY);
  bool taken = false;

  if (state == LINK_UP || state == LINK_REPLY_LOST)
    taken = bill_replica_take (gate->site->replica, gate->incarnation, records, count, 0);
  return taken && state == LINK_UP ? 1 : 0;
}

static bool
is_indexed (void *context)
{
  BillBacklog backlog;

  bill_backlog (((FakeGate *)context)->writer, &backlog);
  return backlog.indexed;
}

FakeGate *
fake_gate_new_disconnected (FakeSite *site, uint64_t incarnation, size_t spool_max, unsigned calls)
{
  FakeGate *gate = memory_alloc (sizeof *gate);
  BillOptions options = {
    .gate = incarnation,
    .spool_max = spool_max,
    .table_timeout_ms = TABLE_TIMEOUT_MS,
    .replicator = { .copy = copy_to_steward, .context = gate },
  };

  gate->site = site;
  gate->incarnation = incarnation;
  gate->link = fake_link_new (site->platform);
  fake_link_set (gate->link, calls, LINK_REFUSED);
  gate->group = platform_group_new (gate->link, 0, 64, 1000);
  /* Faults come and go much faster than in production, so the table service must never count as
   * down. */
  platform_group_set_failure_threshold (gate->group, 0);
  options.platform = gate->link;
  options.group = gate->group;
  gate->writer = bill_writer_new (&options);
  return gate;
}

FakeGate *
fake_gate_new (FakeSite *site, uint64_t incarnation, size_t spool_max)
{
  FakeGate *gate = fake_gate_new_disconnected (site, incarnation, spool_max, 0);

  INVARIANT (suite_wait (is_indexed, gate), "the gate's row was not written");
  return gate;
}

size_t
fake_gate_free (FakeGate *gate, int timeout_ms)
{
  size_t left = bill_writer_free (gate->writer, timeout_ms);

  platform_group_free (gate->group);
  platform_free (gate->link);
  free (gate);
  return left;
}

static bool
is_settled (void *context)
{
  BillBacklog backlog;

  bill_backlog (((FakeGate *)context)->writer, &backlog);
  return backlog.count == 0 && backlog.spilled == 0;
}

bool
fake_gate_wait_settled (FakeGate *gate)
{
  return suite_wait (is_settled, gate);
}

BillRecord
fake_bill (int n)
{
  BillRecord record = {
    .team = "tender-desk",
    .asked = "draft",
    .outcome = BILL_ANSWERED,
    .config = 17,
    .at_ms = 1790000000000,
    .attempt_count = 2,
    .attempts = {
      { .version = "small@v1", .server = "e1", .prompt_tokens = n, .cost = 0.25 },
      { .version = "draft@v7", .server = "e2", .completion_tokens = 3, .cost = n },
    },
  };

  snprintf (record.request, sizeof record.request, "%032d", n);
  bill_key (record.team, NULL, record.request, record.key);
  return record;
}

double
fake_bill_cost (const BillRecord *record)
{
  double cost = 0;

  for (size_t i = 0; i < record->attempt_count; i++)
    cost += record->attempts[i].cost;
  return cost;
}

BillPlace
fake_gate_commit (FakeGate *gate, int n)
{
  BillRecord record = fake_bill (n);

  return bill_commit (gate->writer, &record, NULL);
}

bool
fake_site_is_billed (FakeSite *site, int n)
{
  BillRecord record = fake_bill (n);
  BillRecord found;

  return fake_site_bill (site, record.key, &found) && fake_bill_cost (&found) == n + 0.25;
}

void
fake_gate_kill (FakeGate *gate)
{
  fake_link_kill (gate->link);
  fake_gate_free (gate, 0);
}
