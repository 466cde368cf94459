/**
 * Callers: when requests arrive, from whom and for what. Their random numbers do not depend on the
 * policy.
 */
#include "model_site.h"

#include "util_id.h"
#include "util_memory.h"
#include <gsl/gsl_randist.h>
#include <math.h>

#define US_PER_S           1e6
#define PREFIXES           200 /**< number of shared prompt prefixes */
#define PREFIX_TOKENS      800 /**< length of a shared prefix */
#define PROMPT_MEAN        200 /**< tokens, without a shared prefix */
#define OUTPUT_LOG_MEAN    4.8 /**< of the logarithm of an answer's tokens: a median of about 120 */
#define OUTPUT_LOG_DEV     0.6
#define OUTPUT_MAX         1500  /**< tokens */
#define CALLER_DEADLINE_MS 30000 /**< after a request was first sent */
#define US_PER_MS          1000
#define CRASH_RESENDS      20 /**< times that a request that crashes engines is sent again */
#define CRASH_TEAM         0  /**< team of the request that crashes engines */
#define CRASH_CALLER       0  /**< caller of the team of the request that crashes engines */

/** Indices of the classes in the configuration. */
enum
{
  CLASS_ISSUE,
  CLASS_QUERY,
  CLASS_REPORT,
  CLASS_WORDING
};

static unsigned
draw_team (ModelSite *site)
{
  double total = 0, x;
  unsigned i;

  for (i = 0; i < site->config->team_count; i++)
    total += site->team_rates[i];
  x = gsl_rng_uniform (site->callers_rng) * total;
  for (i = 0; i + 1 < site->config->team_count; i++)
    {
      x -= site->team_rates[i];
      if (x < 0)
        break;
    }
  return i;
}

static int
draw_class (ModelSite *site)
{
  double x = gsl_rng_uniform (site->callers_rng);

  if (x < site->scenario->direct_share)
    return -1;
  x = gsl_rng_uniform (site->callers_rng);
  if (x < site->scenario->issue_share)
    return CLASS_ISSUE;
  x = gsl_rng_uniform (site->callers_rng);
  if (x < 0.5)
    return CLASS_QUERY;
  return x < 0.85 ? CLASS_REPORT : CLASS_WORDING;
}

static void
draw_prompt (ModelSite *site, ModelRequest *request)
{
  bool shared = gsl_rng_uniform (site->callers_rng) < site->scenario->prefix_share;
  /* Squaring makes the low numbers much more frequent than the others. */
  double x = gsl_rng_uniform (site->callers_rng);
  unsigned prefix = (unsigned)(x * x * PREFIXES);
  double output = gsl_ran_lognormal (site->callers_rng, OUTPUT_LOG_MEAN, OUTPUT_LOG_DEV);

  request->prompt_tokens = (unsigned)gsl_ran_exponential (site->callers_rng, PROMPT_MEAN) + 1;
  request->output_tokens = (unsigned)fmin (output, OUTPUT_MAX) + 1;
  if (!shared)
    return;
  request->prefix = id_hash (&prefix, sizeof prefix, 1) | 1;
  request->prefix_tokens = PREFIX_TOKENS;
  request->prompt_tokens += PREFIX_TOKENS;
}

static ModelRequest *
request_new (ModelSite *site, unsigned *index)
{
  ModelRequest *request = memory_alloc (sizeof *request);

  if (site->request_count == site->request_cap)
    {
      site->request_cap = site->request_cap == 0 ? 1024 : 2 * site->request_cap;
      site->requests = memory_grow (site->requests, site->request_cap, sizeof (ModelRequest *));
    }
  *index = (unsigned)site->request_count;
  site->requests[site->request_count++] = request;
  request->index = *index;
  request->engine = -1;
  request->submitted_us = site->now_us;
  request->deadline_us = site->now_us + (int64_t)CALLER_DEADLINE_MS * US_PER_MS;
  request->quality_seed = gsl_rng_get (site->callers_rng);
  request->quality_seed = request->quality_seed << 32 | gsl_rng_get (site->callers_rng);
  request->fingerprint = request->quality_seed | 1;
  return request;
}

void
callers_arrival (ModelSite *site)
{
  unsigned index;
  ModelRequest *request = request_new (site, &index);
  double total_rate = 0, next_us;
  unsigned i;

  request->team = draw_team (site);
  request->caller = (unsigned)gsl_rng_uniform_int (site->callers_rng, site->scenario->callers);
  request->class_index = draw_class (site);
  draw_prompt (site, request);
  site_push (site, 0, EVENT_SUBMIT, index);
  for (i = 0; i < site->config->team_count; i++)
    total_rate += site->team_rates[i];
  next_us = gsl_ran_exponential (site->callers_rng, US_PER_S / (site->rate * total_rate));
  site_push (site, (int64_t)next_us, EVENT_ARRIVAL, 0);
}

void
callers_crash_request (ModelSite *site)
{
  unsigned index;
  ModelRequest *request = request_new (site, &index);

  request->team = CRASH_TEAM;
  request->caller = CRASH_CALLER;
  request->class_index = CLASS_REPORT;
  request->prompt_tokens = PROMPT_MEAN;
  request->output_tokens = PROMPT_MEAN;
  request->crashes = true;
  request->resends = CRASH_RESENDS;
  site_push (site, 0, EVENT_SUBMIT, index);
}
