#include "steward_suspicion.h"
#include <stdio.h>
#include <string.h>

/* The silence of a single VM says nothing about its failure domain. */
#define DOMAIN_MEMBERS_MIN 2

const char *
steward_suspect_name (StewardSuspect kind)
{
  static const char *const names[] = { [STEWARD_SUSPECT_NONE] = "none",
                                       [STEWARD_SUSPECT_MEMBERS] = "members",
                                       [STEWARD_SUSPECT_DOMAIN] = "failure_domain",
                                       [STEWARD_SUSPECT_SELF] = "self" };

  return names[kind];
}

/** Members of one failure domain, without this one. */
typedef struct
{
  size_t members;
  size_t silent;
} DomainCount;

static DomainCount
count_domain (const ClusterView *view, const bool *silent, int self, const char *domain)
{
  DomainCount count = { 0 };

  for (size_t i = 0; i < view->count; i++)
    {
      if ((int)i == self || strcmp (view->members[i].failure_domain, domain) != 0)
        continue;
      count.members++;
      count.silent += silent[i];
    }
  return count;
}

/* True if all members of the domain are silent, and they are more than all other silent members
   together. */
static bool
is_silent_domain (const ClusterView *view,
                  const bool *silent,
                  int self,
                  const char *domain,
                  size_t silent_in_all)
{
  DomainCount count = count_domain (view, silent, self, domain);

  return count.members >= DOMAIN_MEMBERS_MIN && count.silent == count.members
         && 2 * count.silent > silent_in_all;
}

static void
count_all (const ClusterView *view, const bool *silent, int self, StewardSuspicion *out)
{
  for (size_t i = 0; i < view->count; i++)
    {
      if ((int)i == self)
        continue;
      out->others++;
      out->silent += silent[i];
    }
}

/* When most members are silent at once, the likely cause is their common path to this VM: this VM
   is cut off or was paused, or the platform's network has failed. */
StewardSuspicion
steward_suspicion_classify (const ClusterView *view, const bool *silent, int self)
{
  StewardSuspicion s = { 0 };

  count_all (view, silent, self, &s);
  if (s.silent == 0)
    return s;
  s.kind = STEWARD_SUSPECT_MEMBERS;
  if (s.others > 1 && 2 * s.silent > s.others)
    {
      s.kind = STEWARD_SUSPECT_SELF;
      return s;
    }
  for (size_t i = 0; i < view->count; i++)
    {
      const char *domain = view->members[i].failure_domain;
      if ((int)i == self || !silent[i] || !is_silent_domain (view, silent, self, domain, s.silent))
        continue;
      s.kind = STEWARD_SUSPECT_DOMAIN;
      snprintf (s.failure_domain, sizeof s.failure_domain, "%s", domain);
      break;
    }
  return s;
}
