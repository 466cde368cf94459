#include "model_config.h"

#include "util_assert.h"
#include "util_buffer.h"
#include <stdio.h>

#define FIRST_PORT 10000

static const char *const draft_models[] = { "draft-s", "draft-m", "draft-l" };
static const double draft_costs[] = { 1, 4, 12 };
static const double draft_priors[] = { 0.6, 0.8, 0.95 };
#define DRAFT_MODELS 3

static const char *const class_names[] = { "query", "report", "wording" };
static const double class_targets[] = { 0.9, 0.8, 0.85 };
#define CLASSES 3

static void
add_model (Buffer *out, const char *name, double cost, double prior, unsigned versions)
{
  unsigned i;

  buffer_printf (out, "\"%s\":{\"versions\":{", name);
  for (i = 1; i <= versions; i++)
    buffer_printf (out, "%s\"v%u\":{\"state\":\"%s\",\"cost_per_1k\":%g,\"prior_quality\":%g}",
                   i > 1 ? "," : "", i, i > 1 ? "candidate" : "active", cost, prior);
  buffer_add_string (out, "}}");
}

static void
add_models (Buffer *out, const ModelConfigOptions *options)
{
  unsigned i;

  buffer_add_string (out, "\"models\":{");
  for (i = 0; i < DRAFT_MODELS; i++)
    {
      add_model (out, draft_models[i], draft_costs[i], draft_priors[i],
                 i == 0 ? options->versions_per_model : 1);
      buffer_add_string (out, ",");
    }
  for (i = 0; i < options->extra_models; i++)
    {
      char name[CONFIG_NAME_MAX + 1];

      snprintf (name, sizeof name, "extra-%02u", i);
      add_model (out, name, 2 + i % 4, 0.7, 1);
      buffer_add_string (out, ",");
    }
  add_model (out, "ledger", 6, 0.95, 1);
  buffer_add_string (out, "}");
}

static void
add_draft_labels (Buffer *out, const ModelConfigOptions *options)
{
  unsigned i, v;

  for (i = 0; i < DRAFT_MODELS; i++)
    {
      unsigned versions = i == 0 ? options->versions_per_model : 1;

      for (v = 1; v <= versions; v++)
        buffer_printf (out, "%s\"%s@v%u\"", i + v > 1 ? "," : "", draft_models[i], v);
    }
  for (i = 0; i < options->extra_models; i++)
    buffer_printf (out, ",\"extra-%02u@v1\"", i);
}

static void
add_servers (Buffer *out, const ModelConfigOptions *options)
{
  unsigned i, count = options->draft_engines + options->ledger_engines;

  buffer_add_string (out, ",\"backend_servers\":{");
  for (i = 0; i < count; i++)
    {
      buffer_printf (out,
                     "%s\"engine-%04u\":{\"kind\":\"engine\",\"address\":\"127.0.0.1\",\"port\":%u,"
                     "\"failure_domain\":\"d%u\",\"slots\":%u,\"serves\":[",
                     i > 0 ? "," : "", i, FIRST_PORT + i, i % options->domains, options->slots);
      if (i < options->draft_engines)
        add_draft_labels (out, options);
      else
        buffer_add_string (out, "\"ledger@v1\"");
      buffer_add_string (out, "]}");
    }
  buffer_add_string (out, "}");
}

static void
add_classes (Buffer *out, const ModelConfigOptions *options)
{
  unsigned i, m;

  buffer_add_string (out, ",\"classes\":{");
  for (i = 0; i < CLASSES; i++)
    {
      double target = options->quality_targets[i];

      buffer_printf (out, "\"%s\":{\"stages\":[", class_names[i]);
      for (m = 0; m < DRAFT_MODELS; m++)
        buffer_printf (out, "%s\"%s\"", m > 0 ? "," : "", draft_models[m]);
      for (m = 0; m < options->extra_models && m < CONFIG_STAGES_MAX - DRAFT_MODELS; m++)
        buffer_printf (out, ",\"extra-%02u\"", m);
      buffer_printf (out, "],\"quality_target\":%g,\"deadline_ms\":30000,\"idempotent\":true},",
                     target > 0 ? target : class_targets[i]);
    }
  buffer_add_string (out, "\"issue\":{\"stages\":[\"ledger\"],\"quality_target\":0.8,"
                          "\"deadline_ms\":30000,\"idempotent\":false}}");
}

static void
add_teams (Buffer *out, const ModelConfigOptions *options)
{
  unsigned i;

  buffer_add_string (out, ",\"teams\":{");
  for (i = 0; i < options->teams; i++)
    {
      buffer_printf (out, "%s\"team-%03u\":{\"key_hash\":\"%064x\",\"allow\":[", i > 0 ? "," : "",
                     i, i + 1);
      add_draft_labels (out, options);
      buffer_printf (out,
                     ",\"ledger@v1\"],\"concurrent\":%lld,\"tokens_per_s\":%lld,\"weight\":%g}",
                     (long long)options->concurrent, (long long)options->tokens_per_s,
                     options->big_weight > 0 && (i == 1 || i == 2) ? options->big_weight : 1);
    }
  buffer_add_string (out, "}");
}

Config *
model_config (const ModelConfigOptions *options)
{
  Buffer text = { 0 };
  CheckList list = { .file = "model" };
  Config *config;

  buffer_add_string (&text, "{");
  add_models (&text, options);
  add_servers (&text, options);
  add_classes (&text, options);
  add_teams (&text, options);
  if (options->versions_per_model > 1 && !options->candidate_only)
    buffer_add_string (&text, ",\"rollouts\":{\"draft-s\":{\"from\":\"v1\",\"to\":\"v2\",\"state\":"
                              "\"running\",\"stages\":[0.01,0.1,0.5,1],\"stage\":0}}");
  buffer_add_string (&text, "}");
  config = config_parse (text.data, text.len, 1, &list);
  INVARIANT (config != NULL, "%s", list.text.data);
  buffer_free (&text);
  check_free (&list);
  return config;
}
