/**
 * Hash tables of cells, one per shard, each cell with decayed sums of observations.
 */
#include "choose_estimate.h"

#include "util_memory.h"
#include <math.h>
#include <pthread.h>
#include <stdlib.h>

#define SHARDS        16
#define SHARD_CELLS   512  /**< entries in a shard's hash table; a power of two */
#define PROBES        16   /**< entries tried for one key */
#define DECAY_STEP_MS 500  /**< a cell decays at most this often, to save the exponential */
#define WEIGHT_MIN    1e-6 /**< a smaller weight is a rounding error and counts as none */
#define HALF_LIFE_MS  600000

typedef struct
{
  uint64_t key;                                       /**< 0: free */
  int64_t at_ms;                                      /**< time up to which the sums have decayed */
  double weight, passes, pass_scores, fail_scores;    /**< sums over ratings */
  double runs, tokens, duration_ms, duration_squares; /**< sums over answers */
} Cell;

typedef struct
{
  pthread_mutex_t lock;
  Cell cells[SHARD_CELLS];
} Shard;

struct Estimates
{
  EstimateSettings settings;
  Shard shards[SHARDS];
};

const EstimateSettings estimate_settings_default = {
  .half_life_ms = HALF_LIFE_MS,
  .weight_max = 400,
};

Estimates *
estimates_new (const EstimateSettings *settings)
{
  Estimates *estimates = memory_alloc (sizeof *estimates);
  unsigned i;

  estimates->settings = *settings;
  for (i = 0; i < SHARDS; i++)
    pthread_mutex_init (&estimates->shards[i].lock, NULL);
  return estimates;
}

void
estimates_free (Estimates *estimates)
{
  unsigned i;

  for (i = 0; i < SHARDS; i++)
    pthread_mutex_destroy (&estimates->shards[i].lock);
  free (estimates);
}

static uint64_t
mix (uint64_t h, uint64_t x)
{
  h = (h ^ x) * 0x9e3779b97f4a7c15U;
  return h ^ (h >> 29);
}

static uint64_t
key_hash (const EstimateKey *key)
{
  uint64_t h = mix (key->class_key, key->version_key);

  h = mix (h, key->previous_key);
  h = mix (h, key->team_key);
  return h != 0 ? h : 1;
}

static Shard *
shard_of (Estimates *estimates, uint64_t class_key)
{
  return &estimates->shards[mix (class_key, 0) % SHARDS];
}

static Cell *
cell_find (Shard *shard, uint64_t hash)
{
  unsigned i;

  for (i = 0; i < PROBES; i++)
    {
      Cell *cell = &shard->cells[(hash + i) % SHARD_CELLS];

      if (cell->key == hash)
        return cell;
      /* An entry once used is never freed, so a free one ends the probe sequence. */
      if (cell->key == 0)
        return NULL;
    }
  return NULL;
}

/** The cell of that hash; a new one replaces the least recently updated cell of its probe
 *  sequence. */
static Cell *
cell_get (Shard *shard, uint64_t hash, int64_t now_ms)
{
  Cell *cell = cell_find (shard, hash);
  unsigned i;

  if (cell != NULL)
    return cell;
  for (i = 0; i < PROBES; i++)
    {
      Cell *other = &shard->cells[(hash + i) % SHARD_CELLS];

      if (cell == NULL || other->key == 0 || other->at_ms < cell->at_ms)
        cell = other;
      if (other->key == 0)
        break;
    }
  *cell = (Cell){ .key = hash, .at_ms = now_ms };
  return cell;
}

static void
cell_scale_ratings (Cell *cell, double factor)
{
  cell->weight *= factor;
  cell->passes *= factor;
  cell->pass_scores *= factor;
  cell->fail_scores *= factor;
}

static void
cell_scale_runs (Cell *cell, double factor)
{
  cell->runs *= factor;
  cell->tokens *= factor;
  cell->duration_ms *= factor;
  cell->duration_squares *= factor;
}

static void
cell_decay (const EstimateSettings *settings, Cell *cell, int64_t now_ms)
{
  double factor;

  if (now_ms - cell->at_ms < DECAY_STEP_MS)
    return;
  factor = exp2 (-(double)(now_ms - cell->at_ms) / (double)settings->half_life_ms);
  cell_scale_ratings (cell, factor);
  cell_scale_runs (cell, factor);
  cell->at_ms = now_ms;
}

void
estimates_add_rating (Estimates *estimates,
                      const EstimateKey *key,
                      double score,
                      bool passed,
                      int64_t now_ms)
{
  Shard *shard = shard_of (estimates, key->class_key);
  Cell *cell;

  pthread_mutex_lock (&shard->lock);
  cell = cell_get (shard, key_hash (key), now_ms);
  cell_decay (&estimates->settings, cell, now_ms);
  if (cell->weight + 1 > estimates->settings.weight_max)
    cell_scale_ratings (cell, (estimates->settings.weight_max - 1) / cell->weight);
  cell->weight += 1;
  cell->passes += passed;
  if (passed)
    cell->pass_scores += score;
  else
    cell->fail_scores += score;
  pthread_mutex_unlock (&shard->lock);
}

void
estimates_add_run (Estimates *estimates,
                   const EstimateKey *key,
                   double tokens,
                   double ms,
                   int64_t now_ms)
{
  Shard *shard = shard_of (estimates, key->class_key);
  Cell *cell;

  pthread_mutex_lock (&shard->lock);
  cell = cell_get (shard, key_hash (key), now_ms);
  cell_decay (&estimates->settings, cell, now_ms);
  if (cell->runs + 1 > estimates->settings.weight_max)
    cell_scale_runs (cell, (estimates->settings.weight_max - 1) / cell->runs);
  cell->runs += 1;
  cell->tokens += tokens;
  cell->duration_ms += ms;
  cell->duration_squares += ms * ms;
  pthread_mutex_unlock (&shard->lock);
}

static Estimate
cell_estimate (const Cell *cell)
{
  double fails = cell->weight - cell->passes;
  Estimate out = { .weight = cell->weight, .run_weight = cell->runs };
  double variance;

  if (cell->weight > WEIGHT_MIN)
    out.pass = cell->passes / cell->weight;
  if (cell->passes > WEIGHT_MIN)
    out.pass_score = cell->pass_scores / cell->passes;
  if (fails > WEIGHT_MIN)
    out.fail_score = cell->fail_scores / fails;
  if (cell->runs <= WEIGHT_MIN)
    return out;
  out.tokens = cell->tokens / cell->runs;
  out.duration_ms = cell->duration_ms / cell->runs;
  variance = cell->duration_squares / cell->runs - out.duration_ms * out.duration_ms;
  out.duration_dev_ms = variance > 0 ? sqrt (variance) : 0;
  return out;
}

void
estimates_begin (Estimates *estimates, uint64_t class_key)
{
  pthread_mutex_lock (&shard_of (estimates, class_key)->lock);
}

void
estimates_end (Estimates *estimates, uint64_t class_key)
{
  pthread_mutex_unlock (&shard_of (estimates, class_key)->lock);
}

Estimate
estimates_read_next (Estimates *estimates, const EstimateKey *key, int64_t now_ms, bool decayed)
{
  Cell *cell = cell_find (shard_of (estimates, key->class_key), key_hash (key));

  if (cell == NULL)
    return (Estimate){ 0 };
  if (decayed)
    cell_decay (&estimates->settings, cell, now_ms);
  return cell_estimate (cell);
}

Estimate
estimates_read (Estimates *estimates, const EstimateKey *key, int64_t now_ms, bool decayed)
{
  Estimate out;

  estimates_begin (estimates, key->class_key);
  out = estimates_read_next (estimates, key, now_ms, decayed);
  estimates_end (estimates, key->class_key);
  return out;
}
