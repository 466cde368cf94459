#include "fake_link.h"
#include "util_assert.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define CALL_KINDS 8 /* bits of FakeCall, and CALL_COPY */

typedef struct
{
  Platform base;
  Platform *inner;
  pthread_mutex_t lock;
  LinkState states[CALL_KINDS];
  size_t calls;
  size_t kill_at;  /* number of the call at which the VM is killed; 0: none */
  bool kill_after; /* the call at which the VM is killed takes effect */
  bool dead;
  const char *rejected_key; /* NULL: none */
} FakeLink;

static FakeLink *
link_of (Platform *p)
{
  return (FakeLink *)p;
}

/* Counts a call and returns the state of the connection for it; kills the VM if this is the call at
 * which it is to be killed. */
static LinkState
next_state (FakeLink *link, unsigned call)
{
  LinkState state = LINK_UP;

  pthread_mutex_lock (&link->lock);
  link->calls++;
  for (int i = 0; i < CALL_KINDS; i++)
    if (call == 1U << i)
      state = link->states[i];
  if (link->dead)
    state = LINK_REFUSED;
  else if (link->calls == link->kill_at)
    {
      link->dead = true;
      if (state == LINK_UP)
        state = link->kill_after ? LINK_REPLY_LOST : LINK_CALL_LOST;
    }
  pthread_mutex_unlock (&link->lock);
  return state;
}

/* The code that the caller gets; code is the result of the inner platform. */
static StatusCode
reported_code (LinkState state, StatusCode code, Status *st)
{
  if (state == LINK_UP)
    return code;
  return status_set (st, state == LINK_REFUSED ? STATUS_UNAVAILABLE : STATUS_UNKNOWN, "link", NULL,
                     "cut");
}

static bool
has_effect (LinkState state)
{
  return state == LINK_UP || state == LINK_REPLY_LOST;
}

static bool
writes_rejected_key (const FakeLink *link, const TxnOp *ops, size_t count)
{
  for (size_t i = 0; link->rejected_key != NULL && i < count; i++)
    if (strcmp (ops[i].key, link->rejected_key) == 0)
      return true;
  return false;
}

/* The protocol does not define two writes of the same row in one transaction. */
static void
check_rows_differ (const TxnOp *ops, size_t count)
{
  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < i; j++)
      INVARIANT (ops[i].kind == TXN_CHECK || ops[j].kind == TXN_CHECK
                     || strcmp (ops[i].key, ops[j].key) != 0
                     || strcmp (ops[i].table, ops[j].table) != 0,
                 "two writes of key=\"%s\"", ops[i].key);
}

static StatusCode
link_txn (Platform *p, TxnOp *ops, size_t count, int timeout_ms, Status *st)
{
  FakeLink *link = link_of (p);
  LinkState state = next_state (link, CALL_TXN);
  StatusCode code = STATUS_OK;

  check_rows_differ (ops, count);
  if (state == LINK_UP && writes_rejected_key (link, ops, count))
    return status_set (st, STATUS_INVALID, "link", NULL, "malformed");
  if (has_effect (state))
    code = link->inner->ops->txn (link->inner, ops, count, timeout_ms, st);
  if (state == LINK_REPLY_LOST)
    txn_ops_clear (ops, count);
  return reported_code (state, code, st);
}

static StatusCode
link_get (Platform *p,
          const char *table,
          const char *key,
          int timeout_ms,
          PlatformRow *row,
          Status *st)
{
  FakeLink *link = link_of (p);
  LinkState state = next_state (link, CALL_GET);

  if (state != LINK_UP)
    return reported_code (LINK_REFUSED, STATUS_OK, st);
  return link->inner->ops->get (link->inner, table, key, timeout_ms, row, st);
}

static StatusCode
link_scan (Platform *p,
           const char *table,
           const char *from,
           const char *prefix,
           size_t limit,
           int timeout_ms,
           PlatformRows *rows,
           Status *st)
{
  FakeLink *link = link_of (p);
  LinkState state = next_state (link, CALL_SCAN);

  if (state != LINK_UP)
    return reported_code (LINK_REFUSED, STATUS_OK, st);
  return link->inner->ops->scan (link->inner, table, from, prefix, limit, timeout_ms, rows, st);
}

static StatusCode
link_object_put (Platform *p,
                 const char *name,
                 const void *data,
                 size_t len,
                 int timeout_ms,
                 Status *st)
{
  FakeLink *link = link_of (p);
  LinkState state = next_state (link, CALL_OBJECT_PUT);
  StatusCode code = STATUS_OK;

  if (has_effect (state))
    code = link->inner->ops->object_put (link->inner, name, data, len, timeout_ms, st);
  return reported_code (state, code, st);
}

static StatusCode
link_object_get (Platform *p, const char *name, int timeout_ms, Buffer *out, Status *st)
{
  FakeLink *link = link_of (p);
  LinkState state = next_state (link, CALL_OBJECT_GET);

  if (state != LINK_UP)
    return reported_code (LINK_REFUSED, STATUS_OK, st);
  return link->inner->ops->object_get (link->inner, name, timeout_ms, out, st);
}

static void
link_free (Platform *p)
{
  pthread_mutex_destroy (&link_of (p)->lock);
  free (p);
}

static const PlatformOps link_ops = {
  .txn = link_txn,
  .get = link_get,
  .scan = link_scan,
  .object_put = link_object_put,
  .object_get = link_object_get,
  .free = link_free,
};

Platform *
fake_link_new (Platform *inner)
{
  FakeLink *link = memory_alloc (sizeof *link);

  link->base.ops = &link_ops;
  link->inner = inner;
  pthread_mutex_init (&link->lock, NULL);
  return &link->base;
}

void
fake_link_set (Platform *p, unsigned calls, LinkState state)
{
  FakeLink *link = link_of (p);

  pthread_mutex_lock (&link->lock);
  for (int i = 0; i < CALL_KINDS; i++)
    if (calls & 1U << i)
      link->states[i] = state;
  pthread_mutex_unlock (&link->lock);
}

void
fake_link_kill_at (Platform *p, size_t n, bool after_effect)
{
  FakeLink *link = link_of (p);

  pthread_mutex_lock (&link->lock);
  link->kill_at = link->calls + n;
  link->kill_after = after_effect;
  pthread_mutex_unlock (&link->lock);
}

void
fake_link_kill (Platform *p)
{
  FakeLink *link = link_of (p);

  pthread_mutex_lock (&link->lock);
  link->dead = true;
  pthread_mutex_unlock (&link->lock);
}

bool
fake_link_is_dead (Platform *p)
{
  FakeLink *link = link_of (p);
  bool dead;

  pthread_mutex_lock (&link->lock);
  dead = link->dead;
  pthread_mutex_unlock (&link->lock);
  return dead;
}

void
fake_link_reject_key (Platform *p, const char *key)
{
  FakeLink *link = link_of (p);

  pthread_mutex_lock (&link->lock);
  link->rejected_key = key;
  pthread_mutex_unlock (&link->lock);
}

LinkState
fake_link_call (Platform *p, unsigned call)
{
  return next_state (link_of (p), call);
}
