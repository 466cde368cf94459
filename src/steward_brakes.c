#include "steward_brakes.h"
#include "util_clock.h"
#include "util_field.h"
#include "util_log.h"
#include "util_memory.h"
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE    (2 * ((size_t)CLUSTER_NAME_MAX + 1))
#define QUOTED_SIZE 512

void
steward_brakes_init (StewardBrakes *b)
{
  *b = (StewardBrakes){ .set = cluster_brakes_new () };
  pthread_mutex_init (&b->lock, NULL);
}

void
steward_brakes_clear (StewardBrakes *b)
{
  cluster_brakes_free (b->set);
  pthread_mutex_destroy (&b->lock);
}

static void
log_brake (const ClusterBrake *brake)
{
  char why[QUOTED_SIZE], by[QUOTED_SIZE];

  log_msg (MSG_STEWARD_BRAKE, "version=\"%s@%s\" since=\"%lld\" by=\"%s\" why=\"%s\"", brake->model,
           brake->version, (long long)brake->since, log_quote (brake->by, by, sizeof by),
           log_quote (brake->why, why, sizeof why));
}

ClusterBrakeResult
steward_brakes_add (StewardBrakes *b, const ClusterBrake *brake)
{
  ClusterBrakeResult result;

  pthread_mutex_lock (&b->lock);
  result = cluster_brakes_add (b->set, brake);
  if (result == CLUSTER_BRAKE_ADDED)
    b->digest = cluster_brakes_digest (b->set);
  pthread_mutex_unlock (&b->lock);
  if (result == CLUSTER_BRAKE_ADDED)
    log_brake (brake);
  return result;
}

static void
copy_text (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text == NULL ? "" : text);
}

/* Returns the previous value. */
static bool
set_unwritten (StewardBrakes *b, bool unwritten)
{
  bool before;

  pthread_mutex_lock (&b->lock);
  before = b->unwritten;
  b->unwritten = unwritten;
  pthread_mutex_unlock (&b->lock);
  return before;
}

ClusterBrakeResult
steward_brakes_raise (StewardBrakes *b, const ClusterBrake *brake)
{
  ClusterBrakeResult result = steward_brakes_add (b, brake);

  if (result != CLUSTER_BRAKE_ADDED)
    return result;
  (void)set_unwritten (b, true);
  return result;
}

bool
steward_brakes_unwritten (StewardBrakes *b)
{
  bool unwritten;

  pthread_mutex_lock (&b->lock);
  unwritten = b->unwritten;
  pthread_mutex_unlock (&b->lock);
  return unwritten;
}

void
steward_brakes_decode (const rpc_brake *from, ClusterBrake *out)
{
  *out = (ClusterBrake){ .since = from->since };
  copy_text (out->model, sizeof out->model, from->model_name);
  copy_text (out->version, sizeof out->version, from->version_name);
  copy_text (out->by, sizeof out->by, from->by);
  copy_text (out->why, sizeof out->why, from->why);
}

size_t
steward_brakes_merge (StewardBrakes *b, const rpc_brake *brakes, size_t count)
{
  size_t added = 0;

  for (size_t i = 0; i < count; i++)
    {
      ClusterBrake brake;
      steward_brakes_decode (&brakes[i], &brake);
      added += steward_brakes_add (b, &brake) == CLUSTER_BRAKE_ADDED;
    }
  return added;
}

uint64_t
steward_brakes_digest (StewardBrakes *b)
{
  uint64_t digest;

  pthread_mutex_lock (&b->lock);
  digest = b->digest;
  pthread_mutex_unlock (&b->lock);
  return digest;
}

static size_t
list_brakes (StewardBrakes *b, ClusterBrake **out)
{
  size_t count;

  *out = memory_array (CLUSTER_BRAKES_MAX, sizeof **out);
  pthread_mutex_lock (&b->lock);
  count = cluster_brakes_list (b->set, *out);
  pthread_mutex_unlock (&b->lock);
  return count;
}

/* If more brakes exist than fit into a datagram, successive messages carry successive parts of the
   set, so that a peer that keeps asking gets them all. */
void
steward_brakes_fill (StewardBrakes *b, size_t max, rpc_brake **out, u_int *count)
{
  ClusterBrake *brakes;
  size_t have = list_brakes (b, &brakes);
  size_t share = have < max ? have : max;
  size_t first;

  pthread_mutex_lock (&b->lock);
  first = b->next;
  b->next += share;
  pthread_mutex_unlock (&b->lock);
  *out = share == 0 ? NULL : memory_array (share, sizeof **out);
  *count = (u_int)share;
  for (size_t i = 0; i < share; i++)
    {
      const ClusterBrake *brake = &brakes[(first + i) % have];
      (*out)[i] = (rpc_brake){ .model_name = memory_strdup (brake->model),
                               .version_name = memory_strdup (brake->version),
                               .since = brake->since,
                               .by = memory_strdup (brake->by),
                               .why = memory_strdup (brake->why) };
    }
  free (brakes);
}

static bool
version_exists (void *context, const char *model, const char *version)
{
  const Config *config = context;
  int index = config_find_model (config, model);

  return index >= 0 && config_find_version (config, (unsigned)index, version) >= 0;
}

void
steward_brakes_apply_config (StewardBrakes *b, const Config *config)
{
  pthread_mutex_lock (&b->lock);
  for (size_t i = 0; i < config->version_count; i++)
    {
      const ConfigVersion *version = &config->versions[i];
      cluster_brakes_release (b->set, config->models[version->model].name, version->name,
                              version->released);
    }
  cluster_brakes_prune (b->set, version_exists, (void *)config);
  b->digest = cluster_brakes_digest (b->set);
  pthread_mutex_unlock (&b->lock);
}

static struct json_object *
brake_json (const ClusterBrake *brake)
{
  struct json_object *obj = json_object_new_object ();

  json_object_object_add (obj, "since", json_object_new_int64 (brake->since));
  json_object_object_add (obj, "by", json_object_new_string (brake->by));
  json_object_object_add (obj, "why", json_object_new_string (brake->why));
  return obj;
}

static void
brake_key (const ClusterBrake *brake, char out[KEY_SIZE])
{
  snprintf (out, KEY_SIZE, "%s@%s", brake->model, brake->version);
}

struct json_object *
steward_brakes_json (StewardBrakes *b)
{
  struct json_object *array = json_object_new_array ();
  ClusterBrake *brakes;
  size_t count = list_brakes (b, &brakes);
  char key[KEY_SIZE];

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *obj = brake_json (&brakes[i]);
      brake_key (&brakes[i], key);
      json_object_object_add (obj, "version", json_object_new_string (key));
      json_object_array_add (array, obj);
    }
  free (brakes);
  return array;
}

typedef struct
{
  int64_t since;
  int64_t at_ms;
  char *by;
  char *why;
} BrakeFields;

static const FieldSpec brake_specs[] = {
  { "since", FIELD_INT, true, offsetof (BrakeFields, since), 0, 1e15 },
  { "by", FIELD_STRING, true, offsetof (BrakeFields, by), 0, CLUSTER_NAME_MAX },
  { "why", FIELD_STRING, true, offsetof (BrakeFields, why), 0, CLUSTER_WHY_MAX - 1 },
  { "at_ms", FIELD_INT, false, offsetof (BrakeFields, at_ms), 0, 1e15 },
};

static bool
parse_row (const PlatformRow *row, ClusterBrake *out)
{
  CheckList list = { .file = row->key };
  BrakeFields f = { 0 };
  struct json_object *obj = field_parse_string (row->value, strlen (row->value), &list);
  const char *at = strchr (row->key, '@');
  bool good
      = obj != NULL && at != NULL && at - row->key <= CLUSTER_NAME_MAX
        && field_read (brake_specs, sizeof brake_specs / sizeof *brake_specs, obj, &f, "", &list);

  if (good)
    {
      *out = (ClusterBrake){ .since = f.since };
      snprintf (out->model, sizeof out->model, "%.*s", (int)(at - row->key), row->key);
      copy_text (out->version, sizeof out->version, at + 1);
      copy_text (out->by, sizeof out->by, f.by);
      copy_text (out->why, sizeof out->why, f.why);
    }
  json_object_put (obj);
  check_free (&list);
  free (f.by);
  free (f.why);
  return good;
}

/** The table's row for the brake of a version. */
typedef struct
{
  int64_t since;   /**< -1: no row, or one that can't be parsed */
  int64_t version; /**< version of the row; 0: the row is absent */
} Stored;

static Stored
stored_of (const PlatformRows *rows, const char *key)
{
  ClusterBrake brake;

  for (size_t i = 0; i < rows->count; i++)
    if (strcmp (rows->rows[i].key, key) == 0)
      return (Stored){ .since = parse_row (&rows->rows[i], &brake) ? brake.since : -1,
                       .version = rows->rows[i].version };
  return (Stored){ .since = -1 };
}

static StatusCode
write_brake (const ClusterBrake *brake,
             const Stored *stored,
             Platform *p,
             int timeout_ms,
             Status *st)
{
  struct json_object *obj = brake_json (brake);
  char key[KEY_SIZE];
  StatusCode code;

  brake_key (brake, key);
  json_object_object_add (obj, "at_ms", json_object_new_int64 (clock_wall_ms ()));
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = "brake", .key = key, .version = stored->version },
    { .kind = TXN_PUT, .table = "brake", .key = key, .value = json_object_to_json_string (obj) },
  };
  code = p->ops->txn (p, ops, sizeof ops / sizeof *ops, timeout_ms, st);
  txn_ops_clear (ops, sizeof ops / sizeof *ops);
  json_object_put (obj);
  return code;
}

static StatusCode
write_missing (StewardBrakes *b, const PlatformRows *rows, Platform *p, int timeout_ms, Status *st)
{
  ClusterBrake *brakes;
  size_t count = list_brakes (b, &brakes);
  StatusCode code = STATUS_OK;
  char key[KEY_SIZE];

  for (size_t i = 0; code == STATUS_OK && i < count; i++)
    {
      brake_key (&brakes[i], key);
      Stored stored = stored_of (rows, key);
      if (stored.since >= brakes[i].since)
        continue;
      code = write_brake (&brakes[i], &stored, p, timeout_ms, st);
      /* Another steward wrote the same brake first: the next synchronisation reads its row. */
      if (code == STATUS_CONFLICT)
        code = STATUS_OK;
    }
  free (brakes);
  return code;
}

StatusCode
steward_brakes_sync (StewardBrakes *b, Platform *p, int timeout_ms, Status *st)
{
  PlatformRows rows = { 0 };
  ClusterBrake brake;
  bool unwritten = set_unwritten (b, false);
  StatusCode code = p->ops->scan (p, "brake", "", "", CLUSTER_BRAKES_MAX, timeout_ms, &rows, st);

  for (size_t i = 0; code == STATUS_OK && i < rows.count; i++)
    if (parse_row (&rows.rows[i], &brake))
      (void)steward_brakes_add (b, &brake);
  if (code == STATUS_OK)
    code = write_missing (b, &rows, p, timeout_ms, st);
  platform_rows_clear (&rows);
  if (code != STATUS_OK && unwritten)
    (void)set_unwritten (b, true);
  return code;
}
