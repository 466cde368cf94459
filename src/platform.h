/**
 * Interface to the platform's services: a transactional table service, an object store, a rating
 * service and a list of VMs, which may be out of date. Each protocol of the platform implements
 * PlatformOps.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "util_buffer.h"
#include "util_status.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  TXN_CHECK,  /**< apply the transaction only if the row has this version; 0: the row is absent */
  TXN_PUT,    /**< insert or overwrite */
  TXN_INSERT, /**< insert if absent; an existing row is kept and does not fail the transaction */
  TXN_DELETE
} TxnOpKind;

typedef struct
{
  TxnOpKind kind;
  const char *table;
  const char *key;
  const char *value;   /**< a JSON text; for PUT and INSERT */
  int64_t version;     /**< for CHECK */
  bool inserted;       /**< result of INSERT: false if the row existed */
  int64_t row_version; /**< result: version of the row after the transaction */
  char *existing;      /**< result of INSERT: value of the existing row; freed by txn_ops_clear */
} TxnOp;

typedef struct
{
  char *key;
  char *value;
  int64_t version; /**< increases by one with each write; 0: the row is absent */
} PlatformRow;

typedef struct
{
  PlatformRow *rows;
  size_t count;
} PlatformRows;

typedef struct
{
  char *name;
  char *address;
  char *failure_domain;
  bool leaving;
} PlatformVm;

typedef struct
{
  PlatformVm *vms;
  size_t count;
} PlatformVms;

typedef struct Platform Platform;

/**
 * Operations of a platform. All calls are thread-safe and limited to timeout_ms.
 * STATUS_UNAVAILABLE: the service certainly did not apply the call; STATUS_UNKNOWN: it may have
 * applied it; STATUS_CONFLICT: a CHECK failed.
 */
typedef struct
{
  StatusCode (*txn) (Platform *p, TxnOp *ops, size_t count, int timeout_ms, Status *st);
  /** An absent row gives STATUS_OK with version 0 and value NULL. */
  StatusCode (*get) (Platform *p,
                     const char *table,
                     const char *key,
                     int timeout_ms,
                     PlatformRow *row,
                     Status *st);
  /** At most limit rows with key >= from (NULL: all keys) and, unless prefix is NULL, with that
   * prefix, in key order. */
  StatusCode (*scan) (Platform *p,
                      const char *table,
                      const char *from,
                      const char *prefix,
                      size_t limit,
                      int timeout_ms,
                      PlatformRows *rows,
                      Status *st);
  StatusCode (*object_put) (Platform *p,
                            const char *name,
                            const void *data,
                            size_t len,
                            int timeout_ms,
                            Status *st);
  StatusCode (*object_get) (Platform *p, const char *name, int timeout_ms, Buffer *out, Status *st);
  StatusCode (*vm_list) (Platform *p, int timeout_ms, PlatformVms *out, Status *st);
  /** Rates the quality of an answer: sets *score between 0 (useless) and 1. */
  StatusCode (*rate) (Platform *p,
                      const char *quality_class,
                      const char *prompt,
                      const char *answer,
                      int timeout_ms,
                      double *score,
                      Status *st);
  void (*free) (Platform *p);
} PlatformOps;

struct Platform
{
  const PlatformOps *ops;
};

/** Client of the HTTP and JSON protocol in docs/PLATFORM.md. address is an IP address. */
Platform *platform_http_new (const char *address, int port);

void platform_free (Platform *p);
/** Frees the existing values of the results. */
void txn_ops_clear (TxnOp *ops, size_t count);
void platform_row_clear (PlatformRow *row);
void platform_rows_clear (PlatformRows *rows);
/** Sets from, where a scan began that gave at least one row, to where the next one begins: behind
 * the last of these rows. STATUS_UNAVAILABLE if that is no further, as the scans would never end.
 */
StatusCode platform_rows_next (const PlatformRows *rows, Buffer *from, Status *st);
void platform_vms_clear (PlatformVms *vms);

#endif
