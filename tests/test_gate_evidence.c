/** Evidence for the steward, and what a gate knows of servers: src/gate_evidence.c, gate_servers.c.
 */
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

/** Each report holds what came since the last one, by team, with callers notified apart. */
static void
test_reports (void)
{
  GateEvidence *evidence = gate_evidence_new ();
  rpc_evidence out[4];

  CU_ASSERT_EQUAL (gate_evidence_take (evidence, out, 4), 0);
  for (uint64_t i = 0; i < 10; i++)
    gate_evidence_answer (evidence, &key, i % 3 + 1, i == 4);
  gate_evidence_error (evidence, &key, 77);
  gate_evidence_rated (evidence, &key, 0.5);
  gate_evidence_rated (evidence, &key, 0.1);
  gate_evidence_error (evidence, &other, 1);
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

/** A steward that is away for a moment: nothing is lost, and nothing sent twice. */
static void
test_put_back (void)
{
  GateEvidence *evidence = gate_evidence_new ();
  rpc_evidence out[4];
  size_t n;

  gate_evidence_answer (evidence, &key, 5, false);
  gate_evidence_answer (evidence, &other, 5, false);
  n = gate_evidence_take (evidence, out, 1);
  CU_ASSERT_EQUAL (n, 1);
  gate_evidence_answer (evidence, &key, 6, false);
  gate_evidence_put_back (evidence, out, n);
  CU_ASSERT_EQUAL (gate_evidence_take (evidence, out, 4), 2);
  CU_ASSERT_EQUAL (out[0].answers, 2);
  CU_ASSERT_EQUAL (out[0].callers, 2);
  CU_ASSERT_EQUAL (out[1].answers, 1);
  gate_evidence_free (evidence);
}

/** More callers than are notified apart: the count stays at its bound. */
static void
test_many_callers (void)
{
  GateEvidence *evidence = gate_evidence_new ();
  rpc_evidence out[1];

  for (uint64_t i = 0; i < 100000; i++)
    gate_evidence_answer (evidence, &key, i * 1024, false);
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
 * An engine's process has died; each request that is sent there loses time until its breaker opens.
 * A refused connection stops new work at once, and the first report after it is back lets it in.
 */
static void
test_refused_connection (void)
{
  GateServers servers;
  Config config;
  ConfigServer entry;
  GateServer *server = one_server (&servers, &config, &entry);
  ServerView view;

  gate_server_begin (server, 1000);
  gate_server_end (server, SERVER_UNREACHABLE, 0, 1000);
  gate_server_view (server, &view);
  CU_ASSERT (view.open_until_ms > 1000);
  CU_ASSERT_EQUAL (view.in_flight, 0);
  gate_server_report_missed (server, true, 1500);
  gate_server_report (server, 0, false, 1600, 1600);
  gate_server_view (server, &view);
  CU_ASSERT_EQUAL (view.open_until_ms, 0);
  CU_ASSERT_EQUAL (view.failures, 0);
  gate_server_put (server);
}

/** An engine that reports well but cuts its answers stays closed until the breaker's time is over.
 */
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
      gate_server_begin (server, 1000 + i);
      gate_server_end (server, SERVER_FAILED, 0, 1000 + i);
      gate_server_report (server, 0, false, 1000 + i, 1000 + i);
    }
  gate_server_view (server, &view);
  CU_ASSERT (view.open_until_ms > 1005);
  gate_server_report (server, 0, true, 1010, 1010);
  gate_server_view (server, &view);
  CU_ASSERT (view.draining);
  gate_server_put (server);
}

/** A new configuration keeps what is known of a server of the same name. */
static void
test_kept_by_name (void)
{
  GateServers servers;
  Config config;
  ConfigServer entry;
  GateServer *server = one_server (&servers, &config, &entry);
  GateServer **again;

  gate_server_begin (server, 1000);
  again = gate_servers_resolve (&servers, &config);
  CU_ASSERT_PTR_EQUAL (again[0], server);
  gate_server_put (again[0]);
  free (again);
  gate_server_end (server, SERVER_NEUTRAL, 0, 1001);
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

/** One attempt under this fingerprint that the server broke off. */
static void
abort_answer (GateServer *server, uint64_t fingerprint, int64_t now_ms)
{
  gate_server_begin (server, now_ms);
  gate_server_end (server, SERVER_FAILED, fingerprint, now_ms);
}

/*
 * One prompt crashes the engine that runs it, its caller sends it again, and the next engine dies.
 * After the second it is refused. An engine that broke an answer off but still takes connections
 * has not died, and neither has one that was stopped without an answer in progress.
 */
static void
test_deaths (void)
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
  gate_server_report (a, 0, false, 1200, 1200);
  abort_answer (b, 77, 2000);
  gate_server_report_missed (b, false, 2500);
  gate_server_report_missed (c, true, 2500);
  CU_ASSERT (!quarantine_holds (quarantine, 77, 3000));
  gate_server_report_missed (b, true, 3000);
  CU_ASSERT (!quarantine_holds (quarantine, 77, 3000));
  abort_answer (a, 77, 4000);
  gate_server_begin (a, 4100);
  gate_server_end (a, SERVER_UNREACHABLE, 88, 4100);
  CU_ASSERT (quarantine_holds (quarantine, 77, 4200));
  CU_ASSERT (!quarantine_holds (quarantine, 88, 4200));
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
 * A crash prompt and a bystander run at two engines that die one after the other. The bystander's
 * thread is the first to notice each time; taken alone it would look like the cause. All that ran
 * there is in the sighting, so neither is held, and the bystander's own end adds nothing. A request
 * that was answered before the death, or never sent, is not in it. Each sighting is notified at
 * once.
 */
static void
test_death_takes_what_runs (void)
{
  Quarantine *quarantine = quarantine_new (&quarantine_settings_default);
  Quarantine *sightings = quarantine_new (&quarantine_settings_default);
  QuarantineDeath news[QUARANTINE_DEATHS_MAX];
  GateServers servers;
  int notified = 0;

  gate_servers_init (&servers, "vm-1", "oita");
  servers.quarantine = quarantine;
  servers.observed_deaths = sightings;
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
          gate_server_begin (server, now_ms);
          gate_server_running (server, fingerprint);
        }
      gate_server_begin (server, now_ms);
      gate_server_end (server, SERVER_SUCCEEDED, 3, now_ms);
      gate_server_end (server, SERVER_FAILED, 1, now_ms);
      gate_server_report_missed (server, true, now_ms);
      CU_ASSERT_EQUAL (notified, i + 1);
      gate_server_end (server, SERVER_FAILED, 2, now_ms + 5);
      gate_server_report_missed (server, true, now_ms + 5);
      CU_ASSERT_EQUAL (notified, i + 1);
      gate_server_end (server, SERVER_UNREACHABLE, 4, now_ms + 6);
      gate_server_put (server);
    }
  CU_ASSERT_EQUAL (quarantine_news (sightings, news, QUARANTINE_DEATHS_MAX, 2500), 2);
  CU_ASSERT_EQUAL (news[0].count, 2);
  CU_ASSERT_EQUAL (news[1].count, 2);
  CU_ASSERT (!quarantine_holds (quarantine, 1, 2500));
  CU_ASSERT (!quarantine_holds (quarantine, 2, 2500));
  quarantine_free (quarantine);
  quarantine_free (sightings);
}

/*
 * A crash prompt is sent to one VM, then to another; each sees one engine die. Only together do
 * they know that one prompt did it, and both refuse it. News that comes back to its VM changes
 * nothing.
 */
static void
test_deaths_of_two_vms (void)
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
      gate_server_report_missed (server, true, clock_boot_ms ());
      gate_server_put (server);
      gate_deaths_collect (&vms[i], &news[i]);
      CU_ASSERT_EQUAL (news[i].count, 1);
      CU_ASSERT (!quarantine_holds (vms[i].servers.quarantine, 77, clock_boot_ms ()));
    }
  for (int i = 0; i < 2; i++)
    {
      DeathReports again;
      gate_deaths_merge (&vms[i], news[i].list, news[i].count);
      CU_ASSERT (!quarantine_holds (vms[i].servers.quarantine, 77, clock_boot_ms ()));
      gate_deaths_merge (&vms[i], news[1 - i].list, news[1 - i].count);
      CU_ASSERT (quarantine_holds (vms[i].servers.quarantine, 77, clock_boot_ms ()));
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
    { "reports", test_reports },
    { "put-back", test_put_back },
    { "many-callers", test_many_callers },
    { "refused-connection", test_refused_connection },
    { "reports-do-not-close-the-breaker", test_reports_do_not_close_the_breaker },
    { "kept-by-name", test_kept_by_name },
    { "deaths", test_deaths },
    { "death-takes-what-runs", test_death_takes_what_runs },
    { "deaths-of-two-vms", test_deaths_of_two_vms },
  };

  return suite_main (argc, argv, "gate_evidence", suite, SUITE_COUNT (suite));
}
