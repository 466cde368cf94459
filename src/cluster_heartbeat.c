#include "cluster_state.h"
#include "cluster_state_private.h"
#include "util_assert.h"

static void
fill_own (const ClusterState *s, ClusterHeartbeat *h)
{
  const ClusterProgress *own = cluster_state_own (s);

  h->incarnation = s->incarnation;
  h->view = own->view;
  h->number = own->number;
  h->accepted = s->accepted;
  h->ages_view = 0;
  h->ages_count = 0;
  h->news_count = 0;
}

static uint32_t
age_at (const ClusterState *s, int64_t as_of, int64_t now)
{
  if (as_of == CLUSTER_NEVER || now - as_of > s->grant_ms)
    return CLUSTER_AGE_UNKNOWN;
  return as_of < now ? (uint32_t)(now - as_of) : 0;
}

static void
add_news (const ClusterState *s, uint64_t incarnation, int64_t now, ClusterHeartbeat *h)
{
  const ClusterProgress *k = cluster_progress_find (&s->progress, incarnation);

  if (k == NULL || incarnation == s->incarnation || h->news_count == CLUSTER_MEMBERS_MAX)
    return;
  h->news[h->news_count++] = (ClusterNews){ .incarnation = k->incarnation,
                                            .number = k->number,
                                            .view = k->view,
                                            .age_ms = age_at (s, k->as_of, now) };
}

static void
fill_news (const ClusterState *s, int64_t now, ClusterHeartbeat *h)
{
  for (size_t i = 0; i < s->view.count; i++)
    add_news (s, s->view.members[i].incarnation, now, h);
  /* Members that a pending view no longer contains still vote until it is established. */
  for (size_t i = 0; i < s->dropped_count; i++)
    add_news (s, s->dropped[i], now, h);
}

void
cluster_state_make_ask (ClusterState *s, uint64_t nonce, int64_t now, ClusterHeartbeat *ask)
{
  INVARIANT (nonce != 0, "a nonce is never 0");
  s->asks[nonce % CLUSTER_ASKS_MAX] = (ClusterAsk){ .nonce = nonce, .sent_at = now };
  ask->nonce = nonce;
  /* An ask may have been in transit for any time, so that it proves nothing about the present: news
     of other members in it would only cost bytes. */
  fill_own (s, ask);
}

static void
merge_bounds (ClusterState *s, const ClusterHeartbeat *h)
{
  if (h->accepted > s->accepted)
    s->accepted = h->accepted;
  if (h->accepted > s->wanted_number)
    s->wanted_number = h->accepted;
  cluster_state_merge (s, h->incarnation, h->number, h->view, CLUSTER_NEVER);
}

bool
cluster_state_handle_ask (ClusterState *s,
                          const ClusterHeartbeat *ask,
                          int64_t now,
                          ClusterHeartbeat *answer)
{
  merge_bounds (s, ask);
  if (s->leaving)
    return false;
  answer->nonce = ask->nonce;
  fill_own (s, answer);
  fill_news (s, now, answer);
  return true;
}

/* as_of of relayed news, on our clock. It was an upper bound age_ms before the answer was made, by
   the sender's clock, and the answer was made after our ask was sent. Both clocks truncate to
   milliseconds and drift apart. */
static int64_t
relayed_as_of (int64_t sent_at, uint32_t age_ms)
{
  int64_t age = (int64_t)age_ms + 1;
  int64_t drift = (age + CLUSTER_DRIFT_PARTS - 1) / CLUSTER_DRIFT_PARTS;

  return sent_at - age - drift;
}

static void
merge_news (ClusterState *s, const ClusterHeartbeat *h, int64_t sent_at)
{
  for (size_t i = 0; i < h->news_count; i++)
    {
      const ClusterNews *n = &h->news[i];
      int64_t as_of = CLUSTER_NEVER;
      if (sent_at != CLUSTER_NEVER && n->age_ms != CLUSTER_AGE_UNKNOWN)
        as_of = relayed_as_of (sent_at, n->age_ms);
      cluster_state_merge (s, n->incarnation, n->number, n->view, as_of);
    }
}

/* Packed ages are indexed as the members of a view; they are ignored if we have another view. */
static void
merge_ages (ClusterState *s, const ClusterHeartbeat *h, int64_t sent_at)
{
  if (h->ages_view == 0 || h->ages_view != s->view.number || h->ages_count > s->view.count)
    return;
  for (size_t i = 0; i < h->ages_count; i++)
    {
      if (h->ages[i] == CLUSTER_AGE_SKIP)
        continue;
      int64_t as_of = CLUSTER_NEVER;
      if (sent_at != CLUSTER_NEVER)
        as_of = relayed_as_of (sent_at, (uint32_t)h->ages[i] * CLUSTER_AGE_UNIT_MS);
      cluster_state_merge (s, s->view.members[i].incarnation, h->number, h->view, as_of);
    }
}

bool
cluster_state_handle_answer (ClusterState *s, const ClusterHeartbeat *answer, int64_t now)
{
  const ClusterAsk *ask = &s->asks[answer->nonce % CLUSTER_ASKS_MAX];
  bool known = answer->nonce != 0 && ask->nonce == answer->nonce && ask->sent_at <= now;
  /* The only known bound on the time of the answer is that it was made after our ask was sent. If
     it counted from its receipt, an answer that was delayed for a minute would seem recent. */
  int64_t sent_at = known ? ask->sent_at : CLUSTER_NEVER;

  merge_bounds (s, answer);
  cluster_state_merge (s, answer->incarnation, answer->number, answer->view, sent_at);
  merge_news (s, answer, sent_at);
  merge_ages (s, answer, sent_at);
  return known;
}
