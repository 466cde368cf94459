/**
 * One belief of front_waits: the latest samples of one server or service, and what they say
 * together. No I/O.
 */
#ifndef FRONT_WAITS_ROW_H
#define FRONT_WAITS_ROW_H

#include "util_index.h"
#include <stdbool.h>
#include <stdint.h>

/* A server of a large site is sent about as many requests within the half-life. */
#define WAITS_SAMPLES 12

typedef struct
{
  int64_t at_ms;   /**< when it was seen; 0: no sample */
  uint64_t author; /**< front that told it; 0: this one */
  uint32_t request;
  float ms;
} WaitsSample;

typedef struct
{
  IndexEntry by_key;
  struct cds_list_head node; /**< by time of the last change */
  uint64_t subject;          /**< of a server or service */
  unsigned rank;
  bool is_service;
  WaitsSample samples[WAITS_SAMPLES];
  int64_t at_ms;     /**< when the following were computed */
  double median_ms;  /**< weighted by age; stays the same until the next sample */
  double weight;     /**< of all samples, as of at_ms */
  int64_t latest_ms; /**< time of the latest sample */
  bool is_told;      /**< the latest sample came from another front */
} WaitsRow;

/** Takes in a sample. A later one of the same request replaces the earlier; of one other front only
 *  a few are kept. */
void waits_row_add (WaitsRow *row, const WaitsSample *sample, int64_t now_ms);
/** Weight of all samples: one counts 1 when it is seen, and less with age. */
double waits_row_weight (const WaitsRow *row, int64_t now_ms);
/** Expected wait, where prior_ms is expected without this row. */
double waits_row_ms (const WaitsRow *row, double prior_ms, int64_t now_ms);

#endif
