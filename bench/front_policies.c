/* The policy of lovage-front ("product") and the policies that it is compared with. */
#include "front_model.h"
#include <string.h>

static PickAnswer
pick_product (FrontServers *servers, const PickQuery *query, Clock *clock)
{
  return front_pick (servers, query, clock->now_ms);
}

/* A random server that was not tried yet. */
static PickAnswer
pick_random (FrontServers *servers, const PickQuery *query, Clock *clock)
{
  PickAnswer answer = { 0 };
  FrontServer *server;
  unsigned seen = 0;

  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    if (!front_pick_was_tried (query, server) && gsl_rng_uniform_int (clock->rng, ++seen) == 0)
      answer.server = server;
  }
  return answer;
}

/* The server with the fewest requests from this front; the first one of several. */
static PickAnswer
pick_least_running (FrontServers *servers, const PickQuery *query, Clock *clock)
{
  PickAnswer answer = { 0 };
  FrontServer *server;

  (void)clock;
  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    if (!front_pick_was_tried (query, server)
        && (!answer.server || server->running < answer.server->running))
      answer.server = server;
  }
  return answer;
}

static CascadeStep
never_escalate (const CascadeCase *c)
{
  (void)c;
  return CASCADE_KEEP;
}

/* The same confidence threshold for all requests, regardless of the largest model's queue. */
static CascadeStep
below_threshold (const CascadeCase *c)
{
  return c->confidence < 56 ? CASCADE_LARGEST : CASCADE_KEEP;
}

const Policy model_policies[] = {
  { .name = "product", .pick = pick_product, .step = front_cascade_step },
  { .name = "one-threshold", .pick = pick_product, .step = below_threshold },
  { .name = "smallest-only", .pick = pick_product, .step = never_escalate },
  { .name = "largest-only",
    .first_model = MODELS - 1,
    .pick = pick_product,
    .step = never_escalate },
  { .name = "random-server", .pick = pick_random, .step = front_cascade_step },
  { .name = "least-running", .pick = pick_least_running, .step = front_cascade_step },
};
const unsigned model_policy_count = sizeof model_policies / sizeof model_policies[0];
