#include "gate_config.h"
#include "cluster_brake.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT_MS 2000
#define QUOTED_MAX       400 /* bytes of the quoted errors in a log line */

static bool *update_brakes (Gate *gate, const Config *config);
static void put_in_force (Gate *gate, Config *config);

int64_t
gate_config_number (Gate *gate)
{
  GateSnapshot *snapshot = gate_snapshot_get (&gate->snapshots);
  int64_t number = snapshot != NULL ? snapshot->config->number : 0;

  gate_snapshot_put (snapshot);
  return number;
}

/* Drops the brakes that the configuration releases. Returns, by version index, whether a brake
   still stops each version; the caller frees the array. */
static bool *
update_brakes (Gate *gate, const Config *config)
{
  bool *braked = memory_array (config->version_count + 1, sizeof (bool));

  for (size_t i = 0; i < config->version_count; i++)
    {
      const ConfigVersion *version = &config->versions[i];
      const char *model = config->models[version->model].name;
      cluster_brakes_release (gate->grant.brakes, model, version->name, version->released);
      braked[i] = cluster_brakes_find (gate->grant.brakes, model, version->name) != NULL;
    }
  return braked;
}

static void
put_in_force (Gate *gate, Config *config)
{
  bool *braked = update_brakes (gate, config);

  gate_snapshot_publish (&gate->snapshots, gate_snapshot_new (config, braked, &gate->servers));
  free (braked);
  counter_add (COUNTER_GATE_CONFIGS, 1);
  log_msg (MSG_GATE_CONFIG, "config=\"%lld\"", (long long)config->number);
}

static void
apply_config_document (Gate *gate, const rpc_document *document)
{
  CheckList list = { .file = "configuration" };
  Config *config;
  char quoted[QUOTED_MAX];

  if (document->number <= gate_config_number (gate) || document->text == NULL)
    return;
  config = config_parse (document->text, strlen (document->text), document->number, &list);
  if (config != NULL)
    put_in_force (gate, config);
  else
    {
      counter_add (COUNTER_GATE_CONFIGS_REFUSED, 1);
      log_msg (MSG_GATE_CONFIG_REFUSED, "config=\"%lld\" errors=\"%s\"",
               (long long)document->number,
               log_quote (list.text.data != NULL ? list.text.data : "", quoted, sizeof (quoted)));
    }
  check_free (&list);
}

void
gate_config_fetch (Gate *gate, int64_t number)
{
  rpc_number ask = { .number = number };
  rpc_document document = { 0 };
  Status st = { 0 };

  if (rpc_client_call (gate->grant.steward, LOVAGE_CONFIG_GET, (xdrproc_t)xdr_rpc_number, &ask,
                       (xdrproc_t)xdr_rpc_document, &document, FETCH_TIMEOUT_MS, &st)
      != STATUS_OK)
    return;
  apply_config_document (gate, &document);
  xdr_free ((xdrproc_t)xdr_rpc_document, (char *)&document);
}

void
gate_config_apply_brakes (Gate *gate)
{
  GateSnapshot *snapshot = gate_snapshot_get (&gate->snapshots);
  bool *braked;

  if (snapshot == NULL)
    return;
  braked = update_brakes (gate, snapshot->config);
  if (memcmp (braked, snapshot->braked, snapshot->config->version_count * sizeof (bool)) != 0)
    gate_snapshot_publish (&gate->snapshots, gate_snapshot_new (config_ref (snapshot->config),
                                                                braked, &gate->servers));
  free (braked);
  gate_snapshot_put (snapshot);
}
