#include "gate_evidence.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLER_TABLE_SIZE 1024 /* entries of a cell's table of callers; a power of two */

/** Sums of one team and version since the last report. */
typedef struct
{
  EvidenceKey key;
  rpc_evidence sums; /* its string members are unused */
  uint64_t *callers; /* hash table with open addressing; NULL until the first caller */
} Cell;

struct GateEvidence
{
  pthread_mutex_t lock;
  Cell **cells; /* allocated one by one, since reports point to their names */
  size_t count;
};

static Cell *find_or_add_cell (GateEvidence *evidence, const EvidenceKey *key);
static void add_caller (Cell *cell, uint64_t caller);

EvidenceKey
gate_evidence_key (const Config *config, unsigned team, unsigned version)
{
  const ConfigVersion *v = &config->versions[version];
  EvidenceKey key = { 0 };

  snprintf (key.team, sizeof (key.team), "%s", config->teams[team].name);
  snprintf (key.model, sizeof (key.model), "%s", config->models[v->model].name);
  snprintf (key.version, sizeof (key.version), "%s", v->name);
  return key;
}

GateEvidence *
gate_evidence_new (void)
{
  GateEvidence *evidence = memory_alloc (sizeof (*evidence));

  pthread_mutex_init (&evidence->lock, NULL);
  return evidence;
}

void
gate_evidence_free (GateEvidence *evidence)
{
  for (size_t i = 0; i < evidence->count; i++)
    {
      free (evidence->cells[i]->callers);
      free (evidence->cells[i]);
    }
  free (evidence->cells);
  pthread_mutex_destroy (&evidence->lock);
  free (evidence);
}

/* The lock must be held. A linear search is enough for the few hundred pairs of team
   and version. */
static Cell *
find_or_add_cell (GateEvidence *evidence, const EvidenceKey *key)
{
  Cell *cell;

  for (size_t i = 0; i < evidence->count; i++)
    {
      cell = evidence->cells[i];
      if (strcmp (cell->key.version, key->version) == 0 && strcmp (cell->key.team, key->team) == 0
          && strcmp (cell->key.model, key->model) == 0)
        return cell;
    }
  cell = memory_alloc (sizeof (*cell));
  cell->key = *key;
  evidence->cells = memory_grow (evidence->cells, evidence->count + 1, sizeof (Cell *));
  evidence->cells[evidence->count++] = cell;
  return cell;
}

/* Counts each caller once per report. Once the table is three quarters full, further callers are
   not counted. */
static void
add_caller (Cell *cell, uint64_t caller)
{
  size_t at;

  if (caller == 0)
    caller = 1;
  at = caller % CALLER_TABLE_SIZE;
  if (cell->callers == NULL)
    cell->callers = memory_array (CALLER_TABLE_SIZE, sizeof (uint64_t));
  if (cell->sums.callers >= CALLER_TABLE_SIZE * 3 / 4)
    return;
  while (cell->callers[at] != 0 && cell->callers[at] != caller)
    at = (at + 1) % CALLER_TABLE_SIZE;
  if (cell->callers[at] == caller)
    return;
  cell->callers[at] = caller;
  cell->sums.callers++;
}

void
gate_evidence_add_answer (GateEvidence *evidence,
                          const EvidenceKey *key,
                          uint64_t caller,
                          bool slow)
{
  Cell *cell;

  pthread_mutex_lock (&evidence->lock);
  cell = find_or_add_cell (evidence, key);
  cell->sums.answers++;
  cell->sums.slow += slow ? 1 : 0;
  add_caller (cell, caller);
  pthread_mutex_unlock (&evidence->lock);
}

void
gate_evidence_add_error (GateEvidence *evidence, const EvidenceKey *key, uint64_t caller)
{
  Cell *cell;

  pthread_mutex_lock (&evidence->lock);
  cell = find_or_add_cell (evidence, key);
  cell->sums.errors++;
  add_caller (cell, caller);
  pthread_mutex_unlock (&evidence->lock);
}

void
gate_evidence_add_rating (GateEvidence *evidence, const EvidenceKey *key, double score)
{
  Cell *cell;

  pthread_mutex_lock (&evidence->lock);
  cell = find_or_add_cell (evidence, key);
  cell->sums.rated++;
  cell->sums.rating_sum += score;
  cell->sums.rating_square_sum += score * score;
  pthread_mutex_unlock (&evidence->lock);
}

static bool
is_empty (const Cell *cell)
{
  return cell->sums.answers == 0 && cell->sums.errors == 0 && cell->sums.rated == 0;
}

size_t
gate_evidence_take (GateEvidence *evidence, rpc_evidence *out, size_t max)
{
  size_t taken = 0;

  pthread_mutex_lock (&evidence->lock);
  for (size_t i = 0; i < evidence->count && taken < max; i++)
    {
      Cell *cell = evidence->cells[i];
      if (is_empty (cell))
        continue;
      out[taken] = cell->sums;
      out[taken].team = cell->key.team;
      out[taken].model_name = cell->key.model;
      out[taken].version_name = cell->key.version;
      taken++;
      memset (&cell->sums, 0, sizeof (cell->sums));
      free (cell->callers);
      cell->callers = NULL;
    }
  pthread_mutex_unlock (&evidence->lock);
  return taken;
}

void
gate_evidence_put_back (GateEvidence *evidence, const rpc_evidence *entries, size_t count)
{
  pthread_mutex_lock (&evidence->lock);
  for (size_t i = 0; i < count; i++)
    {
      EvidenceKey key = { 0 };
      Cell *cell;
      snprintf (key.team, sizeof (key.team), "%s", entries[i].team);
      snprintf (key.model, sizeof (key.model), "%s", entries[i].model_name);
      snprintf (key.version, sizeof (key.version), "%s", entries[i].version_name);
      cell = find_or_add_cell (evidence, &key);
      cell->sums.answers += entries[i].answers;
      cell->sums.errors += entries[i].errors;
      cell->sums.slow += entries[i].slow;
      cell->sums.rated += entries[i].rated;
      cell->sums.rating_sum += entries[i].rating_sum;
      cell->sums.rating_square_sum += entries[i].rating_square_sum;
      cell->sums.callers += entries[i].callers;
    }
  pthread_mutex_unlock (&evidence->lock);
}
