/**
 * Sends a sample of the answers to the rating service after their callers have received them, so
 * that the quality estimates of versions stay current where no cascade stage is rated. The queue is
 * bounded: if the service is slow, samples are dropped.
 */
#ifndef GATE_SAMPLE_H
#define GATE_SAMPLE_H

#include <stdbool.h>

struct Gate;
struct GateRequest;

#define SAMPLE_TEXT_MAX (256UL * 1024) /**< bytes; longer answers are not sampled */

typedef struct GateSampler GateSampler;

GateSampler *gate_sample_start (struct Gate *gate);
/** Drops the queued samples and ends the thread. */
void gate_sample_stop (GateSampler *sampler);
/** Random: true with a probability of settings.sample_share. */
bool gate_sample_draw (GateSampler *sampler);
/** Queues a copy of r->attempt's answer to be rated. */
void gate_sample_add (GateSampler *sampler, struct GateRequest *r);

#endif
