#include "front_cascade.h"
#include <math.h>

/* The smallest model's answer is kept if it trusts it at least so much, of 100. Bars of 20 to 80
 * were played: below, poor answers are kept; above, the largest model, which reads ten times as
 * slowly and costs fifteen times as much, does work that the smallest had done well. For the least
 * urgent routes the largest model's answer is worth less than its cost earlier. Beside one bar of
 * 60 for all this buys 0.02 of worth on average, 0.06 on the busiest days of the large sites. */
#define CONFIDENCE_KEPT       56.0
#define CONFIDENCE_KEPT_LOW   36.0
#define LEAST_URGENT_PRIORITY 2
/* The bar falls by so much as the largest model's answer takes the whole objective to begin: a long
 * prompt read by it holds up all streams on its server. */
#define CONFIDENCE_FOR_WAIT 80.0
/* The lag weighs more than a prediction: it shows a queue that still grows, in front of the
 * smallest model, too. In a burst of four times the usual this earns 0.70 of what could be earned,
 * where 1.0 earns 0.62 and no lag 0.53; on other days it costs up to 0.01 (model of a site,
 * bench_front). */
#define LAG_TIMES 3.0
/* Milliseconds by which answers are late without any queue, as predictions are rough: taken for a
 * queue they cost 0.008 of worth at a site of six fronts. */
#define LAG_USUAL_MS 35.0
/* A larger model is tried only while this part of the time to the first event is left. */
#define LATEST 0.6

static double
confidence_kept (const CascadeCase *c)
{
  double lag_ms = fmax (c->lag_ms - LAG_USUAL_MS, 0);
  double wait = (c->larger_ms + LAG_TIMES * lag_ms) / (double)c->objective_ms;

  return (c->priority >= LEAST_URGENT_PRIORITY ? CONFIDENCE_KEPT_LOW : CONFIDENCE_KEPT)
         - CONFIDENCE_FOR_WAIT * wait;
}

bool
front_cascade_wants_larger (const CascadeCase *c)
{
  return c->confidence >= 0 && c->confidence < confidence_kept (c)
         && (double)c->passed_ms < (double)c->objective_ms * LATEST;
}
