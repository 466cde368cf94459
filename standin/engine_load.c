#include "engine_load.h"
#include "common_fault.h"
#include "engine_run.h"
#include "util_clock.h"
#include <pthread.h>

#define SAMPLE_INTERVAL_MS 50
#define SAMPLES_MAX        2400 /* kept: those of two minutes */

typedef struct
{
  int running;
  int queued;
  int64_t at_ms;
} Sample;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Sample samples[SAMPLES_MAX]; /* ring buffer; index modulo its size */
static int64_t sample_count;

static Sample
sample_now (void)
{
  Sample sample = { .at_ms = clock_boot_ms () };
  runs_count (&sample.running, &sample.queued);
  return sample;
}

static void *
sampling_thread (void *unused)
{
  (void)unused;
  for (;;)
    {
      Sample sample = sample_now ();
      pthread_mutex_lock (&lock);
      samples[sample_count++ % SAMPLES_MAX] = sample;
      pthread_mutex_unlock (&lock);
      clock_sleep_ms (SAMPLE_INTERVAL_MS);
    }
  return NULL;
}

void
load_start (void)
{
  pthread_t thread;
  pthread_create (&thread, NULL, sampling_thread, NULL);
  pthread_detach (thread);
}

/* The newest sample that is at least age_ms old, or else the oldest one. */
static Sample
sample_of_age (int64_t age_ms)
{
  Sample sample = sample_now ();
  int64_t latest_ms = sample.at_ms - age_ms;
  if (age_ms <= 0)
    return sample;
  pthread_mutex_lock (&lock);
  for (int64_t i = sample_count - 1; i >= 0 && i >= sample_count - SAMPLES_MAX; i--)
    {
      sample = samples[i % SAMPLES_MAX];
      if (sample.at_ms <= latest_ms)
        break;
    }
  pthread_mutex_unlock (&lock);
  return sample;
}

enum MHD_Result
load_report (StandinRequest *request)
{
  Fault lag = { 0 };
  fault_peek (FAULT_LAG_LOAD, request->path, &lag);
  Sample sample = sample_of_age ((int64_t)lag.number);
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "running", json_object_new_int (sample.running));
  json_object_object_add (reply, "queued", json_object_new_int (sample.queued));
  json_object_object_add (reply, "draining",
                          json_object_new_boolean (fault_peek (FAULT_DRAIN, "", NULL)));
  json_object_object_add (reply, "models", models_list ());
  json_object_object_add (reply, "at_ms", json_object_new_int64 (sample.at_ms));
  return standin_reply (request, MHD_HTTP_OK, reply);
}
