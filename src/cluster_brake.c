#include "cluster_brake.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define DIGEST_SEED 0x62726b65 /* "brke" in ASCII */

/** One version that has a brake, a release or both. */
typedef struct
{
  ClusterBrake brake; /**< since -1: none */
  int64_t released;   /**< brakes with since <= released are not active; -1: none */
} Entry;

struct ClusterBrakes
{
  size_t count;
  Entry entries[CLUSTER_BRAKES_MAX]; /**< sorted by model and version */
};

ClusterBrakes *
cluster_brakes_new (void)
{
  return memory_alloc (sizeof (ClusterBrakes));
}

void
cluster_brakes_free (ClusterBrakes *b)
{
  free (b);
}

static int
compare (const Entry *e, const char *model, const char *version)
{
  int order = strcmp (e->brake.model, model);

  return order != 0 ? order : strcmp (e->brake.version, version);
}

/* Index of the first entry that does not sort before (model, version). */
static size_t
find_index (const ClusterBrakes *b, const char *model, const char *version)
{
  size_t low = 0;
  size_t high = b->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (compare (&b->entries[middle], model, version) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static Entry *
find_entry (ClusterBrakes *b, const char *model, const char *version)
{
  size_t i = find_index (b, model, version);

  if (i < b->count && compare (&b->entries[i], model, version) == 0)
    return &b->entries[i];
  return NULL;
}

static Entry *
insert_entry (ClusterBrakes *b, const char *model, const char *version)
{
  size_t i = find_index (b, model, version);

  if (b->count == CLUSTER_BRAKES_MAX)
    return NULL;
  memmove (&b->entries[i + 1], &b->entries[i], (b->count - i) * sizeof (Entry));
  b->count++;
  b->entries[i] = (Entry){ .brake = { .since = -1 }, .released = -1 };
  strcpy (b->entries[i].brake.model, model);
  strcpy (b->entries[i].brake.version, version);
  return &b->entries[i];
}

static bool
is_terminated (const char *s, size_t size)
{
  return memchr (s, '\0', size) != NULL;
}

static bool
is_valid (const ClusterBrake *k)
{
  return k->since >= 0 && is_terminated (k->model, sizeof k->model)
         && is_terminated (k->version, sizeof k->version) && is_terminated (k->by, sizeof k->by)
         && is_terminated (k->why, sizeof k->why) && k->model[0] != '\0' && k->version[0] != '\0';
}

/* Total order of the brakes on one version, the same on every VM, so that merging in any order
   keeps the same brake. */
static int
compare_brakes (const ClusterBrake *a, const ClusterBrake *b)
{
  if (a->since != b->since)
    return a->since < b->since ? -1 : 1;
  int order = strcmp (a->by, b->by);
  return order != 0 ? order : strcmp (a->why, b->why);
}

ClusterBrakeResult
cluster_brakes_add (ClusterBrakes *b, const ClusterBrake *brake)
{
  if (!is_valid (brake))
    return CLUSTER_BRAKE_INVALID;
  Entry *e = find_entry (b, brake->model, brake->version);
  if (e != NULL && brake->since <= e->released)
    return CLUSTER_BRAKE_RELEASED;
  if (e != NULL && compare_brakes (brake, &e->brake) <= 0)
    return CLUSTER_BRAKE_KNOWN;
  if (e == NULL)
    e = insert_entry (b, brake->model, brake->version);
  if (e == NULL)
    return CLUSTER_BRAKE_FULL;
  e->brake = *brake;
  return CLUSTER_BRAKE_ADDED;
}

size_t
cluster_brakes_merge (ClusterBrakes *b, const ClusterBrake *brakes, size_t count)
{
  size_t added = 0;

  for (size_t i = 0; i < count; i++)
    if (cluster_brakes_add (b, &brakes[i]) == CLUSTER_BRAKE_ADDED)
      added++;
  return added;
}

void
cluster_brakes_release (ClusterBrakes *b, const char *model, const char *version, int64_t released)
{
  Entry *e = find_entry (b, model, version);

  if (released <= 0 || strlen (model) > CLUSTER_NAME_MAX || strlen (version) > CLUSTER_NAME_MAX)
    return;
  if (e == NULL)
    e = insert_entry (b, model, version);
  if (e != NULL && released > e->released)
    e->released = released;
}

void
cluster_brakes_prune (ClusterBrakes *b,
                      bool (*exists) (void *context, const char *model, const char *version),
                      void *context)
{
  size_t kept = 0;

  for (size_t i = 0; i < b->count; i++)
    if (exists (context, b->entries[i].brake.model, b->entries[i].brake.version))
      b->entries[kept++] = b->entries[i];
  b->count = kept;
}

static bool
is_active (const Entry *e)
{
  return e->brake.since > e->released;
}

const ClusterBrake *
cluster_brakes_find (const ClusterBrakes *b, const char *model, const char *version)
{
  size_t i = find_index (b, model, version);

  if (i == b->count || compare (&b->entries[i], model, version) != 0 || !is_active (&b->entries[i]))
    return NULL;
  return &b->entries[i].brake;
}

size_t
cluster_brakes_list (const ClusterBrakes *b, ClusterBrake out[CLUSTER_BRAKES_MAX])
{
  size_t count = 0;

  for (size_t i = 0; i < b->count; i++)
    if (is_active (&b->entries[i]))
      out[count++] = b->entries[i].brake;
  return count;
}

uint64_t
cluster_brakes_digest (const ClusterBrakes *b)
{
  uint64_t digest = 0;

  for (size_t i = 0; i < b->count; i++)
    {
      const ClusterBrake *k = &b->entries[i].brake;
      if (!is_active (&b->entries[i]))
        continue;
      digest = id_hash_string (k->model, digest + DIGEST_SEED);
      digest = id_hash_string (k->version, digest);
      digest = id_hash (&k->since, sizeof k->since, digest);
      digest = id_hash_string (k->by, digest);
      digest = id_hash_string (k->why, digest);
    }
  return digest;
}
