/**
 * Fuzz target for config_parse: any input either gives errors, or a document whose canonical text
 * parses to the same text and whose difference to itself is empty. Run by `make fuzz`.
 */
#include "config.h"
#include "util_assert.h"
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* The name is given by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_index_ranges (const Config *config)
{
  for (size_t i = 0; i < config->server_count; i++)
    for (size_t k = 0; k < config->servers[i].version_count; k++)
      INVARIANT (config->servers[i].versions[k] < config->version_count, "server=\"%zu\"", i);
  for (size_t i = 0; i < config->class_count; i++)
    for (size_t k = 0; k < config->classes[i].stage_count; k++)
      INVARIANT (config->classes[i].stages[k] < config->model_count, "class=\"%zu\"", i);
  for (size_t i = 0; i < config->rollout_count; i++)
    INVARIANT (config->rollouts[i].to < config->version_count
                   && config->rollouts[i].stage < config->rollouts[i].stage_count,
               "rollout=\"%zu\"", i);
}

static void
check_document (const Config *config)
{
  CheckList list = { 0 };
  Config *again = config_parse (config->text, strlen (config->text), 1, &list);
  char *diff = config_diff (config->text, config->text, &list);

  INVARIANT (again != NULL && strcmp (again->text, config->text) == 0, "errors=\"%s\"",
             list.text.data == NULL ? "" : list.text.data);
  INVARIANT (diff != NULL && strcmp (diff, "{}") == 0, "diff=\"%s\"", diff);
  check_index_ranges (config);
  free (diff);
  config_unref (again);
  check_free (&list);
}

/** The canonical form of any JSON text, also if it is no valid configuration, is its own canonical
 *  form. */
static void
check_canonical (const char *text, size_t len)
{
  CheckList list = { 0 };
  char *first = config_canonical (text, len, &list);
  char *second = first == NULL ? NULL : config_canonical (first, strlen (first), &list);

  INVARIANT (first == NULL || (second != NULL && strcmp (first, second) == 0),
             "first=\"%s\" errors=\"%s\"", first, list.text.data == NULL ? "" : list.text.data);
  free (first);
  free (second);
  check_free (&list);
}

int
// NOLINTNEXTLINE(readability-identifier-naming)
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  CheckList list = { 0 };
  Config *config = config_parse ((const char *)data, size, 1, &list);

  INVARIANT ((config == NULL) == (list.count > 0), "errors=\"%u\"", list.count);
  if (config != NULL)
    check_document (config);
  check_canonical ((const char *)data, size);
  config_unref (config);
  check_free (&list);
  return 0;
}
