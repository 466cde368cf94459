#include "http_upload.h"
#include "util_counter.h"
#include "util_memory.h"
#include "util_wait.h"
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#define STACK_SIZE ((size_t)128 * 1024)
/* Threads left behind by frozen peers; each holds a connection and a copy of a body. */
#define LEFT_MAX 64

typedef enum
{
  ASK_NOT_YET,
  ASK_WAITS,
  ASK_ALLOWED,
  ASK_REFUSED
} AskState;

struct HttpUpload
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  HttpExchange *x;
  int result;
  bool ended;
  bool left; /* the caller has gone on */
  AskState ask;
  unsigned progress;
};

static atomic_int left_count;

static void
upload_free (HttpUpload *u)
{
  pthread_cond_destroy (&u->changed);
  pthread_mutex_destroy (&u->lock);
  free (u);
}

static void *
run_upload (void *context)
{
  HttpUpload *u = context;
  HttpExchange *x = u->x;
  int result = ne_begin_request (x->request);
  pthread_mutex_lock (&u->lock);
  u->result = result;
  u->ended = true;
  bool left = u->left;
  pthread_cond_signal (&u->changed);
  pthread_mutex_unlock (&u->lock);
  if (left)
    {
      http_exchange_free (x);
      upload_free (u);
      atomic_fetch_sub (&left_count, 1);
    }
  return NULL;
}

void
http_upload_progress (HttpUpload *upload)
{
  pthread_mutex_lock (&upload->lock);
  upload->progress++;
  pthread_cond_signal (&upload->changed);
  pthread_mutex_unlock (&upload->lock);
}

bool
http_upload_may_finish (HttpUpload *upload)
{
  pthread_mutex_lock (&upload->lock);
  if (upload->ask == ASK_NOT_YET)
    upload->ask = ASK_WAITS;
  pthread_cond_signal (&upload->changed);
  while (upload->ask == ASK_WAITS && !upload->left)
    pthread_cond_wait (&upload->changed, &upload->lock);
  bool allowed = upload->ask == ASK_ALLOWED;
  pthread_mutex_unlock (&upload->lock);
  return allowed;
}

/* Asks may_finish without the lock, in the caller's thread. */
static void
answer_ask (HttpUpload *u)
{
  HttpExchange *x = u->x;
  pthread_mutex_unlock (&u->lock);
  bool allowed = !x->may_finish || x->may_finish (x->context);
  pthread_mutex_lock (&u->lock);
  u->ask = allowed ? ASK_ALLOWED : ASK_REFUSED;
  pthread_cond_signal (&u->changed);
}

/* True once the upload has ended, false after silence_ms without progress. */
static bool
wait_end (HttpUpload *u, int silence_ms)
{
  unsigned seen = u->progress;
  while (!u->ended)
    {
      if (u->ask == ASK_WAITS)
        answer_ask (u);
      else if (!wait_ms (&u->changed, &u->lock, silence_ms) && !u->ended && seen == u->progress
               && u->ask != ASK_WAITS)
        return false;
      seen = u->progress;
    }
  return true;
}

static bool
start_thread (HttpUpload *u, pthread_t *thread)
{
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, STACK_SIZE);
  bool started = pthread_create (thread, &attr, run_upload, u) == 0;
  pthread_attr_destroy (&attr);
  return started;
}

bool
http_upload_run (HttpExchange *x, int silence_ms, int *result, bool *finished)
{
  pthread_t thread;
  HttpUpload *u = memory_alloc (sizeof *u);
  u->x = x;
  x->upload = u;
  *result = NE_ERROR;
  *finished = false;
  pthread_mutex_init (&u->lock, NULL);
  wait_init (&u->changed);
  if (atomic_load (&left_count) >= LEFT_MAX || !start_thread (u, &thread))
    {
      ne_set_error (x->session, "no thread for a long request");
      upload_free (u);
      x->upload = NULL;
      return true;
    }
  pthread_mutex_lock (&u->lock);
  bool ended = wait_end (u, silence_ms);
  *finished = u->ask == ASK_ALLOWED;
  *result = u->result;
  u->left = !ended;
  if (!ended)
    atomic_fetch_add (&left_count, 1);
  pthread_cond_signal (&u->changed);
  pthread_mutex_unlock (&u->lock);
  if (!ended)
    {
      counter_add (COUNTER_HTTP_UPLOADS_LEFT, 1);
      pthread_detach (thread);
      return false;
    }
  pthread_join (thread, NULL);
  upload_free (u);
  x->upload = NULL;
  return true;
}
