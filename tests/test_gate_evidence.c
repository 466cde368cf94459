/** Evidence for the steward, and the state of backend servers: src/gate_evidence.c,
 * src/gate_servers.c. */
#include "gate.h"
#include "gate_deaths.h"
#include "gate_evidence.h"
#include "gate_servers.h"
#include "suite.h"
#include "util_clock.h"
#include <stdlib.h>
#include <string.h>

static const EvidenceKey key = { .team = "tender", .model = "draft", .version = "v7" };
static const EvidenceKey other = { .team = "branch", .model = "draft", .version = "v7" };

/** Each report covers the time since the last one, by team, and counts distinct callers. */
static void
test_report_covers_time_since_last (void)
{
  GateEvidence *evidence = gate_evidence_new ();
  rpc_evidence out[4];

  CU_ASSERT_EQUAL (gate_evidence_take (evidence, out, 4), 0);
  for (uint64_t i = 0; i < 10; i++)
    gate_evidence_add_answer (evidence, &key, i % 3 + 1, i == 4);
  gate_evidence_add_error (evidence, &key, 77);
  gate_evidence_add_rating (evidence, &key, 0.5);
  gate_evidence_add_rating (evidence, &key, 0.1);
  gate_evidence_add_error (evidence, &other, 1);
  CU_ASSERT_EQUAL (gate_evidence_take (evidence, out, 4), 2);
  CU_ASSERT_STRING_EQUAL (out[0].team, "tender");
  CU_ASSERT_STRING_EQUAL (out[0].model_name, "draft");
  CU_ASSERT_STRING_EQUAL (out[0].version_name, "v7");
  CU_ASSERT_EQUAL (out[0].answers, 10);
  CU_ASSERT_EQUAL (out[0].errors, 1);
  CU_ASSERT_EQUAL (out[0].slow, 1);
  CU_ASSERT_EQUAL (out[0].rated, 2);
  CU_ASSERT_DOUBLE_EQUAL (out[0].rating_sum, 0.6, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (out[0].rating_square_sum, 0.26, 1e-9);
  CU_ASSERT_EQUAL (out[0].callers, 4);
  CU_ASSERT_STRING_EQUAL (out[1].team, "branch");
  CU_ASSERT_EQUAL (gate_evidence_take (evidence, out, 4), 0);
  gate_evidence_free (evidence);
}

/** Entries that did not reach the steward are put back: none is lost, and none is sent twice. */
static void
test_put_back_entries_are_sent_once (void)
{
  GateEvidence *evidence = gate_evidence_new ();
  rpc_evidence out[4];
  size_t n;

  gate_evidence_add_answer (evidence, &key, 5, false);
  gate_evidence_add_answer (evidence, &other, 5, false);
  n = gate_evidence_take (evidence, out, 1);
  CU_ASSERT_EQUAL (n, 1);
  gate_evidence_add_answer (evidence, &key, 6, false);
  gate_evidence_put_back (evidence, out, n);
  CU_ASSERT_EQUAL (gate_evidence_take (evidence, out, 4), 2);
  CU_ASSERT_EQUAL (out[0].answers, 2);
  CU_ASSERT_EQUAL (out[0].callers, 2);
  CU_ASSERT_EQUAL (out[1].answers, 1);
  gate_evidence_free (evidence);
}

/** With more distinct callers than the table holds, the count stays at its bound. */
static void
test_caller_count_is_bounded (void)
{
  GateEvidence *evidence = gate_evidence_new ();
  rpc_evidence out[1];

  for (uint64_t i = 0; i < 100000; i++)
    gate_evidence_add_answer (evidence, &key, i * 1024, false);
  CU_ASSERT_EQUAL (gate_evidence_take (evidence, out, 1), 1);
  CU_ASSERT_EQUAL (out[0].answers, 100000);
  CU_ASSERT (out[0].callers >= 700 && out[0].callers <= 1024);
  gate_evidence_free (evidence);
}

static GateServer *
one_server (GateServers *servers, Config *config, ConfigServer *entry)
{
  GateServer **resolved;
  GateServer *server;

  gate_servers_init (servers, "vm-1", "oita");
  *entry = (ConfigServer){ .name = "oita-1" };
  *config = (Config){ .servers = entry, .server_count = 1 };
  resolved = gate_servers_resolve (servers, config);
  server = resolved[0];
  free (resolved);
  return server;
}

/*
 * When an engine's process has died, each request sent there loses time until the breaker opens. A
 * refused connection opens it at once, and the first load report after the engine's return closes
 * it.
 */
static void
test_refused_connection_opens_breaker (void)
{
  GateServers servers;
  Config config;
  ConfigServer entry;
  GateServer *server = one_server (&servers, &config, &entry);
  ServerView view;

  gate_server_begin_attempt (server, 1000);
  gate_server_end_attempt (server, SERVER_UNREACHABLE, 0, 1000);
  gate_server_copy_view (server, &view);
  CU_ASSERT (view.open_until_ms > 1000);
  CU_ASSERT_EQUAL (view.in_flight, 0);
  gate_server_record_missed_report (server, true, 1500);
  gate_server_record_report (server, 0, false, 1600, 1600);
  gate_server_copy_view (server, &view);
  CU_ASSERT_EQUAL (view.open_until_ms, 0);
  CU_ASSERT_EQUAL (view.failures, 0);
  gate_server_put (server);
}

/** For an engine that sends load reports but fails its attempts, the breaker stays open for its
 * interval. */
static void
test_reports_do_not_close_the_breaker (void)
{
  GateServers servers;
  Config config;
  ConfigServer entry;
  GateServer *server = one_server (&servers, &config, &entry);
  ServerView view;

  for (int i = 0; i < 5; i++)
    {
      gate_server_begin_attempt (server, 1000 + i);
      gate_server_end_attempt (server, SERVER_FAILED, 0, 1000 + i);
      gate_server_record_report (server, 0, false, 1000 + i, 1000 + i);
    }
  gate_server_copy_view (server, &view);
  CU_ASSERT (view.open_until_ms > 1005);
  gate_server_record_report (server, 0, true, 1010, 1010);
  gate_server_copy_view (server, &view);
  CU_ASSERT (view.draining);
  gate_server_put (server);
}

/** A new configuration keeps the state of a server of the same name. */
static void
test_state_kept_by_name (void)
{
  GateServers servers;
  Config config;
  ConfigServer entry;
  GateServer *server = one_server (&servers, &config, &entry);
  GateServer **again;

  gate_server_begin_attempt (server, 1000);
  again = gate_servers_resolve (&servers, &config);
  CU_ASSERT_PTR_EQUAL (again[0], server);
  gate_server_put (again[0]);
  free (again);
  gate_server_end_attempt (server, SERVER_NEUTRAL, 0, 1001);
  gate_server_put (server);
  CU_ASSERT (cds_list_empty (&servers.list));
}

static GateServer *
named_server (GateServers *servers, Config *config, ConfigServer *entry, const char *name)
{
  GateServer **resolved;
  GateServer *server;

  *entry = (ConfigServer){ .name = (char *)name };
  *config = (Config){ .servers = entry, .server_count = 1 };
  resolved = gate_servers_resolve (servers, config);
  server = resolved[0];
  free (resolved);
  return server;
}

/** One attempt with this fingerprint whose answer the server breaks off. */
static void
abort_answer (GateServer *server, uint64_t fingerprint, int64_t now_ms)
{
  gate_server_begin_attempt (server, now_ms);
  gate_server_end_attempt (server, SERVER_FAILED, fingerprint, now_ms);
}

/*
 * A prompt crashes the engine that runs it, and after the caller's retry the next one. After the
 * second death it is quarantined. An engine that broke off an answer but accepts connections has
 * not died, and neither has one that was stopped with no answer in progress.
 */
static void
test_second_death_quarantines (void)
{
  Quarantine *quarantine = quarantine_new (&quarantine_settings_default);
  GateServers servers;
  Config config;
  ConfigServer entry;
  GateServer *a, *b, *c;

  gate_servers_init (&servers, "vm-1", "oita");
  servers.quarantine = quarantine;
  a = named_server (&servers, &config, &entry, "a");
  b = named_server (&servers, &config, &entry, "b");
  c = named_server (&servers, &config, &entry, "c");
  abort_answer (a, 77, 1000);
  gate_server_record_report (a, 0, false, 1200, 1200);
  abort_answer (b, 77, 2000);
  gate_server_record_missed_report (b, false, 2500);
  gate_server_record_missed_report (c, true, 2500);
  CU_ASSERT (!quarantine_contains (quarantine, 77, 3000));
  gate_server_record_missed_report (b, true, 3000);
  CU_ASSERT (!quarantine_contains (quarantine, 77, 3000));
  abort_answer (a, 77, 4000);
  gate_server_begin_attempt (a, 4100);
  gate_server_end_attempt (a, SERVER_UNREACHABLE, 88, 4100);
  CU_ASSERT (quarantine_contains (quarantine, 77, 4200));
  CU_ASSERT (!quarantine_contains (quarantine, 88, 4200));
  gate_server_put (a);
  gate_server_put (b);
  gate_server_put (c);
  quarantine_free (quarantine);
}

static void
count_call (void *context)
{
  ++*(int *)context;
}

/*
 * A crash prompt and an innocent request run at two engines that die one after the other. The
 * thread of the innocent request detects the death first each time; reported alone, that request
 * would look like the cause. The death report contains all requests that ran there, so neither is
 * quarantined, and the end of the second one adds nothing. A request that was answered before the
 * death, or never sent, is not in the report. The callback is called once for each death.
 */
static void
test_death_report_has_all_running (void)
{
  Quarantine *quarantine = quarantine_new (&quarantine_settings_default);
  Quarantine *observed = quarantine_new (&quarantine_settings_default);
  QuarantineDeath news[QUARANTINE_DEATHS_MAX];
  GateServers servers;
  int notified = 0;

  gate_servers_init (&servers, "vm-1", "oita");
  servers.quarantine = quarantine;
  servers.observed_deaths = observed;
  servers.on_death = count_call;
  servers.context = &notified;
  for (int i = 0; i < 2; i++)
    {
      ConfigServer entry;
      Config config;
      GateServer *server = named_server (&servers, &config, &entry, i == 0 ? "a" : "b");
      int64_t now_ms = 1000 + 1000 * i;
      for (uint64_t fingerprint = 1; fingerprint <= 3; fingerprint++)
        {
          gate_server_begin_attempt (server, now_ms);
          gate_server_add_running (server, fingerprint);
        }
      gate_server_begin_attempt (server, now_ms);
      gate_server_end_attempt (server, SERVER_SUCCEEDED, 3, now_ms);
      gate_server_end_attempt (server, SERVER_FAILED, 1, now_ms);
      gate_server_record_missed_report (server, true, now_ms);
      CU_ASSERT_EQUAL (notified, i + 1);
      gate_server_end_attempt (server, SERVER_FAILED, 2, now_ms + 5);
      gate_server_record_missed_report (server, true, now_ms + 5);
      CU_ASSERT_EQUAL (notified, i + 1);
      gate_server_end_attempt (server, SERVER_UNREACHABLE, 4, now_ms + 6);
      gate_server_put (server);
    }
  CU_ASSERT_EQUAL (quarantine_recent_deaths (observed, news, QUARANTINE_DEATHS_MAX, 2500), 2);
  CU_ASSERT_EQUAL (news[0].count, 2);
  CU_ASSERT_EQUAL (news[1].count, 2);
  CU_ASSERT (!quarantine_contains (quarantine, 1, 2500));
  CU_ASSERT (!quarantine_contains (quarantine, 2, 2500));
  quarantine_free (quarantine);
  quarantine_free (observed);
}

/*
 * A crash prompt is sent to one VM, then to another, and each observes one death. Only the reports
 * of both show that one prompt caused the deaths, and then both quarantine it. A report that comes
 * back to the VM that made it changes nothing.
 */
static void
test_deaths_of_two_vms_merge (void)
{
  static Gate vms[2];
  ConfigServer entry;
  Config config;
  DeathReports news[2];

  for (int i = 0; i < 2; i++)
    {
      GateServer *server;
      gate_servers_init (&vms[i].servers, "vm", "oita");
      vms[i].servers.quarantine = quarantine_new (&quarantine_settings_default);
      vms[i].servers.observed_deaths = quarantine_new (&quarantine_settings_default);
      server = named_server (&vms[i].servers, &config, &entry, i == 0 ? "a" : "b");
      abort_answer (server, 77, clock_boot_ms ());
      gate_server_record_missed_report (server, true, clock_boot_ms ());
      gate_server_put (server);
      gate_deaths_collect (&vms[i], &news[i]);
      CU_ASSERT_EQUAL (news[i].count, 1);
      CU_ASSERT (!quarantine_contains (vms[i].servers.quarantine, 77, clock_boot_ms ()));
    }
  for (int i = 0; i < 2; i++)
    {
      DeathReports again;
      gate_deaths_merge (&vms[i], news[i].list, news[i].count);
      CU_ASSERT (!quarantine_contains (vms[i].servers.quarantine, 77, clock_boot_ms ()));
      gate_deaths_merge (&vms[i], news[1 - i].list, news[1 - i].count);
      CU_ASSERT (quarantine_contains (vms[i].servers.quarantine, 77, clock_boot_ms ()));
      gate_deaths_collect (&vms[i], &again);
      CU_ASSERT_EQUAL (again.count, 1);
      quarantine_free (vms[i].servers.quarantine);
      quarantine_free (vms[i].servers.observed_deaths);
    }
}

int
main (int argc, char **argv)
{
  static const SuiteCase suite[] = {
    { "report-covers-time-since-last", test_report_covers_time_since_last },
    { "put-back-entries-are-sent-once", test_put_back_entries_are_sent_once },
    { "caller-count-is-bounded", test_caller_count_is_bounded },
    { "refused-connection-opens-breaker", test_refused_connection_opens_breaker },
    { "reports-do-not-close-the-breaker", test_reports_do_not_close_the_breaker },
    { "state-kept-by-name", test_state_kept_by_name },
    { "second-death-quarantines", test_second_death_quarantines },
    { "death-report-has-all-running", test_death_report_has_all_running },
    { "deaths-of-two-vms-merge", test_deaths_of_two_vms_merge },
  };

  return suite_main (argc, argv, "gate_evidence", suite, SUITE_COUNT (suite));
}
