#include "claim.h"
#include "claim_row.h"
#include "util_assert.h"
#include "util_counter.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_wait.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define STEP "claim.release"

#define TRIES_MAX         3    /* of one release: another attempt may change the row meanwhile */
#define TIMEOUT_MS        500  /* of one call of the table service */
#define RETRY_INTERVAL_MS 500  /* after a failed release */
#define RELEASES_MAX      4096 /* in the queue */

typedef struct
{
  struct cds_list_head node;
  Claim claim;
} PendingRelease;

struct ClaimReleaser
{
  Platform *platform;
  pthread_mutex_t lock;
  pthread_cond_t work;
  struct cds_list_head list;
  size_t count;
  bool stopping;
  pthread_t thread;
};

static void *releaser_thread (void *argument);

/* Marks the row as released instead of deleting it: a delayed insert of this attempt then finds the
 * row and changes nothing, while after a deletion it would create a claim that no attempt owns. The
 * check of the version that was read with our nonce protects the row of a later attempt. An absent
 * row (version 0) is marked too. */
static StatusCode
mark_released (Platform *platform, const Claim *claim, int64_t version, Status *st)
{
  char *text = claim_row_text (claim, CLAIM_RELEASED);
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = CLAIM_TABLE, .key = claim->key, .version = version },
    { .kind = TXN_PUT, .table = CLAIM_TABLE, .key = claim->key, .value = text },
  };
  StatusCode code = platform->ops->txn (platform, ops, 2, TIMEOUT_MS, st);

  txn_ops_clear (ops, 2);
  free (text);
  return code;
}

/* True if the row has to be marked: it contains this attempt's claim, or a delayed write of this
 * attempt could still put the claim there. Such a write is an insert (the row is absent) or a
 * take-over (the row was released by an earlier attempt); after the mark neither has an effect. */
static bool
needs_mark (const PlatformRow *row, const Claim *claim)
{
  ClaimRow parsed;
  bool ours;
  bool needed = false;

  if (row->version == 0)
    return true;
  if (claim_row_parse (row->value, &parsed))
    {
      ours = strcmp (parsed.nonce, claim->nonce) == 0;
      INVARIANT (!ours || parsed.state != CLAIM_SETTLED,
                 "release of a claim whose request ran, key=\"%s\"", claim->key);
      needed = ours ? parsed.state == CLAIM_STARTED : parsed.state == CLAIM_RELEASED;
    }
  claim_row_clear (&parsed);
  return needed;
}

StatusCode
claim_release (Platform *platform, const Claim *claim, Status *st)
{
  Status local = { .code = STATUS_OK };
  StatusCode code = STATUS_UNAVAILABLE;

  if (st == NULL)
    st = &local;
  for (int i = 0; i < TRIES_MAX; i++)
    {
      PlatformRow row = { .key = NULL };
      bool needed;

      code = platform->ops->get (platform, CLAIM_TABLE, claim->key, TIMEOUT_MS, &row, st);
      if (code != STATUS_OK)
        return code;
      needed = needs_mark (&row, claim);
      if (needed)
        code = mark_released (platform, claim, row.version, st);
      platform_row_clear (&row);
      if (!needed || code == STATUS_OK)
        {
          counter_add (COUNTER_CLAIM_RELEASED, 1);
          return status_ok (st);
        }
    }
  return code;
}

ClaimReleaser *
claim_releaser_new (Platform *platform)
{
  ClaimReleaser *releaser = memory_alloc (sizeof *releaser);
  int rc;

  releaser->platform = platform;
  CDS_INIT_LIST_HEAD (&releaser->list);
  pthread_mutex_init (&releaser->lock, NULL);
  wait_init (&releaser->work);
  rc = pthread_create (&releaser->thread, NULL, releaser_thread, releaser);
  INVARIANT (rc == 0, "pthread_create: %s", strerror (rc));
  return releaser;
}

void
claim_releaser_add (ClaimReleaser *releaser, const Claim *claim)
{
  PendingRelease *release;
  bool room;

  pthread_mutex_lock (&releaser->lock);
  room = releaser->count < RELEASES_MAX;
  if (room)
    {
      release = memory_alloc (sizeof *release);
      release->claim = *claim;
      cds_list_add_tail (&release->node, &releaser->list);
      releaser->count++;
      pthread_cond_signal (&releaser->work);
    }
  pthread_mutex_unlock (&releaser->lock);
  if (!room)
    log_msg (MSG_CLAIM_RELEASES_FULL, NULL);
}

/* Tries to release the oldest claim of the queue. Called with the lock held, releases it during the
 * I/O. False if the release failed. */
static bool
release_first (ClaimReleaser *releaser)
{
  PendingRelease *release = cds_list_first_entry (&releaser->list, PendingRelease, node);
  StatusCode code;

  pthread_mutex_unlock (&releaser->lock);
  code = claim_release (releaser->platform, &release->claim, NULL);
  pthread_mutex_lock (&releaser->lock);
  if (code != STATUS_OK)
    return false;
  cds_list_del (&release->node);
  releaser->count--;
  free (release);
  return true;
}

static void *
releaser_thread (void *argument)
{
  ClaimReleaser *releaser = argument;

  pthread_mutex_lock (&releaser->lock);
  while (!releaser->stopping)
    {
      if (releaser->count == 0)
        pthread_cond_wait (&releaser->work, &releaser->lock);
      else if (!release_first (releaser) && !releaser->stopping)
        wait_ms (&releaser->work, &releaser->lock, RETRY_INTERVAL_MS);
    }
  pthread_mutex_unlock (&releaser->lock);
  return NULL;
}

size_t
claim_releaser_free (ClaimReleaser *releaser)
{
  PendingRelease *release, *next;
  size_t left;

  if (releaser == NULL)
    return 0;
  pthread_mutex_lock (&releaser->lock);
  releaser->stopping = true;
  pthread_cond_signal (&releaser->work);
  pthread_mutex_unlock (&releaser->lock);
  pthread_join (releaser->thread, NULL);
  pthread_mutex_lock (&releaser->lock);
  while (releaser->count > 0 && release_first (releaser))
    continue;
  pthread_mutex_unlock (&releaser->lock);
  left = releaser->count;
  cds_list_for_each_entry_safe (release, next, &releaser->list, node) free (release);
  pthread_cond_destroy (&releaser->work);
  pthread_mutex_destroy (&releaser->lock);
  free (releaser);
  return left;
}
