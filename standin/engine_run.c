#include "engine_run.h"
#include "engine_cache.h"
#include "engine_options.h"
#include "engine_record.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include <poll.h>
#include <search.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_INTERVAL_MS             2  /* between two runs of the scheduler */
#define CONNECTION_CHECK_INTERVAL_MS 40 /* between two checks for closed connections */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t work = PTHREAD_COND_INITIALIZER;
static CDS_LIST_HEAD (queue);
static CDS_LIST_HEAD (running);
static int queued_count;
static int running_count;
static CDS_LIST_HEAD (record); /* all runs, in order of their start */
static void *run_tree;         /* the newest run of each request */
static int64_t next_number;
static bool stopping;
static pthread_t scheduler;

static int
compare_request (const void *a, const void *b)
{
  return strcmp (((const Run *)a)->request, ((const Run *)b)->request);
}

static void
tree_set (Run *run)
{
  Run **slot = tsearch (run, &run_tree, compare_request);
  *slot = run;
}

void
run_text (const Run *run, unsigned tokens, Buffer *out)
{
  char token[TOKEN_MAX];
  for (unsigned i = 0; i < tokens; i++)
    {
      answer_token (&run->prompt, run->quality, i, token);
      buffer_add_string (out, token);
    }
}

void
run_mark_cut (Run *run)
{
  pthread_mutex_lock (&lock);
  run->cut = true;
  pthread_mutex_unlock (&lock);
}

/* Inserts the run behind those of the same or a higher priority. */
static void
queue_add (Run *run)
{
  Run *other;
  cds_list_for_each_entry_reverse (other, &queue, node) if (other->priority >= run->priority) break;
  cds_list_add (&run->node, &other->node);
  queued_count++;
}

static Run *
run_new (const RunParams *params)
{
  Run *run = memory_alloc (sizeof *run);
  char generated[ID_SIZE];
  id_random (generated);
  snprintf (run->request, sizeof run->request, "%s", params->request ? params->request : generated);
  snprintf (run->model, sizeof run->model, "%s", params->model);
  if (params->idempotency)
    snprintf (run->idempotency, sizeof run->idempotency, "%s", params->idempotency);
  if (params->user)
    snprintf (run->user, sizeof run->user, "%s", params->user);
  run->prompt = *params->prompt;
  run->quality
      = answer_quality (params->prompt, models_mean_quality (params->model), engine_options.spread);
  run->priority = params->priority;
  run->length = params->length ? params->length : answer_length (params->prompt);
  run->started_ms = clock_boot_ms ();
  run->fd = -1;
  pthread_cond_init (&run->changed, NULL);
  return run;
}

Run *
run_begin (const RunParams *params)
{
  Run *run = run_new (params);
  pthread_mutex_lock (&lock);
  run->number = next_number++;
  record_start (run);
  if (run->prompt.crash)
    _exit (EXIT_FAILURE);
  cds_list_add_tail (&run->record_node, &record);
  tree_set (run);
  queue_add (run);
  pthread_cond_signal (&work);
  pthread_mutex_unlock (&lock);
  return run;
}

Run *
run_find (const char *request)
{
  Run key = { 0 };
  snprintf (key.request, sizeof key.request, "%s", request);
  pthread_mutex_lock (&lock);
  Run **found = tfind (&key, &run_tree, compare_request);
  Run *run = found ? *found : NULL;
  pthread_mutex_unlock (&lock);
  return run;
}

static void
end_run (Run *run, RunState state)
{
  if (run->state == RUN_QUEUED)
    queued_count--;
  else
    running_count--;
  cds_list_del (&run->node);
  run->state = state;
  run->ended_ms = clock_boot_ms ();
  record_end (run);
  pthread_cond_broadcast (&run->changed);
}

static bool
has_ended (const Run *run)
{
  return run->state == RUN_DONE || run->state == RUN_CANCELLED;
}

unsigned
run_wait (Run *run, unsigned seen, RunState *state)
{
  pthread_mutex_lock (&lock);
  while (run->tokens <= seen && !has_ended (run))
    pthread_cond_wait (&run->changed, &lock);
  unsigned tokens = run->tokens;
  *state = run->state;
  pthread_mutex_unlock (&lock);
  return tokens;
}

void
run_cancel (Run *run)
{
  pthread_mutex_lock (&lock);
  if (!has_ended (run))
    end_run (run, RUN_CANCELLED);
  pthread_mutex_unlock (&lock);
}

unsigned
run_attach (Run *run, int fd, int64_t resume_ms)
{
  pthread_mutex_lock (&lock);
  run->fd = fd;
  run->resume_ms = resume_ms;
  run->cancel_at_ms = 0;
  unsigned attachment = ++run->attachments;
  pthread_mutex_unlock (&lock);
  return attachment;
}

void
run_detach (Run *run, unsigned attachment)
{
  pthread_mutex_lock (&lock);
  if (run->attachments == attachment)
    {
      run->fd = -1;
      run->cancel_at_ms = clock_boot_ms () + run->resume_ms;
    }
  pthread_mutex_unlock (&lock);
}

static void
admit (int64_t now)
{
  while (running_count < engine_options.slots && !cds_list_empty (&queue))
    {
      Run *run = cds_list_first_entry (&queue, Run, node);
      bool cached = cache_use (run->prompt.prefix_hash);
      double share = cached ? engine_options.cached_share : 1;
      cds_list_del (&run->node);
      queued_count--;
      run->state = RUN_RUNNING;
      run->next_ms = now + (int64_t)((double)engine_options.first_ms * share);
      cds_list_add_tail (&run->node, &running);
      running_count++;
    }
}

static void
generate_tokens (Run *run, int64_t now)
{
  unsigned before = run->tokens;
  while (run->tokens < run->length && run->next_ms <= now)
    {
      run->tokens++;
      run->next_ms += engine_options.token_ms;
    }
  if (run->tokens == run->length)
    end_run (run, RUN_DONE);
  else if (run->tokens > before)
    pthread_cond_broadcast (&run->changed);
}

static void
cancel_abandoned (struct cds_list_head *list, int64_t now)
{
  Run *run;
  Run *next;
  cds_list_for_each_entry_safe (run, next, list, node)
  {
    if (run->cancel_at_ms && run->cancel_at_ms <= now)
      end_run (run, RUN_CANCELLED);
  }
}

/* A caller that has left closes its side of the connection, which poll reports as POLLRDHUP. */
static void
detect_closed_connections (struct cds_list_head *list, int64_t now)
{
  Run *run;
  cds_list_for_each_entry (run, list, node)
  {
    struct pollfd poll_fd = { .fd = run->fd, .events = POLLRDHUP };
    if (run->fd >= 0 && poll (&poll_fd, 1, 0) > 0
        && (poll_fd.revents & (POLLRDHUP | POLLERR | POLLHUP)))
      {
        run->fd = -1;
        run->cancel_at_ms = now + run->resume_ms;
      }
  }
}

static void
tick (int64_t now)
{
  static int64_t checked_ms;
  Run *run;
  Run *next;
  admit (now);
  cds_list_for_each_entry_safe (run, next, &running, node)
  {
    generate_tokens (run, now);
  }
  if (now - checked_ms >= CONNECTION_CHECK_INTERVAL_MS)
    {
      checked_ms = now;
      detect_closed_connections (&queue, now);
      detect_closed_connections (&running, now);
      cancel_abandoned (&queue, now);
      cancel_abandoned (&running, now);
    }
}

static void *
scheduler_thread (void *unused)
{
  (void)unused;
  pthread_mutex_lock (&lock);
  while (!stopping)
    {
      if (!running_count && !queued_count)
        {
          pthread_cond_wait (&work, &lock);
          continue;
        }
      tick (clock_boot_ms ());
      pthread_mutex_unlock (&lock);
      clock_sleep_ms (TICK_INTERVAL_MS);
      pthread_mutex_lock (&lock);
    }
  pthread_mutex_unlock (&lock);
  return NULL;
}

void
runs_start (void)
{
  if (engine_options.record)
    record_open (engine_options.record);
  pthread_create (&scheduler, NULL, scheduler_thread, NULL);
}

void
runs_stop (void)
{
  Run *run;
  Run *next;
  pthread_mutex_lock (&lock);
  stopping = true;
  cds_list_for_each_entry_safe (run, next, &running, node)
  {
    run->cut = true;
    end_run (run, RUN_CANCELLED);
  }
  cds_list_for_each_entry_safe (run, next, &queue, node)
  {
    run->cut = true;
    end_run (run, RUN_CANCELLED);
  }
  pthread_cond_signal (&work);
  pthread_mutex_unlock (&lock);
  pthread_join (scheduler, NULL);
}

void
runs_count (int *running_out, int *queued_out)
{
  pthread_mutex_lock (&lock);
  *running_out = running_count;
  *queued_out = queued_count;
  pthread_mutex_unlock (&lock);
}

struct json_object *
runs_record (size_t from)
{
  struct json_object *list = json_object_new_array ();
  Run *run;
  size_t i = 0;
  pthread_mutex_lock (&lock);
  cds_list_for_each_entry (run, &record, record_node)
  {
    if (i++ >= from)
      json_object_array_add (list, record_json (run));
  }
  pthread_mutex_unlock (&lock);
  return list;
}
