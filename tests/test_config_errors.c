/**
 * Errors in a configuration document are reported all in one pass, each with its path and what was
 * expected.
 */
#include "config.h"
#include "suite.h"
#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define HASH_A "b3a1c1f0000000000000000000000000000000000000000000000000000000aa"

typedef struct
{
  const char *text;
  const char *error; /**< the whole list of errors */
} ErrorCase;

#define MODELS "\"models\":{\"m\":{\"versions\":{\"v1\":{\"state\":\"active\",\"cost_per_1k\":1}}}}"
#define ENGINE(port, more)                                                                         \
  "{\"kind\":\"engine\",\"address\":\"10.0.0.1\",\"port\":" port ",\"failure_domain\":\"d\""       \
  ",\"serves\":[\"m@v1\"]" more "}"

static const ErrorCase error_cases[] = {
  { "[]", "expected an object\n" },
  { "{\"teams\":[]}", "teams: expected an object, found array\n" },
  { "{\"team\":{}}", "team: unknown name, expected one of: models, backend_servers, services, "
                     "classes, teams, rollouts\n" },
  { "{\"models\":{\"M\":{\"versions\":{}}}}",
    "models.M: expected a name of 1 to 31 of a-z 0-9 . _ -\n" },
  { "{\"models\":{\"\":{\"versions\":{}}}}",
    "models.: expected a name of 1 to 31 of a-z 0-9 . _ -\n" },
  { "{\"models\":{\"a\\nb\":{\"versions\":{}}}}",
    "models.a?b: expected a name of 1 to 31 of a-z 0-9 . _ -\n" },
  { "{\"models\":{\"m\":3}}", "models.m: expected an object, found int\n"
                              "models.m.versions: expected an object, found nothing\n" },
  { "{\"models\":{\"m\":{\"versions\":{\"v\":{\"state\":\"live\",\"cost_per_1k\":-1}}}}}",
    "models.m.versions.v.cost_per_1k: expected a number from 0 to 1e+06, found -1\n"
    "models.m.versions.v.state: expected one of \"candidate\", \"active\", \"withdrawn\"\n" },
  { "{" MODELS ",\"classes\":{\"m\":{\"stages\":[\"x\"],\"quality_target\":2,\"idempotent\":1}}}",
    "classes.m.quality_target: expected a number from 0 to 1, found 2\n"
    "classes.m.idempotent: expected true or false, found int\n"
    "classes.m: expected a name of its own; models.m has it too\n"
    "classes.m.stages: expected the name of an entry in models, found \"x\"\n" },
  { "{" MODELS ",\"classes\":{\"c\":{\"stages\":[],\"quality_target\":0,\"idempotent\":true}}}",
    "classes.c.stages: expected 1 to 8 models, found 0\n" },
  { "{" MODELS ",\"backend_servers\":{\"a\":" ENGINE ("1", "") ",\"b\":" ENGINE ("1", "") "}}",
    "backend_servers.b: expected an address and port of its own; backend_servers.a has 10.0.0.1 "
    "port 1 too\n" },
  { "{" MODELS ",\"backend_servers\":{\"a\":" ENGINE ("0", ",\"service\":\"s\"") "}}",
    "backend_servers.a.port: expected a whole number from 1 to 65535, found 0\n"
    "backend_servers.a.service: expected only on a server of kind \"service\"\n" },
  { "{\"backend_servers\":{\"a\":{\"kind\":\"engine\",\"address\":\"host.example\",\"port\":1,"
    "\"failure_domain\":\"D\",\"serves\":[\"m@v1\",7,\"m@v1\"]}}}",
    "backend_servers.a.address: expected an IP number\n"
    "backend_servers.a.failure_domain: expected a name of 1 to 31 of a-z 0-9 . _ -\n"
    "backend_servers.a.serves[1]: expected a string, found int\n"
    "backend_servers.a.serves[2]: expected each entry once\n"
    "backend_servers.a.serves: expected MODEL@VERSION of a version in models, found \"m@v1\"\n" },
  { "{\"backend_servers\":{\"a\":{\"kind\":\"service\",\"address\":\"::1\",\"port\":1,"
    "\"failure_domain\":\"d\",\"service\":\"s\"},\"b\":{\"kind\":\"service\",\"address\":\"0:0::"
    "1\","
    "\"port\":1,\"failure_domain\":\"d\"}}}",
    "backend_servers.a.service: expected the name of an entry in services, found \"s\"\n"
    "backend_servers.b: expected an address and port of its own; backend_servers.a has ::1 port 1 "
    "too\n"
    "backend_servers.b.service: expected the name of an entry in services\n" },
  { "{\"teams\":{\"a\":{\"key_hash\":\"" HASH_A "\",\"allow\":[]},\"b\":{\"key_hash\":\"" HASH_A
    "\",\"allow\":[\"m\",\"m@v1\"],\"services\":[\"s\"],\"weight\":0}}}",
    "teams.b.weight: expected a number from 0.001 to 1000, found 0\n"
    "teams.b.key_hash: expected a key of its own; teams.a has the same\n"
    "teams.b.allow: expected a MODEL or MODEL@VERSION of models, found \"m\"\n"
    "teams.b.allow: expected MODEL@VERSION of a version in models, found \"m@v1\"\n"
    "teams.b.services: expected the name of an entry in services, found \"s\"\n" },
  { "{\"teams\":{\"a\":{\"key_hash\":"
    "\"B3A1C1F0000000000000000000000000000000000000000000000000000000"
    "AA\",\"allow\":[]}}}",
    "teams.a.key_hash: expected 64 hexadecimal digits in lower case\n" },
  { "{" MODELS ",\"rollouts\":{\"m\":{\"from\":\"v1\",\"to\":\"v1\",\"stages\":[0.1,0.1,\"x\",2],"
    "\"stage\":4,\"state\":\"going\"}}}",
    "rollouts.m: expected from and to to be two versions\n"
    "rollouts.m.state: expected one of \"running\", \"paused\", \"done\", \"backed_out\"\n"
    "rollouts.m.stages[1]: expected a number above 0.1 and up to 1\n"
    "rollouts.m.stages[2]: expected a number above 0.1 and up to 1\n"
    "rollouts.m.stages[3]: expected a number above 0.1 and up to 1\n"
    "rollouts.m.stage: expected an index into stages, 0 to 3\n" },
  { "{" MODELS ",\"rollouts\":{\"x\":{\"from\":\"v1\",\"to\":\"v2\",\"stages\":[1]},"
    "\"m\":{\"from\":\"v1\",\"to\":\"v2\",\"stages\":[1]}}}",
    "rollouts.m.to: expected a version of the model, found \"v2\"\n"
    "rollouts.x: expected the name of an entry in models\n" },
  { "{\"models\":{\"m\\u0000x\":{\"versions\":{}}}}", "expected text without NUL characters\n" },
  { "{\"models\":{\"m\":{\"versions\":{\"v\":{\"state\":\"active\",\"cost_per_1k\":1e999}}}}}",
    "expected finite numbers\n" },
};

static void
test_every_error_has_path_and_expectation (void)
{
  for (size_t i = 0; i < sizeof error_cases / sizeof error_cases[0]; i++)
    {
      CheckList list = { 0 };
      Config *config = config_parse (error_cases[i].text, strlen (error_cases[i].text), 1, &list);

      CU_ASSERT_PTR_NULL (config);
      CU_ASSERT_STRING_EQUAL (list.text.data == NULL ? "" : list.text.data, error_cases[i].error);
      if (strcmp (list.text.data == NULL ? "" : list.text.data, error_cases[i].error) != 0)
        printf ("\ncase %zu:\n%s", i, list.text.data == NULL ? "" : list.text.data);
      check_free (&list);
    }
}

static const SuiteCase cases[] = {
  { "every_error_has_path_and_expectation", test_every_error_has_path_and_expectation },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "config_errors", cases, SUITE_COUNT (cases));
}
