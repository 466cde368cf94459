#include "front_budget.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/* Milliseconds. What a caller is told when its request is given up: long enough for a crashed
 * server's work to have found its way elsewhere, and well within the time that callers wait. */
#define COME_BACK_MS      250
#define COME_BACK_MOST_MS 1500
#define HALF_LIFE_MS      3000
#define ATTEMPTS_MAX      16 /* the route's own bound is lower and checked by the request */

typedef struct
{
  struct cds_list_head node;
  char *service;
  RetryBudget *budget;
} Entry;

struct FrontBudget
{
  struct cds_list_head list;
  RetrySettings settings;
};

FrontBudget *
front_budget_new (double share, double burst)
{
  FrontBudget *budget = memory_alloc (sizeof *budget);

  CDS_INIT_LIST_HEAD (&budget->list);
  budget->settings = (RetrySettings){
    .fraction = share,
    .burst = burst,
    .attempts_max = ATTEMPTS_MAX,
    .come_back_ms = COME_BACK_MS,
    .come_back_most_ms = COME_BACK_MOST_MS,
    .half_life_ms = HALF_LIFE_MS,
  };
  return budget;
}

void
front_budget_free (FrontBudget *budget)
{
  Entry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &budget->list, node)
  {
    retry_budget_free (entry->budget);
    free (entry->service);
    free (entry);
  }
  free (budget);
}

RetryBudget *
front_budget_of (FrontBudget *budget, const char *service)
{
  Entry *entry;

  cds_list_for_each_entry (entry, &budget->list, node)
  {
    if (strcmp (entry->service, service) == 0)
      return entry->budget;
  }
  entry = memory_alloc (sizeof *entry);
  entry->service = memory_strdup (service);
  entry->budget = retry_budget_new (&budget->settings);
  cds_list_add_tail (&entry->node, &budget->list);
  return entry->budget;
}
