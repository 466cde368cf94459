#include "front_budget.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define SLICES 40 /* per window; the limit is off by at most one slice's requests */

/* Share of the allowed retries that each use may take. The rest is kept for requests that would end
 * without an answer: if cascades could take all, the budget would be empty when a server stops
 * answering, and streams could not be resumed elsewhere. */
static const double use_shares[] = {
  [BUDGET_RETRY] = 1.0,
  [BUDGET_CASCADE] = 0.8,
  [BUDGET_HEDGE] = 0.5,
};

/* This front's share of the fixed allowance. It is at most that of one front in sixteen, so that
 * fronts that start together and know of no others yet stay within the limit in total; a tenth is
 * kept for fronts that restart within a window. With a fixed share, 300 fronts with 5 requests each
 * in a window were allowed 1.5 times the limit. */
#define EXTRA_SHARE_MAX 0.06
#define EXTRA_USABLE    0.9

/* Bounds of Retry-After in refusals, in milliseconds. After the minimum, other servers have taken
 * over a crashed server's work; the maximum is about a third of the time that callers wait. */
#define RETRY_AFTER_MIN_MS 250
#define RETRY_AFTER_MAX_MS 1500
/* Minimum of requests assumed besides the refused ones, so that a few refusals at first are no
 * overload. */
#define REQUESTS_MIN 10

typedef struct
{
  int64_t number; /* since the clock's start */
  unsigned requests;
  unsigned retries; /* additional sends, those of cascades and copies included */
  unsigned refused;
} Slice;

typedef struct
{
  struct cds_list_head node;
  char *service;
  Slice slices[SLICES];
} Entry;

struct FrontBudget
{
  struct cds_list_head list;
  BudgetSettings settings;
  double extra; /* this front's share of settings.extra */
};

FrontBudget *
front_budget_new (const BudgetSettings *settings)
{
  FrontBudget *budget = memory_alloc (sizeof *budget);

  CDS_INIT_LIST_HEAD (&budget->list);
  budget->settings = *settings;
  front_budget_set_fronts (budget, 1);
  return budget;
}

void
front_budget_set_fronts (FrontBudget *budget, unsigned fronts)
{
  budget->extra = budget->settings.extra * fmin (EXTRA_SHARE_MAX, EXTRA_USABLE / fronts);
}

void
front_budget_free (FrontBudget *budget)
{
  Entry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &budget->list, node)
  {
    free (entry->service);
    free (entry);
  }
  free (budget);
}

static Entry *
entry_of (FrontBudget *budget, const char *service)
{
  Entry *entry;

  cds_list_for_each_entry (entry, &budget->list, node)
  {
    if (strcmp (entry->service, service) == 0)
      return entry;
  }
  entry = memory_alloc (sizeof *entry);
  entry->service = memory_strdup (service);
  cds_list_add_tail (&entry->node, &budget->list);
  return entry;
}

static int64_t
slice_number (const FrontBudget *budget, int64_t now_ms)
{
  return now_ms * SLICES / budget->settings.window_ms;
}

/* The current slice, cleared if it was last used in an earlier window. */
static Slice *
slice_now (const FrontBudget *budget, Entry *entry, int64_t now_ms)
{
  int64_t number = slice_number (budget, now_ms);
  Slice *slice = &entry->slices[number % SLICES];

  if (slice->number != number)
    *slice = (Slice){ .number = number };
  return slice;
}

static Slice
window_sum (const FrontBudget *budget, const Entry *entry, int64_t now_ms)
{
  int64_t number = slice_number (budget, now_ms);
  Slice sum = { 0 };

  for (unsigned i = 0; i < SLICES; i++)
    {
      const Slice *slice = &entry->slices[i];

      if (slice->number <= number - SLICES)
        continue;
      sum.requests += slice->requests;
      sum.retries += slice->retries;
      sum.refused += slice->refused;
    }
  return sum;
}

void
front_budget_count_request (FrontBudget *budget, const char *service, int64_t now_ms)
{
  slice_now (budget, entry_of (budget, service), now_ms)->requests++;
}

bool
front_budget_take (FrontBudget *budget, const char *service, BudgetUse use, int64_t now_ms)
{
  Entry *entry = entry_of (budget, service);
  Slice sum = window_sum (budget, entry, now_ms);
  double allowed = sum.requests * budget->settings.share + budget->extra;

  if (sum.retries + 1 > allowed * use_shares[use])
    return false;
  slice_now (budget, entry, now_ms)->retries++;
  return true;
}

int64_t
front_budget_count_refusal (FrontBudget *budget, const char *service, int64_t now_ms)
{
  Entry *entry = entry_of (budget, service);
  Slice sum;
  double all;

  slice_now (budget, entry, now_ms)->refused++;
  sum = window_sum (budget, entry, now_ms);
  all = sum.requests > sum.refused + REQUESTS_MIN ? sum.requests : sum.refused + REQUESTS_MIN;
  return RETRY_AFTER_MIN_MS
         + (int64_t)(sum.refused / all * (RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS));
}
