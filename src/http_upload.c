#include "http_upload.h"
#include "util_counter.h"
#include "util_memory.h"
#include "util_wait.h"
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#define STACK_SIZE ((size_t)128 * 1024) /* bytes */
/* Maximum number of abandoned threads, blocked by frozen peers; each holds a connection and a copy
 * of a body. */
#define ABANDONED_MAX 64
/* Bytes of their bodies beyond which none is started. */
#define ABANDONED_BYTES_MAX ((size_t)8 << 20)

typedef enum
{
  FINISH_NOT_ASKED, /* the upload thread has not reached the last byte */
  FINISH_PENDING,   /* the upload thread waits for the decision */
  FINISH_ALLOWED,
  FINISH_REFUSED
} FinishState;

struct HttpUpload
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  HttpExchange *exchange;
  int result;     /* of ne_begin_request; valid if ended */
  bool ended;     /* ne_begin_request has returned */
  bool abandoned; /* the caller no longer waits */
  FinishState finish;
  unsigned progress; /* blocks of the body given to neon */
};

static atomic_int abandoned_count;
static atomic_size_t abandoned_bytes;

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
  HttpExchange *x = u->exchange;
  int result = ne_begin_request (x->request);
  pthread_mutex_lock (&u->lock);
  u->result = result;
  u->ended = true;
  bool abandoned = u->abandoned;
  pthread_cond_signal (&u->changed);
  pthread_mutex_unlock (&u->lock);
  if (abandoned)
    {
      atomic_fetch_sub (&abandoned_bytes, x->body_len);
      http_exchange_free (x);
      upload_free (u);
      atomic_fetch_sub (&abandoned_count, 1);
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
  if (upload->finish == FINISH_NOT_ASKED)
    upload->finish = FINISH_PENDING;
  pthread_cond_signal (&upload->changed);
  while (upload->finish == FINISH_PENDING && !upload->abandoned)
    pthread_cond_wait (&upload->changed, &upload->lock);
  bool allowed = upload->finish == FINISH_ALLOWED;
  pthread_mutex_unlock (&upload->lock);
  return allowed;
}

/* Calls may_finish in the caller's thread, with the lock released. */
static void
decide_finish (HttpUpload *u)
{
  HttpExchange *x = u->exchange;
  pthread_mutex_unlock (&u->lock);
  bool allowed = !x->may_finish || x->may_finish (x->context);
  pthread_mutex_lock (&u->lock);
  u->finish = allowed ? FINISH_ALLOWED : FINISH_REFUSED;
  pthread_cond_signal (&u->changed);
}

/* Returns true once the upload has ended, false after stall_timeout_ms without progress. */
static bool
wait_until_ended (HttpUpload *u, int stall_timeout_ms)
{
  unsigned seen = u->progress;
  while (!u->ended)
    {
      if (u->finish == FINISH_PENDING)
        decide_finish (u);
      else if (!wait_ms (&u->changed, &u->lock, stall_timeout_ms) && !u->ended
               && seen == u->progress && u->finish != FINISH_PENDING)
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
http_upload_run (HttpExchange *x, int stall_timeout_ms, int *result, bool *finished)
{
  pthread_t thread;
  HttpUpload *u = memory_alloc (sizeof *u);
  u->exchange = x;
  x->upload = u;
  *result = NE_ERROR;
  *finished = false;
  pthread_mutex_init (&u->lock, NULL);
  wait_init (&u->changed);
  if (atomic_load (&abandoned_count) >= ABANDONED_MAX
      || atomic_load (&abandoned_bytes) >= ABANDONED_BYTES_MAX || !start_thread (u, &thread))
    {
      ne_set_error (x->session, "no thread for a long request");
      upload_free (u);
      x->upload = NULL;
      return true;
    }
  pthread_mutex_lock (&u->lock);
  bool ended = wait_until_ended (u, stall_timeout_ms);
  *finished = u->finish == FINISH_ALLOWED;
  *result = u->result;
  u->abandoned = !ended;
  if (!ended)
    {
      atomic_fetch_add (&abandoned_count, 1);
      atomic_fetch_add (&abandoned_bytes, x->body_len);
    }
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
