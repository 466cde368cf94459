/**
 * Reports of deaths of backend servers: from a gate to its steward, to other stewards, to their
 * gates.
 */
#include "steward_deaths.h"
#include "suite.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define NOW          INT64_C (1000000)
#define RETENTION_MS INT64_C (600000)
#define DEATHS       40
#define ROUNDS_MAX   64

/** The deaths of a message; freed by clear. */
typedef struct
{
  rpc_death *deaths;
  u_int count;
} Message;

static Message
message_of (StewardDeaths *d, const StewardDeathsLimits *limits, int64_t now)
{
  Message m = { NULL, 0 };

  steward_deaths_fill (d, limits, now, &m.deaths, &m.count);
  return m;
}

static void
clear (Message *m)
{
  for (u_int i = 0; i < m->count; i++)
    free (m->deaths[i].flights.flights_val);
  free (m->deaths);
}

static void
send_deaths (StewardDeaths *from, StewardDeaths *to, const StewardDeathsLimits *limits, int64_t now)
{
  Message m = message_of (from, limits, now);

  steward_deaths_merge (to, m.deaths, m.count, now);
  clear (&m);
}

static void
add (StewardDeaths *d, uint64_t server, uint32_t age_ms, uint64_t flight, u_int flights)
{
  uint64_t list[QUARANTINE_FLIGHT_MAX];
  rpc_death death = { .server = server, .age_ms = age_ms };

  for (u_int i = 0; i < flights; i++)
    list[i] = flight + i;
  death.flights.flights_len = flights;
  death.flights.flights_val = list;
  steward_deaths_merge (d, &death, 1, NOW);
}

static size_t
known (StewardDeaths *d, int64_t now)
{
  QuarantineDeath deaths[QUARANTINE_DEATHS_MAX];

  return quarantine_recent_deaths (d->set, deaths, QUARANTINE_DEATHS_MAX, now);
}

/* A prompt has crashed two engines through one VM, and the caller retries at the next VM. That
   VM's gate has observed neither death; it must receive both through the stewards and refuse the
   prompt. */
static void
test_deaths_reach_gate_of_another_vm (void)
{
  StewardDeaths first, second;
  Quarantine *gate = quarantine_new (&quarantine_settings_default);

  steward_deaths_init (&first);
  steward_deaths_init (&second);
  add (&first, 11, 900, 77, 1);
  add (&first, 12, 300, 77, 3);
  send_deaths (&first, &second, &steward_deaths_heartbeat_limits, NOW);
  Message m = message_of (&second, &steward_deaths_grant_limits, NOW + 200);
  CU_ASSERT_EQUAL_FATAL (m.count, 2);
  CU_ASSERT_EQUAL (m.deaths[0].server, 12);
  CU_ASSERT_EQUAL (m.deaths[0].age_ms, 500);
  CU_ASSERT_EQUAL (m.deaths[0].flights.flights_len, 3);
  CU_ASSERT_EQUAL (m.deaths[1].server, 11);
  CU_ASSERT_EQUAL (m.deaths[1].age_ms, 1100);
  for (u_int i = 0; i < m.count; i++)
    {
      QuarantineDeath death = { .server = m.deaths[i].server,
                                .age_ms = m.deaths[i].age_ms,
                                .count = m.deaths[i].flights.flights_len };
      memcpy (death.flights, m.deaths[i].flights.flights_val, death.count * sizeof (uint64_t));
      CU_ASSERT_FALSE (quarantine_contains (gate, 77, NOW + 200));
      quarantine_add (gate, &death, NOW + 200);
    }
  CU_ASSERT_TRUE (quarantine_contains (gate, 77, NOW + 200));
  CU_ASSERT_FALSE (quarantine_contains (gate, 78, NOW + 200));
  clear (&m);
  quarantine_free (gate);
  steward_deaths_clear (&first);
  steward_deaths_clear (&second);
}

/* Gates repeat the deaths that they observed in every ask, and stewards receive the same death
   from many peers, each a little later. It must stay one death with one time, or a single death
   would count as several. */
static void
test_repeated_report_stays_one_death (void)
{
  StewardDeaths first, second;

  steward_deaths_init (&first);
  steward_deaths_init (&second);
  add (&first, 11, 0, 77, 2);
  for (int64_t now = NOW; now < NOW + 10000; now += 250)
    {
      send_deaths (&first, &second, &steward_deaths_heartbeat_limits, now);
      send_deaths (&second, &first, &steward_deaths_heartbeat_limits, now + 100);
    }
  CU_ASSERT_EQUAL (known (&first, NOW + 10000), 1);
  CU_ASSERT_EQUAL (known (&second, NOW + 10000), 1);
  Message m = message_of (&first, &steward_deaths_grant_limits, NOW + 10000);
  CU_ASSERT_EQUAL_FATAL (m.count, 1);
  CU_ASSERT_EQUAL (m.deaths[0].age_ms, 10000);
  CU_ASSERT_EQUAL (m.deaths[0].flights.flights_len, 2);
  clear (&m);
  steward_deaths_clear (&first);
  steward_deaths_clear (&second);
}

/* Two VMs observe one death, each under its own requests: the merged report must contain the
   requests of both. */
static void
test_reports_of_two_vms_merge (void)
{
  StewardDeaths d;

  steward_deaths_init (&d);
  add (&d, 11, 100, 77, 2);
  add (&d, 11, 400, 90, 3);
  Message m = message_of (&d, &steward_deaths_grant_limits, NOW);
  CU_ASSERT_EQUAL_FATAL (m.count, 1);
  CU_ASSERT_EQUAL (m.deaths[0].flights.flights_len, 5);
  clear (&m);
  steward_deaths_clear (&d);
}

static unsigned
rounds_until_all_sent (StewardDeaths *d, const StewardDeathsLimits *limits, int64_t now)
{
  bool sent[DEATHS + 1] = { false };
  unsigned count = 0, rounds = 0;

  while (count < DEATHS && rounds < ROUNDS_MAX)
    {
      Message m = message_of (d, limits, now);
      CU_ASSERT_TRUE (m.count <= LOVAGE_DEATHS_MAX);
      for (u_int i = 0; i < m.count; i++)
        {
          uint64_t server = m.deaths[i].server;
          CU_ASSERT_FATAL (server >= 1 && server <= DEATHS);
          count += !sent[server];
          sent[server] = true;
        }
      clear (&m);
      rounds++;
    }
  return rounds;
}

/* A failure domain fails with its 40 engines. A message has room for 16 deaths; the others must
   follow soon, since a gate that has received only some of the deaths could attribute an outage to
   one request. */
static void
test_deaths_beyond_limits_follow_in_turn (void)
{
  StewardDeaths d;

  steward_deaths_init (&d);
  for (uint64_t server = 1; server <= DEATHS; server++)
    add (&d, server, (uint32_t)server, 77 + server, 1);
  CU_ASSERT_EQUAL (rounds_until_all_sent (&d, &steward_deaths_grant_limits, NOW), 3);
  CU_ASSERT_EQUAL (rounds_until_all_sent (&d, &steward_deaths_heartbeat_limits, NOW), 3);
  /* Now the deaths are no longer fresh: each heartbeat carries one of them, in turn. */
  CU_ASSERT_EQUAL (
      rounds_until_all_sent (&d, &steward_deaths_heartbeat_limits, NOW + STEWARD_DEATHS_FRESH_MS),
      DEATHS);
  CU_ASSERT_EQUAL (
      rounds_until_all_sent (&d, &steward_deaths_grant_limits, NOW + STEWARD_DEATHS_FRESH_MS), 3);
  steward_deaths_clear (&d);
}

/* A death under many requests takes many bytes. The heartbeats must stay within their bound, which
   matters with 360 members. */
static void
test_heartbeat_bytes_are_bounded (void)
{
  StewardDeaths d;

  steward_deaths_init (&d);
  for (uint64_t server = 1; server <= DEATHS; server++)
    add (&d, server, 0, 1000 * server, QUARANTINE_FLIGHT_MAX);
  for (unsigned i = 0; i < DEATHS; i++)
    {
      Message m = message_of (&d, &steward_deaths_heartbeat_limits, NOW);
      rpc_heartbeat heartbeat = { .address = (char *)"" };
      u_long empty = xdr_sizeof ((xdrproc_t)xdr_rpc_heartbeat, &heartbeat);
      heartbeat.deaths.deaths_val = m.deaths;
      heartbeat.deaths.deaths_len = m.count;
      u_long with = xdr_sizeof ((xdrproc_t)xdr_rpc_heartbeat, &heartbeat);
      CU_ASSERT_TRUE (m.count >= 1);
      CU_ASSERT_TRUE (with - empty <= 512);
      clear (&m);
    }
  steward_deaths_clear (&d);
}

/* Two stewards that keep sending each other a death, each a second late, must not keep it alive
   beyond the quarantine's retention period. */
static void
test_death_does_not_circulate_beyond_retention (void)
{
  StewardDeaths first, second;
  int64_t now;

  steward_deaths_init (&first);
  steward_deaths_init (&second);
  add (&first, 11, 0, 77, 1);
  for (now = NOW; now < NOW + 2 * RETENTION_MS; now += 2000)
    {
      Message m = message_of (&first, &steward_deaths_heartbeat_limits, now);
      steward_deaths_merge (&second, m.deaths, m.count, now + 1000);
      clear (&m);
      m = message_of (&second, &steward_deaths_heartbeat_limits, now + 1000);
      steward_deaths_merge (&first, m.deaths, m.count, now + 2000);
      clear (&m);
      if (now == NOW + RETENTION_MS / 2)
        CU_ASSERT_EQUAL (known (&second, now), 1);
    }
  CU_ASSERT_EQUAL (known (&first, now), 0);
  CU_ASSERT_EQUAL (known (&second, now), 0);
  steward_deaths_clear (&first);
  steward_deaths_clear (&second);
}

/* Without deaths to send the message must have no part for them. */
static void
test_message_without_deaths_is_empty (void)
{
  StewardDeaths d;

  steward_deaths_init (&d);
  add (&d, 0, 0, 77, 1);
  add (&d, 11, (uint32_t)RETENTION_MS + 1, 77, 1);
  Message m = message_of (&d, &steward_deaths_grant_limits, NOW);
  CU_ASSERT_EQUAL (m.count, 0);
  CU_ASSERT_PTR_NULL (m.deaths);
  steward_deaths_clear (&d);
}

/*
 * A gate repeats an observed death in each ask; only the first report is new and causes a
 * broadcast. Then a whole pool dies at a site of 360: a broadcast for each death would take more of
 * the network than everything else, so broadcasts must be limited.
 */
static void
test_broadcasts_are_limited (void)
{
  uint64_t flight = 77;
  rpc_death death = { .server = 11, .flights = { .flights_len = 1, .flights_val = &flight } };
  StewardDeaths d;
  int64_t sent = 0;

  steward_deaths_init (&d);
  CU_ASSERT_TRUE (steward_deaths_merge (&d, &death, 1, NOW));
  CU_ASSERT_FALSE (steward_deaths_merge (&d, &death, 1, NOW + 250));
  flight = 78;
  CU_ASSERT_TRUE (steward_deaths_merge (&d, &death, 1, NOW + 250));
  CU_ASSERT_TRUE (steward_deaths_may_broadcast (&d, 2, NOW));
  CU_ASSERT_FALSE (steward_deaths_may_broadcast (&d, 2, NOW + 10));
  CU_ASSERT_TRUE (steward_deaths_may_broadcast (&d, 2, NOW + 30));
  for (int64_t now = NOW + 30; now < NOW + 10030; now += 10)
    sent += steward_deaths_may_broadcast (&d, 359, now) ? 359 : 0;
  CU_ASSERT (sent > 0 && sent / 10 <= STEWARD_DEATHS_MESSAGES_PER_S_MAX);
  steward_deaths_clear (&d);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "deaths_reach_gate_of_another_vm", test_deaths_reach_gate_of_another_vm },
    { "repeated_report_stays_one_death", test_repeated_report_stays_one_death },
    { "reports_of_two_vms_merge", test_reports_of_two_vms_merge },
    { "deaths_beyond_limits_follow_in_turn", test_deaths_beyond_limits_follow_in_turn },
    { "heartbeat_bytes_are_bounded", test_heartbeat_bytes_are_bounded },
    { "death_does_not_circulate_beyond_retention", test_death_does_not_circulate_beyond_retention },
    { "message_without_deaths_is_empty", test_message_without_deaths_is_empty },
    { "broadcasts_are_limited", test_broadcasts_are_limited },
  };

  return suite_main (argc, argv, "steward_deaths", cases, SUITE_COUNT (cases));
}
