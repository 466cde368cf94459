#include "model_group.h"

#define POLICIES_MAX 8
#define COUNT(a)     (sizeof (a) / sizeof (a)[0])

#define SITE SITE_FOR (60000, 300000)
#define SITE_FOR(warm, length)                                                                     \
  .config = { .draft_engines = 20,                                                                 \
              .ledger_engines = 4,                                                                 \
              .slots = 8,                                                                          \
              .domains = 4,                                                                        \
              .teams = 10,                                                                         \
              .versions_per_model = 1 },                                                           \
  .gates = 6, .callers = 300, .prefix_share = 0.6, .slow_every = 5, .warm_ms = (warm),             \
  .length_ms = (length), .report_every_ms = 500, .report_lag_ms = 200, .timeout_ms = 10000,        \
  .hop_ms = 4

static const ModelScenario server_scenarios[] = {
  { .name = "steady", SITE, .rate = 38, .direct_share = 1 },
  { .name = "busy", SITE, .rate = 46, .direct_share = 1 },
  { .name = "burst",
    SITE,
    .rate = 36,
    .direct_share = 1,
    .faults = { { 120000, FAULT_RATE, 0, 1.8 }, { 140000, FAULT_RATE, 0, 1 } } },
  { .name = "domain-lost",
    SITE,
    .rate = 30,
    .direct_share = 1,
    .faults = { { 120000, FAULT_DOMAIN_DOWN, 1, 0 }, { 220000, FAULT_DOMAIN_UP, 1, 0 } } },
  { .name = "reports-5s-late",
    SITE,
    .rate = 38,
    .direct_share = 1,
    .faults = { { 60000, FAULT_LAG, 0, 5000 } } },
  { .name = "capacity-short", SITE, .rate = 70, .direct_share = 1 },
};

static const ModelPolicy *
server_policies (size_t *count)
{
  static ModelPolicy policies[POLICIES_MAX];
  static const char *const names[] = { "round-robin", "least-reported", "random", "power-of-two" };
  size_t i, n = 0;

  for (i = 0; i < sizeof names / sizeof names[0]; i++)
    policies[n++] = (ModelPolicy){ .name = names[i],
                                   .server = server_policy_find (names[i]),
                                   .cascade = cascade_policy_find ("fixed"),
                                   .retry = &retry_policy_default };
  policies[n] = policies[0];
  policies[n].name = "oracle";
  policies[n++].server = NULL;
  *count = n;
  return policies;
}

static const ModelScenario cascade_scenarios[] = {
  { .name = "steady", SITE_FOR (600000, 1800000), .rate = 50, .issue_share = 0.05 },
  { .name = "burst",
    SITE,
    .rate = 45,
    .issue_share = 0.05,
    .faults = { { 120000, FAULT_RATE, 0, 2 }, { 140000, FAULT_RATE, 0, 1 } } },
  { .name = "version-bad",
    SITE,
    .rate = 40,
    .issue_share = 0.05,
    .faults = { { 120000, FAULT_QUALITY, KIND_SMALL, 0.3 } } },
  { .name = "rating-out",
    SITE,
    .rate = 30,
    .issue_share = 0.05,
    .faults = { { 120000, FAULT_RATING_DOWN, 0, 0 }, { 220000, FAULT_RATING_UP, 0, 0 } } },
};

static const ModelPolicy *
cascade_policies (size_t *count)
{
  static ModelPolicy policies[POLICIES_MAX];
  static const char *const names[] = { "cheapest", "best", "fixed", "learned" };
  size_t i, n = 0;

  for (i = 0; i < sizeof names / sizeof names[0]; i++)
    policies[n++] = (ModelPolicy){ .name = names[i],
                                   .server = &server_policy_default,
                                   .cascade = cascade_policy_find (names[i]),
                                   .retry = &retry_policy_default };
  policies[n] = policies[0];
  policies[n].name = "oracle";
  policies[n].server = NULL;
  policies[n++].cascade = NULL;
  *count = n;
  return policies;
}

/* With a limit of concurrent requests for each team; 0: none. */
#define LIMIT_SITE(limit)                                                                          \
  .config = { .draft_engines = 20,                                                                 \
              .ledger_engines = 4,                                                                 \
              .slots = 8,                                                                          \
              .domains = 4,                                                                        \
              .teams = 10,                                                                         \
              .versions_per_model = 1,                                                             \
              .concurrent = (limit),                                                               \
              .big_weight = 4 },                                                                   \
  .gates = 6, .callers = 300, .prefix_share = 0.6, .slow_every = 5, .warm_ms = 60000,              \
  .length_ms = 300000, .report_every_ms = 500, .report_lag_ms = 200, .timeout_ms = 10000,          \
  .hop_ms = 4, .direct_share = 1

static const ModelScenario limit_scenarios[] = {
  { .name = "calm", LIMIT_SITE (48), .rate = 34 },
  /* No flood, at the rate of answers that the gates still deliver during the flood. */
  { .name = "calm-as-full", LIMIT_SITE (0), .rate = 40 },
  { .name = "team-floods",
    LIMIT_SITE (48),
    .rate = 34,
    .faults = { { 60000, FAULT_FLOOD, 0, 40 } } },
  { .name = "floods-without-limit",
    LIMIT_SITE (0),
    .rate = 34,
    .faults = { { 60000, FAULT_FLOOD, 0, 40 } } },
  { .name = "capacity-short", LIMIT_SITE (0), .rate = 70 },
};

static const ModelPolicy *
limit_policies (size_t *count)
{
  static ModelPolicy policies[POLICIES_MAX];
  static const char *const names[] = { "none", "first-come", "fair" };
  size_t i, n = 0;

  for (i = 0; i < sizeof names / sizeof names[0]; i++)
    policies[n++] = (ModelPolicy){ .name = names[i],
                                   .server = &server_policy_default,
                                   .cascade = &cascade_policy_default,
                                   .retry = &retry_policy_default,
                                   .limit = limit_policy_find (names[i]) };
  *count = n;
  return policies;
}

static const ModelScenario crash_scenarios[] = {
  { .name = "crash-prompt",
    SITE,
    .rate = 30,
    .direct_share = 1,
    .faults = { { 90000, FAULT_CRASH, 0, 0 } } },
  { .name = "pool-outage",
    SITE,
    .rate = 30,
    .direct_share = 1,
    .faults = { { 90000, FAULT_DOMAIN_DOWN, 0, 0 },
                { 91000, FAULT_DOMAIN_DOWN, 1, 0 },
                { 92000, FAULT_DOMAIN_DOWN, 2, 0 },
                { 120000, FAULT_DOMAIN_UP, 0, 0 },
                { 121000, FAULT_DOMAIN_UP, 1, 0 },
                { 122000, FAULT_DOMAIN_UP, 2, 0 } } },
  { .name = "both",
    SITE,
    .rate = 30,
    .direct_share = 1,
    .faults = { { 85000, FAULT_CRASH, 0, 0 },
                { 90000, FAULT_DOMAIN_DOWN, 0, 0 },
                { 91000, FAULT_DOMAIN_DOWN, 1, 0 },
                { 120000, FAULT_DOMAIN_UP, 0, 0 },
                { 121000, FAULT_DOMAIN_UP, 1, 0 } } },
};

static const ModelPolicy *
crash_policies (size_t *count)
{
  static ModelPolicy policies[2];
  size_t i;

  for (i = 0; i < 2; i++)
    policies[i] = (ModelPolicy){ .name = i == 0 ? "no-quarantine" : "quarantine",
                                 .server = &server_policy_default,
                                 .cascade = &cascade_policy_default,
                                 .retry = &retry_policy_default,
                                 .quarantine = i == 1 };
  *count = 2;
  return policies;
}

/* A burst of half a minute, measured from a minute after its end. Engines that ignore cancels
   run abandoned attempts to their end. */
#define RETRY_SITE                                                                                 \
  .config = { .draft_engines = 20,                                                                 \
              .ledger_engines = 4,                                                                 \
              .slots = 8,                                                                          \
              .domains = 4,                                                                        \
              .teams = 10,                                                                         \
              .versions_per_model = 1 },                                                           \
  .gates = 6, .callers = 300, .prefix_share = 0.6, .slow_every = 5, .warm_ms = 210000,             \
  .length_ms = 450000, .report_every_ms = 500, .report_lag_ms = 200, .timeout_ms = 4000,           \
  .hop_ms = 4, .direct_share = 1, .rate = 38,                                                      \
  .faults = { { 120000, FAULT_RATE, 0, 2 }, { 150000, FAULT_RATE, 0, 1 } }

static const ModelScenario retry_scenarios[] = {
  { .name = "after-burst-no-cancel", RETRY_SITE, .ignore_cancel = true, .no_caller_retries = true },
  { .name = "after-burst-no-cancel-caller-retries", RETRY_SITE, .ignore_cancel = true },
  { .name = "after-burst", RETRY_SITE },
};

static const ModelPolicy *
retry_policies (size_t *count)
{
  static ModelPolicy policies[POLICIES_MAX];
  static const char *const names[] = { "always", "never", "budget", "budget+limits" };
  static const char *const retries[] = { "always", "never", "budget", "budget" };
  size_t i, n = 0;

  for (i = 0; i < sizeof names / sizeof names[0]; i++)
    policies[n++] = (ModelPolicy){ .name = names[i],
                                   .server = &server_policy_default,
                                   .cascade = &cascade_policy_default,
                                   .retry = retry_policy_find (retries[i]),
                                   .limit = i == 3 ? &limit_policy_default : NULL };
  *count = n;
  return policies;
}

/* The roll-out of draft-s from v1 to v2 starts after two minutes. Half of the requests name draft-s
   and get its answers without a cascade. */
#define ROLLOUT_SITE(length)                                                                       \
  .config = { .draft_engines = 20,                                                                 \
              .ledger_engines = 4,                                                                 \
              .slots = 8,                                                                          \
              .domains = 4,                                                                        \
              .teams = 10,                                                                         \
              .versions_per_model = 2 },                                                           \
  .gates = 6, .callers = 300, .prefix_share = 0.6, .slow_every = 5, .warm_ms = 120000,             \
  .length_ms = (length), .report_every_ms = 500, .report_lag_ms = 200, .timeout_ms = 10000,        \
  .hop_ms = 4, .rate = 40, .direct_share = 0.5, .direct_model = "draft-s"

static const ModelScenario rollout_scenarios[] = {
  { .name = "good", ROLLOUT_SITE (3600000), .faults = { { 120000, FAULT_ROLLOUT, 0, 0 } } },
  { .name = "bad-at-once",
    ROLLOUT_SITE (1200000),
    .faults = { { 1, FAULT_QUALITY, KIND_CANDIDATE, 0.5 }, { 120000, FAULT_ROLLOUT, 0, 0 } } },
  { .name = "slightly-bad",
    ROLLOUT_SITE (3600000),
    .faults = { { 1, FAULT_QUALITY, KIND_CANDIDATE, 0.85 }, { 120000, FAULT_ROLLOUT, 0, 0 } } },
  { .name = "bad-for-one-team",
    ROLLOUT_SITE (3600000),
    .faults = { { 1, FAULT_TEAM_QUALITY, 4, 0.3 }, { 120000, FAULT_ROLLOUT, 0, 0 } } },
  { .name = "bad-after-an-hour",
    ROLLOUT_SITE (4800000),
    .faults
    = { { 120000, FAULT_ROLLOUT, 0, 0 }, { 3720000, FAULT_QUALITY, KIND_CANDIDATE, 0.5 } } },
  { .name = "slow",
    ROLLOUT_SITE (1200000),
    .faults = { { 1, FAULT_SLOW, 0, 2 }, { 120000, FAULT_ROLLOUT, 0, 0 } } },
};

static const ModelPolicy *
rollout_policies (size_t *count)
{
  static ModelPolicy policies[POLICIES_MAX];
  static const char *const names[] = { "timer", "threshold", "sequential" };
  size_t i, n = 0;

  for (i = 0; i < sizeof names / sizeof names[0]; i++)
    policies[n++] = (ModelPolicy){ .name = names[i],
                                   .server = &server_policy_default,
                                   .cascade = &cascade_policy_default,
                                   .retry = &retry_policy_default,
                                   .rollout = rollout_policy_find (names[i]) };
  *count = n;
  return policies;
}

const ModelGroup model_groups[] = {
  { "servers", server_scenarios, COUNT (server_scenarios), server_policies },
  { "cascade", cascade_scenarios, COUNT (cascade_scenarios), cascade_policies },
  { "limits", limit_scenarios, COUNT (limit_scenarios), limit_policies },
  { "retries", retry_scenarios, COUNT (retry_scenarios), retry_policies },
  { "crash", crash_scenarios, COUNT (crash_scenarios), crash_policies },
  { "rollout", rollout_scenarios, COUNT (rollout_scenarios), rollout_policies },
};

const size_t model_group_count = COUNT (model_groups);
