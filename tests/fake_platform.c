#include "fake_platform.h"
#include "fake_table.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define CALL_KINDS 7             /* bits of FakeCall */
#define OBJECTS    "\001objects" /* table that holds the object store */

/* A transaction that met FAULT_SLOW and is applied by fake_platform_late_effects. */
typedef struct
{
  TxnOp *ops;
  size_t count;
} LateTxn;

typedef struct
{
  char *text;
  double score;
} FakeScore;

typedef struct
{
  Platform base;
  pthread_mutex_t lock;
  FakeTable table;
  LateTxn *late;
  size_t late_count;
  PlatformVms vms;
  FakeScore *scores;
  size_t score_count;
  FakeFault fault;
  unsigned fault_calls; /* kinds of calls that the fault applies to */
  unsigned fault_left;  /* calls until the fault ends; 0: unlimited */
  size_t calls[CALL_KINDS];
  void (*hook) (void *context, FakeCall call);
  void *hook_context;
} FakePlatform;

static FakePlatform *
fake_of (Platform *p)
{
  return (FakePlatform *)p;
}

static void
add_late_txn (FakePlatform *f, const TxnOp *ops, size_t count)
{
  f->late = memory_grow (f->late, f->late_count + 1, sizeof *f->late);
  f->late[f->late_count++] = (LateTxn){ fake_table_copy_ops (ops, count), count };
}

/* Counts a call, runs the hook, takes the lock and returns the fault that applies to the call. */
static FakeFault
call_begin (FakePlatform *f, FakeCall call)
{
  pthread_mutex_lock (&f->lock);
  void (*hook) (void *, FakeCall) = f->hook;
  void *context = f->hook_context;
  pthread_mutex_unlock (&f->lock);
  if (hook)
    hook (context, call);
  pthread_mutex_lock (&f->lock);
  for (unsigned i = 0; i < CALL_KINDS; i++)
    if (call == 1U << i)
      f->calls[i]++;
  if (f->fault == FAULT_NONE || !(f->fault_calls & call))
    return FAULT_NONE;
  FakeFault fault = f->fault;
  if (f->fault_left && --f->fault_left == 0)
    f->fault = FAULT_NONE;
  return fault;
}

static StatusCode
call_end (FakePlatform *f, StatusCode code, const char *step, Status *st)
{
  pthread_mutex_unlock (&f->lock);
  if (code == STATUS_OK)
    return status_ok (st);
  return status_set (st, code, step, "fake", "%s", status_code_name (code));
}

static StatusCode
fake_txn (Platform *p, TxnOp *ops, size_t count, int timeout_ms, Status *st)
{
  (void)timeout_ms;
  FakePlatform *f = fake_of (p);
  StatusCode code = STATUS_OK;
  for (size_t i = 0; i < count; i++)
    ops[i].existing = NULL;
  FakeFault fault = call_begin (f, CALL_TXN);
  if (fault == FAULT_DOWN)
    return call_end (f, STATUS_UNAVAILABLE, "platform.txn", st);
  if (fault == FAULT_SLOW)
    add_late_txn (f, ops, count);
  if (fault == FAULT_SLOW || fault == FAULT_LOSE_CALL)
    return call_end (f, STATUS_UNKNOWN, "platform.txn", st);
  if (!fake_table_apply (&f->table, ops, count))
    code = STATUS_CONFLICT;
  if (fault == FAULT_LOSE_REPLY)
    {
      txn_ops_clear (ops, count);
      code = STATUS_UNKNOWN;
    }
  return call_end (f, code, "platform.txn", st);
}

static void
row_copy (const FakeRow *from, PlatformRow *to)
{
  to->key = memory_strdup (from->key);
  to->value = memory_strdup (from->value);
  to->version = from->version;
}

static StatusCode
fake_get (Platform *p,
          const char *table,
          const char *key,
          int timeout_ms,
          PlatformRow *row,
          Status *st)
{
  (void)timeout_ms;
  FakePlatform *f = fake_of (p);
  *row = (PlatformRow){ 0 };
  if (call_begin (f, CALL_GET) != FAULT_NONE)
    return call_end (f, STATUS_UNAVAILABLE, "platform.get", st);
  const FakeRow *found = fake_table_find (&f->table, table, key);
  if (found)
    row_copy (found, row);
  return call_end (f, STATUS_OK, "platform.get", st);
}

static StatusCode
fake_scan (Platform *p,
           const char *table,
           const char *from,
           const char *prefix,
           size_t limit,
           int timeout_ms,
           PlatformRows *rows,
           Status *st)
{
  (void)timeout_ms;
  FakePlatform *f = fake_of (p);
  *rows = (PlatformRows){ 0 };
  if (call_begin (f, CALL_SCAN) != FAULT_NONE)
    return call_end (f, STATUS_UNAVAILABLE, "platform.scan", st);
  for (size_t i = fake_table_lower (&f->table, table, from ? from : ""); i < f->table.count; i++)
    {
      const FakeRow *row = &f->table.rows[i];
      if (strcmp (row->table, table) != 0 || rows->count == limit)
        break;
      if (prefix && strncmp (row->key, prefix, strlen (prefix)) != 0)
        continue;
      rows->rows = memory_grow (rows->rows, rows->count + 1, sizeof *rows->rows);
      row_copy (row, &rows->rows[rows->count++]);
    }
  return call_end (f, STATUS_OK, "platform.scan", st);
}

static StatusCode
fake_object_put (Platform *p,
                 const char *name,
                 const void *data,
                 size_t len,
                 int timeout_ms,
                 Status *st)
{
  (void)timeout_ms;
  FakePlatform *f = fake_of (p);
  FakeFault fault = call_begin (f, CALL_OBJECT_PUT);
  if (fault == FAULT_DOWN)
    return call_end (f, STATUS_UNAVAILABLE, "platform.object_put", st);
  if (fault != FAULT_LOSE_CALL)
    fake_table_put (&f->table, OBJECTS, name, data, len);
  return call_end (f, fault == FAULT_NONE ? STATUS_OK : STATUS_UNKNOWN, "platform.object_put", st);
}

static StatusCode
fake_object_get (Platform *p, const char *name, int timeout_ms, Buffer *out, Status *st)
{
  (void)timeout_ms;
  FakePlatform *f = fake_of (p);
  if (call_begin (f, CALL_OBJECT_GET) != FAULT_NONE)
    return call_end (f, STATUS_UNAVAILABLE, "platform.object_get", st);
  const FakeRow *row = fake_table_find (&f->table, OBJECTS, name);
  if (row)
    buffer_add (out, row->value, row->len);
  return call_end (f, row ? STATUS_OK : STATUS_NOT_FOUND, "platform.object_get", st);
}

static void
vm_copy (const PlatformVm *from, PlatformVm *to)
{
  *to = (PlatformVm){ .name = memory_strdup (from->name),
                      .address = memory_strdup (from->address),
                      .failure_domain = memory_strdup (from->failure_domain),
                      .leaving = from->leaving };
}

static StatusCode
fake_vm_list (Platform *p, int timeout_ms, PlatformVms *out, Status *st)
{
  (void)timeout_ms;
  FakePlatform *f = fake_of (p);
  *out = (PlatformVms){ 0 };
  if (call_begin (f, CALL_VM_LIST) != FAULT_NONE)
    return call_end (f, STATUS_UNAVAILABLE, "platform.vm_list", st);
  out->vms = memory_array (f->vms.count, sizeof *out->vms);
  for (; out->count < f->vms.count; out->count++)
    vm_copy (&f->vms.vms[out->count], &out->vms[out->count]);
  return call_end (f, STATUS_OK, "platform.vm_list", st);
}

static StatusCode
fake_rate (Platform *p,
           const char *quality_class,
           const char *prompt,
           const char *answer,
           int timeout_ms,
           double *score,
           Status *st)
{
  (void)timeout_ms;
  (void)quality_class;
  (void)prompt;
  FakePlatform *f = fake_of (p);
  if (call_begin (f, CALL_RATE) != FAULT_NONE)
    return call_end (f, STATUS_UNAVAILABLE, "platform.rate", st);
  *score = 1;
  for (size_t i = 0; i < f->score_count; i++)
    if (strstr (answer, f->scores[i].text))
      {
        *score = f->scores[i].score;
        break;
      }
  return call_end (f, STATUS_OK, "platform.rate", st);
}

static void
fake_free (Platform *p)
{
  FakePlatform *f = fake_of (p);
  fake_table_clear (&f->table);
  for (size_t i = 0; i < f->late_count; i++)
    fake_table_free_ops (f->late[i].ops, f->late[i].count);
  for (size_t i = 0; i < f->score_count; i++)
    free (f->scores[i].text);
  platform_vms_clear (&f->vms);
  pthread_mutex_destroy (&f->lock);
  free (f->late);
  free (f->scores);
  free (f);
}

static const PlatformOps fake_ops = { .txn = fake_txn,
                                      .get = fake_get,
                                      .scan = fake_scan,
                                      .object_put = fake_object_put,
                                      .object_get = fake_object_get,
                                      .vm_list = fake_vm_list,
                                      .rate = fake_rate,
                                      .free = fake_free };

Platform *
fake_platform_new (void)
{
  FakePlatform *f = memory_alloc (sizeof *f);
  f->base.ops = &fake_ops;
  pthread_mutex_init (&f->lock, NULL);
  return &f->base;
}

void
fake_platform_fault (Platform *p, FakeFault fault, unsigned calls, unsigned count)
{
  FakePlatform *f = fake_of (p);
  pthread_mutex_lock (&f->lock);
  f->fault = fault;
  f->fault_calls = calls;
  f->fault_left = count;
  pthread_mutex_unlock (&f->lock);
}

size_t
fake_platform_late_effects (Platform *p)
{
  FakePlatform *f = fake_of (p);
  size_t committed = 0;
  pthread_mutex_lock (&f->lock);
  for (size_t i = 0; i < f->late_count; i++)
    {
      committed += fake_table_apply (&f->table, f->late[i].ops, f->late[i].count);
      fake_table_free_ops (f->late[i].ops, f->late[i].count);
    }
  f->late_count = 0;
  pthread_mutex_unlock (&f->lock);
  return committed;
}

void
fake_platform_hook (Platform *p, void (*hook) (void *context, FakeCall call), void *context)
{
  FakePlatform *f = fake_of (p);
  pthread_mutex_lock (&f->lock);
  f->hook = hook;
  f->hook_context = context;
  pthread_mutex_unlock (&f->lock);
}

size_t
fake_platform_calls (Platform *p, unsigned calls)
{
  FakePlatform *f = fake_of (p);
  size_t n = 0;
  pthread_mutex_lock (&f->lock);
  for (unsigned i = 0; i < CALL_KINDS; i++)
    if (calls & (1U << i))
      n += f->calls[i];
  pthread_mutex_unlock (&f->lock);
  return n;
}

size_t
fake_platform_rows (Platform *p, const char *table)
{
  FakePlatform *f = fake_of (p);
  size_t n = 0;
  pthread_mutex_lock (&f->lock);
  for (size_t i = 0; i < f->table.count; i++)
    n += strcmp (f->table.rows[i].table, table) == 0;
  pthread_mutex_unlock (&f->lock);
  return n;
}

static PlatformVm *
vm_find (const FakePlatform *f, const char *name)
{
  for (size_t i = 0; i < f->vms.count; i++)
    if (strcmp (f->vms.vms[i].name, name) == 0)
      return &f->vms.vms[i];
  return NULL;
}

static void
vm_remove (FakePlatform *f, const char *name)
{
  PlatformVm *vm = vm_find (f, name);
  if (!vm)
    return;
  free (vm->name);
  free (vm->address);
  free (vm->failure_domain);
  *vm = f->vms.vms[--f->vms.count];
}

void
fake_platform_vm (Platform *p,
                  const char *name,
                  const char *address,
                  const char *failure_domain,
                  bool leaving)
{
  FakePlatform *f = fake_of (p);
  PlatformVm vm = { (char *)name, (char *)address, (char *)failure_domain, leaving };
  pthread_mutex_lock (&f->lock);
  vm_remove (f, name);
  f->vms.vms = memory_grow (f->vms.vms, f->vms.count + 1, sizeof vm);
  vm_copy (&vm, &f->vms.vms[f->vms.count++]);
  pthread_mutex_unlock (&f->lock);
}

void
fake_platform_vm_remove (Platform *p, const char *name)
{
  FakePlatform *f = fake_of (p);
  pthread_mutex_lock (&f->lock);
  vm_remove (f, name);
  pthread_mutex_unlock (&f->lock);
}

void
fake_platform_score (Platform *p, const char *text, double score)
{
  FakePlatform *f = fake_of (p);
  pthread_mutex_lock (&f->lock);
  f->scores = memory_grow (f->scores, f->score_count + 1, sizeof *f->scores);
  f->scores[f->score_count++] = (FakeScore){ memory_strdup (text), score };
  pthread_mutex_unlock (&f->lock);
}
