#include "steps.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

bool
steps_reaches (const StepsSite *site, unsigned from, unsigned to)
{
  return site->conditions.partition[from] == site->conditions.partition[to];
}

static size_t
heartbeat_size (const ClusterHeartbeat *h)
{
  return offsetof (ClusterHeartbeat, news) + h->news_count * sizeof h->news[0];
}

static void
add_message (StepsSite *site, unsigned from, unsigned to, bool is_answer, const ClusterHeartbeat *h)
{
  /* If all places are in use the message replaces a random other one, which is lost. */
  StepsMessage *m = &site->messages[steps_random (site, STEPS_MESSAGES)];

  for (size_t i = 0; i < STEPS_MESSAGES; i++)
    if (!site->messages[i].used)
      m = &site->messages[i];
  m->used = true;
  m->is_answer = is_answer;
  m->from = from;
  m->to = to;
  m->due = site->now + (int64_t)steps_random (site, (unsigned long)site->conditions.delay_max + 1);
  memcpy (&m->heartbeat, h, heartbeat_size (h));
}

void
steps_send (StepsSite *site,
            unsigned from,
            unsigned to,
            bool is_answer,
            const ClusterHeartbeat *heartbeat)
{
  if (!steps_reaches (site, from, to) || steps_random (site, 1000) < site->conditions.loss)
    return;
  add_message (site, from, to, is_answer, heartbeat);
  if (steps_random (site, 1000) < site->conditions.duplication)
    add_message (site, from, to, is_answer, heartbeat);
}

static void
receive (StepsSite *site, const StepsMessage *m)
{
  ClusterState *s = site->vms[m->to].state;
  ClusterHeartbeat *answer;

  if (m->is_answer)
    {
      cluster_state_handle_answer (s, &m->heartbeat, steps_clock (site, m->to));
      return;
    }
  answer = memory_alloc (sizeof *answer);
  if (cluster_state_handle_ask (s, &m->heartbeat, steps_clock (site, m->to), answer))
    {
      if (steps_random (site, 2) == 0)
        cluster_heartbeat_pack (s, answer);
      steps_send (site, m->to, m->from, true, answer);
    }
  free (answer);
}

/* Messages to a frozen steward wait, as in its socket's buffer; those to a stopped one are lost. */
void
steps_deliver (StepsSite *site)
{
  size_t first = steps_random (site, STEPS_MESSAGES);

  for (size_t i = 0; i < STEPS_MESSAGES; i++)
    {
      StepsMessage *m = &site->messages[(first + i) % STEPS_MESSAGES];
      if (!m->used || m->due > site->now)
        continue;
      if (site->vms[m->to].state == NULL)
        m->used = false;
      if (!m->used || !steps_is_running (site, m->to))
        continue;
      m->used = false;
      receive (site, m);
    }
}
