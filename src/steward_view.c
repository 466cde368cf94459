#include "steward_view.h"
#include "util_assert.h"
#include <stdio.h>
#include <stdlib.h>

#define NUMBER_SIZE 24

StatusCode
steward_view_read (Platform *p, int timeout_ms, StewardViewRow *row, Status *st)
{
  PlatformRow found = { 0 };
  CheckList list = { .file = "cluster_view/view" };
  StatusCode code = p->ops->get (p, "cluster_view", "view", timeout_ms, &found, st);

  row->known = false;
  if (code != STATUS_OK)
    return code;
  row->version = found.version;
  if (found.version == 0)
    row->view = (ClusterView){ 0 };
  else if (!cluster_view_parse (found.value, &row->view, &list))
    code = status_set (st, STATUS_INVALID, "view.read", NULL, "%s", list.text.data);
  row->known = code == STATUS_OK;
  check_free (&list);
  platform_row_clear (&found);
  return code;
}

StatusCode
steward_view_write (Platform *p,
                    int timeout_ms,
                    StewardViewRow *row,
                    const StewardHead *head,
                    const ClusterView *next,
                    const StewardAuditEntry *audit,
                    Status *st)
{
  char *text = cluster_view_text (next);
  StewardAuditRow trail;
  StatusCode code;

  INVARIANT (row->known && next->number == row->view.number + 1, "view=\"%lld\" next=\"%lld\"",
             (long long)row->view.number, (long long)next->number);
  steward_audit_row (audit, &trail);
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = "cluster_view", .key = "view", .version = row->version },
    { .kind = TXN_CHECK, .table = "config_head", .key = "head", .version = head->version },
    { .kind = TXN_PUT, .table = "cluster_view", .key = "view", .value = text },
    steward_audit_op (&trail),
  };
  code = p->ops->txn (p, ops, sizeof ops / sizeof *ops, timeout_ms, st);
  row->known = code == STATUS_OK;
  if (code == STATUS_OK)
    {
      row->view = *next;
      row->version = ops[2].row_version;
    }
  txn_ops_clear (ops, sizeof ops / sizeof *ops);
  steward_audit_row_clear (&trail);
  free (text);
  return code;
}

StatusCode
steward_view_accept (Platform *p,
                     int timeout_ms,
                     const StewardViewRow *row,
                     StewardHead *head,
                     int64_t number,
                     const char *who,
                     Status *st)
{
  char from[NUMBER_SIZE], to[NUMBER_SIZE];
  char *text = steward_head_text (head->number, number);
  StewardAuditRow trail;
  StatusCode code;

  INVARIANT (row->known && number > head->accepted && number <= head->number,
             "number=\"%lld\" accepted=\"%lld\" head=\"%lld\"", (long long)number,
             (long long)head->accepted, (long long)head->number);
  snprintf (from, sizeof from, "%lld", (long long)head->accepted);
  snprintf (to, sizeof to, "%lld", (long long)number);
  steward_audit_row (&(StewardAuditEntry){ .who = who, .action = "accept", .from = from, .to = to },
                     &trail);
  TxnOp ops[] = {
    { .kind = TXN_CHECK, .table = "cluster_view", .key = "view", .version = row->version },
    { .kind = TXN_CHECK, .table = "config_head", .key = "head", .version = head->version },
    { .kind = TXN_PUT, .table = "config_head", .key = "head", .value = text },
    steward_audit_op (&trail),
  };
  code = p->ops->txn (p, ops, sizeof ops / sizeof *ops, timeout_ms, st);
  if (code == STATUS_OK)
    {
      head->accepted = number;
      head->version = ops[2].row_version;
    }
  txn_ops_clear (ops, sizeof ops / sizeof *ops);
  steward_audit_row_clear (&trail);
  free (text);
  return code;
}
