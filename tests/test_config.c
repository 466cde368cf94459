/**
 * Parsing and checking of a configuration document, look-ups, keys and reference counts.
 */
#include "config.h"
#include "lovage.h"
#include "suite.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

_Static_assert(CONFIG_TEXT_MAX == LOVAGE_DOCUMENT_MAX, "a document fits an RPC");
_Static_assert(CONFIG_VERSIONS_MAX == LOVAGE_BRAKES_MAX, "a brake on each version fits an RPC");
_Static_assert(CONFIG_NAME_MAX + 1 <= LOVAGE_NAME_MAX, "a name fits an RPC");

#define THREADS 8
#define ROUNDS  20000
#define HASH_A  "b3a1c1f0000000000000000000000000000000000000000000000000000000aa"
#define HASH_B  "b3a1c1f0000000000000000000000000000000000000000000000000000000ab"

static const char document[]
    = "{ // two models, one of them in a roll-out\n"
      "\"models\":{\"large\":{\"versions\":{\"v1\":{\"state\":\"active\",\"cost_per_1k\":8,"
      "\"prior_quality\":0.9}}},"
      "\"draft\":{\"versions\":{\"v7\":{\"state\":\"active\",\"cost_per_1k\":1.5},"
      "\"v6\":{\"state\":\"withdrawn\",\"cost_per_1k\":1},"
      "\"v8\":{\"state\":\"candidate\",\"cost_per_1k\":1,\"released\":4,\"prior_quality\":0.7}}}},"
      "\"services\":{\"ledger\":{\"idempotent\":false},\"clock\":{\"idempotent\":true}},"
      "\"backend_servers\":{"
      "\"oita-1\":{\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":9001,"
      "\"failure_domain\":\"oita\",\"serves\":[\"large@v1\",\"draft@v7\"],"
      "\"checks_fencing\":true,\"slots\":4},"
      "\"fukuoka-1\":{\"kind\":\"service\",\"address\":\"127.0.0.1\",\"port\":9002,"
      "\"failure_domain\":\"fukuoka\",\"service\":\"ledger\",\"leaving\":true}},"
      "\"classes\":{\"wording\":{\"stages\":[\"draft\",\"large\"],\"quality_target\":0.8,"
      "\"deadline_ms\":30000,\"idempotent\":true}},"
      "\"teams\":{\"tender\":{\"key_hash\":\"" HASH_A "\",\"allow\":[\"draft\",\"large@v1\"],"
      "\"services\":[\"ledger\"],\"concurrent\":40,\"tokens_per_s\":9000,\"weight\":2},"
      "\"branch\":{\"key_hash\":\"" HASH_B "\",\"allow\":[\"draft@v7\"]}},"
      "\"rollouts\":{\"draft\":{\"from\":\"v7\",\"to\":\"v8\",\"stages\":[0.01,0.1,1],"
      "\"stage\":1,\"state\":\"paused\"}}}";

static Config *
parse (const char *text, CheckList *list)
{
  return config_parse (text, strlen (text), 5, list);
}

/** Parses a valid text; exits the test program if that fails. */
static Config *
parse_good (const char *text)
{
  CheckList list = { 0 };
  Config *config = parse (text, &list);

  CU_ASSERT_PTR_NOT_NULL (config);
  CU_ASSERT_EQUAL (list.count, 0);
  if (config == NULL)
    {
      printf ("%s", list.text.data);
      exit (EXIT_FAILURE);
    }
  return config;
}

static Config *
parse_document (void)
{
  return parse_good (document);
}

static const char *
errors (const CheckList *list)
{
  return list->text.data == NULL ? "" : list->text.data;
}

/** Versions must be numbered model by model in name order, whatever their order in the text. */
static void
test_indices_in_name_order (void)
{
  Config *config = parse_document ();
  char label[CONFIG_LABEL_SIZE];
  const char *labels[] = { "draft@v6", "draft@v7", "draft@v8", "large@v1" };

  CU_ASSERT_EQUAL (config->number, 5);
  CU_ASSERT_EQUAL_FATAL (config->version_count, 4);
  for (unsigned i = 0; i < 4; i++)
    {
      config_label (config, i, label);
      CU_ASSERT_STRING_EQUAL (label, labels[i]);
      CU_ASSERT_EQUAL (config_find_label (config, labels[i]), (int)i);
      CU_ASSERT_EQUAL (config->versions[i].index, i);
    }
  CU_ASSERT_EQUAL (config->versions[0].state, VERSION_WITHDRAWN);
  CU_ASSERT_EQUAL (config->versions[2].state, VERSION_CANDIDATE);
  CU_ASSERT_DOUBLE_EQUAL (config->versions[1].cost_per_1k, 1.5, 0);
  CU_ASSERT_DOUBLE_EQUAL (config->versions[2].prior_quality, 0.7, 0);
  CU_ASSERT (config->versions[2].released == 4 && config->versions[1].released == 0);
  CU_ASSERT_EQUAL (config_find_model (config, "large"), 1);
  CU_ASSERT_EQUAL (config_find_model (config, "larg"), -1);
  CU_ASSERT_EQUAL (config_find_version (config, 1, "v7"), -1);
  CU_ASSERT_EQUAL (config_find_label (config, "draft"), -1);
  CU_ASSERT_EQUAL (config_find_label (config, "draft@"), -1);
  CU_ASSERT_EQUAL (config_find_label (config, "@v7"), -1);
  config_unref (config);
}

static void
test_entries_have_their_values (void)
{
  Config *config = parse_document ();
  const ConfigServer *engine = &config->servers[1];
  const ConfigServer *plain = &config->servers[0];
  const ConfigTeam *tender = &config->teams[1];
  const ConfigRollout *rollout = &config->rollouts[0];

  CU_ASSERT_STRING_EQUAL (engine->name, "oita-1");
  CU_ASSERT_EQUAL (engine->version_count, 2);
  CU_ASSERT_EQUAL (engine->versions[0], 3);
  CU_ASSERT (engine->checks_fencing && !engine->leaving && engine->service == NULL);
  CU_ASSERT_EQUAL (engine->slots, 4);
  CU_ASSERT (plain->kind == SERVER_SERVICE && plain->leaving);
  CU_ASSERT_STRING_EQUAL (plain->service, "ledger");
  CU_ASSERT_EQUAL (config_find_server (config, "oita-1"), 1);
  CU_ASSERT (config->services[0].idempotent && !config->services[1].idempotent);
  CU_ASSERT_EQUAL (config_find_team (config, "tender"), 1);
  CU_ASSERT (tender->allowed[0] && tender->allowed[1] && tender->allowed[2] && tender->allowed[3]);
  CU_ASSERT (!tender->services[0] && tender->services[1]);
  CU_ASSERT (!config->teams[0].allowed[0] && config->teams[0].allowed[1]);
  CU_ASSERT_EQUAL (config->classes[0].stages[0], 0);
  CU_ASSERT_EQUAL (config->classes[0].stages[1], 1);
  CU_ASSERT_EQUAL (config_find_class (config, "wording"), 0);
  CU_ASSERT_EQUAL (config_find_service (config, "ledger"), 1);
  CU_ASSERT (rollout->from == 1 && rollout->to == 2 && rollout->state == ROLLOUT_PAUSED);
  CU_ASSERT (rollout->stage == 1 && rollout->stage_count == 3 && rollout->stages[2] == 1.0);
  config_unref (config);
}

/** Canonical text must parse to the same document, so that the indices are the same on every VM. */
static void
test_text_parses_to_itself (void)
{
  Config *config = parse_document ();
  Config *again = parse_good (config->text);

  CU_ASSERT_STRING_EQUAL (config->text, again->text);
  CU_ASSERT_EQUAL (config->version_count, again->version_count);
  config_unref (again);
  config_unref (config);
}

static void
test_invalid_json_is_refused (void)
{
  const char *texts[] = { "", "{", "null", "{} x", "{\"models\":{},\"models\":{}}", "{\"a\":NaN}" };
  const char with_nul[] = "{}\0";

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      CheckList list = { 0 };

      CU_ASSERT_PTR_NULL (parse (texts[i], &list));
      CU_ASSERT (list.count > 0);
      check_free (&list);
    }
  CheckList list = { 0 };
  CU_ASSERT_PTR_NULL (config_parse (with_nul, sizeof with_nul, 1, &list));
  CU_ASSERT_EQUAL (list.count, 1);
  check_free (&list);
}

/** A longer document, or brakes on more versions, would not fit an RPC. */
static void
test_too_long_or_too_many_versions_are_refused (void)
{
  CheckList list = { 0 };
  Buffer text = { 0 };
  char *spaces = malloc (CONFIG_TEXT_MAX + 1);

  memset (spaces, ' ', CONFIG_TEXT_MAX + 1);
  CU_ASSERT_PTR_NULL (config_parse (spaces, CONFIG_TEXT_MAX + 1, 1, &list));
  CU_ASSERT_STRING_EQUAL (errors (&list), "expected at most 1048576 bytes, found 1048577\n");
  check_free (&list);
  free (spaces);
  buffer_add_string (&text, "{\"models\":{\"m\":{\"versions\":{");
  for (int i = 0; i <= CONFIG_VERSIONS_MAX; i++)
    buffer_printf (&text, "%s\"v%d\":{\"state\":\"active\",\"cost_per_1k\":1}", i ? "," : "", i);
  buffer_add_string (&text, "}}}}");
  CU_ASSERT_PTR_NULL (parse (text.data, &list));
  CU_ASSERT_STRING_EQUAL (errors (&list),
                          "models: expected at most 256 versions over all models, found 257\n");
  check_free (&list);
  buffer_free (&text);
}

static void
test_valid_and_invalid_names (void)
{
  CU_ASSERT (config_name_valid ("a"));
  CU_ASSERT (config_name_valid ("v7.1_b-2"));
  CU_ASSERT (config_name_valid ("0123456789012345678901234567890"));
  CU_ASSERT (!config_name_valid ("01234567890123456789012345678901"));
  CU_ASSERT (!config_name_valid (""));
  CU_ASSERT (!config_name_valid ("a b"));
  CU_ASSERT (!config_name_valid ("a@b"));
  CU_ASSERT (!config_name_valid ("A"));
  CU_ASSERT (!config_name_valid ("\xc3\xa9"));
}

/** The hash of "abc" is the published test value of BLAKE2b-256. */
static void
test_team_is_found_by_key (void)
{
  char hash[CONFIG_KEY_HASH_LEN + 1];
  char key_hash[CONFIG_KEY_HASH_LEN + 1];
  Buffer text = { 0 };
  Config *config;

  config_key_hash ("abc", hash);
  CU_ASSERT_STRING_EQUAL (hash, "bddd813c634239723171ef3fee98579b94964e3bb1cb3e427262c8c068d52319");
  config_key_hash ("key of b", key_hash);
  buffer_printf (&text,
                 "{\"teams\":{\"a\":{\"key_hash\":\"%s\",\"allow\":[]},"
                 "\"b\":{\"key_hash\":\"%s\",\"allow\":[]},"
                 "\"c\":{\"key_hash\":\"" HASH_A "\",\"allow\":[]}}}",
                 hash, key_hash);
  config = parse_good (text.data);
  CU_ASSERT_EQUAL (config_find_team_by_key (config, "abc"), 0);
  CU_ASSERT_EQUAL (config_find_team_by_key (config, "key of b"), 1);
  CU_ASSERT_EQUAL (config_find_team_by_key (config, "key of c"), -1);
  CU_ASSERT_EQUAL (config_find_team_by_key (config, ""), -1);
  CU_ASSERT_EQUAL (config_find_team_by_key (config, HASH_A), -1);
  config_unref (config);
  buffer_free (&text);
}

typedef struct
{
  const char *path;
  size_t domains; /**< failure domains with backend servers */
  size_t servers;
  size_t teams;
} Example;

static size_t
count_domains (const Config *config)
{
  size_t count = 0;

  for (size_t i = 0; i < config->server_count; i++)
    {
      bool seen = false;

      for (size_t k = 0; k < i; k++)
        seen |= strcmp (config->servers[k].failure_domain, config->servers[i].failure_domain) == 0;
      count += !seen;
    }
  return count;
}

static bool
a_team_is_allowed_all_stages (const Config *config, const ConfigClass *class)
{
  for (size_t t = 0; t < config->team_count; t++)
    {
      size_t reached = 0;

      for (size_t s = 0; s < class->stage_count; s++)
        {
          const ConfigModel *model = &config->models[class->stages[s]];
          bool allowed = false;

          for (size_t v = 0; v < model->version_count; v++)
            allowed |= config->teams[t].allowed[model->versions[v]];
          reached += allowed;
        }
      if (reached == class->stage_count)
        return true;
    }
  return false;
}

/** The example documents of the manual must be valid, have the sizes expected by their users, and
 *  allow each class to some team. */
static void
test_example_documents_are_valid (void)
{
  static const Example examples[] = { { "examples/site/routing.json", 3, 5, 2 },
                                      { "examples/kyushu.json", 4, 30, 10 },
                                      { "examples/bajio.json", 4, 32, 10 } };

  for (size_t i = 0; i < sizeof examples / sizeof examples[0]; i++)
    {
      CheckList list = { .file = examples[i].path };
      Config *config = config_parse_file (examples[i].path, 1, &list);

      CU_ASSERT_STRING_EQUAL (errors (&list), "");
      check_free (&list);
      if (config == NULL)
        continue;
      CU_ASSERT_EQUAL (count_domains (config), examples[i].domains);
      CU_ASSERT_EQUAL (config->server_count, examples[i].servers);
      CU_ASSERT_EQUAL (config->team_count, examples[i].teams);
      for (size_t c = 0; c < config->class_count; c++)
        CU_ASSERT (a_team_is_allowed_all_stages (config, &config->classes[c]));
      config_unref (config);
    }
}

static void
test_unreadable_file_is_reported (void)
{
  CheckList list = { .file = "examples/none.json" };

  CU_ASSERT_PTR_NULL (config_parse_file (list.file, 1, &list));
  CU_ASSERT_STRING_EQUAL (errors (&list),
                          "examples/none.json: can't be opened: No such file or directory\n");
  check_free (&list);
  CU_ASSERT_PTR_NULL (config_parse_file ("/dev/null", 1, &list));
  CU_ASSERT_EQUAL (list.count, 1);
  check_free (&list);
}

static void *
ref_and_unref (void *argument)
{
  for (int i = 0; i < ROUNDS; i++)
    config_unref (config_ref (argument));
  return NULL;
}

/**
 * Every request holds a reference to the configuration that it was planned with. If a reference
 * were lost by a race of threads, the configuration would be freed while in use, or never.
 */
static void
test_references_from_threads_are_counted (void)
{
  Config *config = parse_document ();
  pthread_t threads[THREADS];

  for (int i = 0; i < THREADS; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, ref_and_unref, config), 0);
  for (int i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  CU_ASSERT_EQUAL (config->refs, 1);
  config_unref (config);
  config_unref (NULL);
}

static const SuiteCase cases[] = {
  { "indices_in_name_order", test_indices_in_name_order },
  { "entries_have_their_values", test_entries_have_their_values },
  { "text_parses_to_itself", test_text_parses_to_itself },
  { "invalid_json_is_refused", test_invalid_json_is_refused },
  { "too_long_or_too_many_versions_are_refused", test_too_long_or_too_many_versions_are_refused },
  { "valid_and_invalid_names", test_valid_and_invalid_names },
  { "team_is_found_by_key", test_team_is_found_by_key },
  { "example_documents_are_valid", test_example_documents_are_valid },
  { "unreadable_file_is_reported", test_unreadable_file_is_reported },
  { "references_from_threads_are_counted", test_references_from_threads_are_counted },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "config", cases, SUITE_COUNT (cases));
}
