#include "gate_sample.h"
#include "choose_cascade.h"
#include "gate_request.h"
#include "gate_thread.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_id.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define QUEUE_MAX 64 /* samples waiting for the rating service */

typedef struct
{
  struct cds_list_head list;
  GateSnapshot *snapshot;
  CascadeOutcome outcome;
  EvidenceKey key;
  char *class_name;
  char *prompt;
  char *answer;
} Sample;

struct GateSampler
{
  Gate *gate;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t filled;
  struct cds_list_head queue;
  unsigned waiting; /* samples in queue */
  bool stop;
};

static void sample_free (Sample *s);
static void *sample_run (void *context);

static void
sample_free (Sample *s)
{
  gate_snapshot_put (s->snapshot);
  free (s->class_name);
  free (s->prompt);
  free (s->answer);
  free (s);
}

/* Waits for the next sample. NULL: the thread is to end. */
static Sample *
wait_for_sample (GateSampler *sampler)
{
  Sample *s = NULL;

  pthread_mutex_lock (&sampler->lock);
  while (!sampler->stop && cds_list_empty (&sampler->queue))
    pthread_cond_wait (&sampler->filled, &sampler->lock);
  if (!sampler->stop)
    {
      s = cds_list_first_entry (&sampler->queue, Sample, list);
      cds_list_del (&s->list);
      sampler->waiting--;
    }
  pthread_mutex_unlock (&sampler->lock);
  return s;
}

static void *
sample_run (void *context)
{
  GateSampler *sampler = context;
  Sample *s;

  while ((s = wait_for_sample (sampler)) != NULL)
    {
      Gate *gate = sampler->gate;
      double score = 0;
      if (gate_rating_rate (gate, s->class_name, s->prompt, s->answer, &score))
        {
          s->outcome.now_ms = clock_boot_ms ();
          cascade_record_rating (gate->estimates, &s->outcome, score);
          gate_evidence_add_rating (gate->evidence, &s->key, score);
          counter_add (COUNTER_GATE_SAMPLES, 1);
        }
      sample_free (s);
    }
  return NULL;
}

GateSampler *
gate_sample_start (Gate *gate)
{
  GateSampler *sampler = memory_alloc (sizeof (*sampler));

  sampler->gate = gate;
  pthread_mutex_init (&sampler->lock, NULL);
  pthread_cond_init (&sampler->filled, NULL);
  CDS_INIT_LIST_HEAD (&sampler->queue);
  gate_thread_start (&sampler->thread, sample_run, sampler);
  return sampler;
}

void
gate_sample_stop (GateSampler *sampler)
{
  Sample *s;
  Sample *next;

  pthread_mutex_lock (&sampler->lock);
  sampler->stop = true;
  pthread_cond_signal (&sampler->filled);
  pthread_mutex_unlock (&sampler->lock);
  pthread_join (sampler->thread, NULL);
  cds_list_for_each_entry_safe (s, next, &sampler->queue, list)
  {
    sample_free (s);
  }
  pthread_cond_destroy (&sampler->filled);
  pthread_mutex_destroy (&sampler->lock);
  free (sampler);
}

bool
gate_sample_draw (GateSampler *sampler)
{
  double share = sampler->gate->settings.sample_share;

  return ldexp ((double)(id_random_u64 () >> 11), -53) < share;
}

/* Name that the rating service gets as the class: the quality class or, if the caller asked for a
   model, that model. */
static const char *
class_name (const GateRequest *r)
{
  const Config *config = r->snapshot->config;

  if (r->plan.class_index >= 0)
    return config->classes[r->plan.class_index].name;
  return config->models[config->versions[r->attempt->version].model].name;
}

static Sample *
sample_new (GateRequest *r)
{
  Sample *s = memory_alloc (sizeof (*s));

  s->snapshot = gate_snapshot_ref (r->snapshot);
  s->outcome = (CascadeOutcome){
    .config = r->snapshot->config,
    .class_index = r->plan.class_index,
    .team = r->team,
    .version = (unsigned)r->attempt->version,
    .previous = r->previous_version,
    .quality_target = r->plan.quality_target,
  };
  s->key = gate_evidence_key (r->snapshot->config, r->team, (unsigned)r->attempt->version);
  s->class_name = memory_strdup (class_name (r));
  s->prompt = memory_strdup (r->body.data);
  s->answer = memory_strdup (r->attempt->stream.answer.content.data);
  return s;
}

void
gate_sample_add (GateSampler *sampler, GateRequest *r)
{
  Sample *s = sample_new (r);
  bool added;

  pthread_mutex_lock (&sampler->lock);
  added = sampler->waiting < QUEUE_MAX && !sampler->stop;
  if (added)
    {
      cds_list_add_tail (&s->list, &sampler->queue);
      sampler->waiting++;
      pthread_cond_signal (&sampler->filled);
    }
  pthread_mutex_unlock (&sampler->lock);
  if (added)
    return;
  sample_free (s);
  counter_add (COUNTER_GATE_SAMPLES_DROPPED, 1);
}
