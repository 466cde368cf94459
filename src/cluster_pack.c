#include "cluster_state_private.h"

static uint8_t
packed_age (uint32_t age_ms)
{
  uint32_t units = age_ms / CLUSTER_AGE_UNIT_MS + (age_ms % CLUSTER_AGE_UNIT_MS != 0);

  return units < CLUSTER_AGE_SKIP ? (uint8_t)units : CLUSTER_AGE_SKIP;
}

/* Returns the news of that member or NULL. News is in the order of the view's members, so the
   search starts at *from, after the previous match. */
static ClusterNews *
find_news (ClusterHeartbeat *h, uint64_t incarnation, size_t *from)
{
  for (size_t i = *from; i < h->news_count; i++)
    if (h->news[i].incarnation == incarnation)
      {
        *from = i + 1;
        return &h->news[i];
      }
  return NULL;
}

/* A packed age means that the member has the number and view of the sender, so only news with
   exactly these values can be packed. */
static bool
can_pack (const ClusterHeartbeat *h, const ClusterNews *n)
{
  return n != NULL && n->number == h->number && n->view == h->view
         && packed_age (n->age_ms) != CLUSTER_AGE_SKIP;
}

static void
drop_packed (ClusterHeartbeat *h)
{
  size_t kept = 0;

  for (size_t i = 0; i < h->news_count; i++)
    if (h->news[i].incarnation != 0)
      h->news[kept++] = h->news[i];
  h->news_count = kept;
}

void
cluster_heartbeat_pack (const ClusterState *s, ClusterHeartbeat *h)
{
  size_t from = 0;

  if (s->view.number == 0)
    return;
  h->ages_view = s->view.number;
  h->ages_count = s->view.count;
  for (size_t i = 0; i < s->view.count; i++)
    {
      ClusterNews *n = find_news (h, s->view.members[i].incarnation, &from);
      h->ages[i] = CLUSTER_AGE_SKIP;
      if (!can_pack (h, n))
        continue;
      h->ages[i] = packed_age (n->age_ms);
      n->incarnation = 0;
    }
  drop_packed (h);
}
