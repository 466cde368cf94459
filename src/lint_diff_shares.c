/* Compares which share of a route's requests goes to which service. */
#include "lint_diff.h"
#include "util_buffer.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PERCENT      100
#define SHARE_EQUAL  1e-9
#define SHARE_FORMAT "%.4g%%"

typedef struct
{
  const char *service;
  double share; /* 0 to 1 */
} Share;

/* Sorted by service, each once. */
typedef struct
{
  unsigned count;
  Share *rows;
} Shares;

static void
shares_read (Shares *shares, const FrontRoute *route)
{
  LintIndex names = { 0 };
  double sum = 0;

  *shares = (Shares){ .rows = memory_array (route->target_count + 1, sizeof *shares->rows) };
  for (unsigned t = 0; t < route->target_count; t++)
    {
      lint_index_add (&names, route->targets[t].service, t, 0);
      sum += fmax (route->targets[t].weight, 0);
    }
  lint_index_sort (&names);
  for (unsigned i = 0; i < names.count; i++)
    {
      double weight = fmax (route->targets[names.rows[i].index].weight, 0);

      if (shares->count == 0
          || strcmp (shares->rows[shares->count - 1].service, names.rows[i].text) != 0)
        shares->rows[shares->count++].service = names.rows[i].text;
      if (sum > 0)
        shares->rows[shares->count - 1].share += weight / sum;
    }
  lint_index_free (&names);
}

char *
lint_diff_shares_text (const FrontRoute *route)
{
  Buffer text = { 0 };
  Shares shares;

  shares_read (&shares, route);
  for (unsigned i = 0; i < shares.count; i++)
    buffer_printf (&text, "%s%s " SHARE_FORMAT, i > 0 ? ", " : "", shares.rows[i].service,
                   PERCENT * shares.rows[i].share);
  free (shares.rows);
  return text.data;
}

/* The next service of either list in their common order, with its share in each. */
static const char *
next (Shares *before, Shares *after, double *old, double *new)
{
  int order = before->count == 0  ? 1
              : after->count == 0 ? -1
                                  : strcmp (before->rows->service, after->rows->service);
  const char *service = order <= 0 ? before->rows->service : after->rows->service;

  *old = *new = 0;
  if (order <= 0)
    {
      *old = before->rows->share;
      before->rows++;
      before->count--;
    }
  if (order >= 0)
    {
      *new = after->rows->share;
      after->rows++;
      after->count--;
    }
  return service;
}

void
lint_diff_shares (const FrontRoute *before,
                  const FrontRoute *after,
                  unsigned index,
                  LintReport *report)
{
  const LintPlace place = {
    .part = LINT_ROUTE,
    .index = index,
    .field = after->target_count > 1 ? LINT_TARGETS : LINT_TARGET_SERVICE,
  };
  Shares shares[2], left[2];

  shares_read (&shares[0], before);
  shares_read (&shares[1], after);
  left[0] = shares[0];
  left[1] = shares[1];
  while (left[0].count > 0 || left[1].count > 0)
    {
      double old, new;
      const char *service = next (&left[0], &left[1], &old, &new);

      if (fabs (old - new) > SHARE_EQUAL)
        lint_report_add_at (
            report, LINT_CHANGE, "share", &place,
            "route \"%s\": the share of service \"%s\" %s from " SHARE_FORMAT " to " SHARE_FORMAT,
            after->name, service, new > old ? "rises" : "falls", PERCENT * old, PERCENT * new);
    }
  free (shares[0].rows);
  free (shares[1].rows);
}
