/**
 * One streamed request of the load tool, and the times of its answer.
 */
#ifndef LOAD_CALL_H
#define LOAD_CALL_H

#include "http_client.h"
#include <stdint.h>

#define LOAD_TOKENS_MAX 4096 /**< gaps kept of one answer */

typedef enum
{
  LOAD_WHOLE, /**< complete: HTTP status 200, every event, the end marker and the end of the body */
  LOAD_NOT_TAKEN,   /**< no connection could be made */
  LOAD_REFUSED,     /**< another HTTP status */
  LOAD_CUT,         /**< the connection closed before the end marker or the end of the body */
  LOAD_WRONG_COUNT, /**< complete, but with too few or too many events */
  LOAD_RESULTS
} LoadResult;

typedef struct
{
  LoadResult result;
  int http_status;
  int64_t first_us;             /**< clock_boot_us of the first event; 0: none */
  int64_t end_us;               /**< clock_boot_us of the last event; 0: none */
  double gaps[LOAD_TOKENS_MAX]; /**< ms between successive events */
  size_t gap_count;
  size_t events; /**< received, without the end marker */
} LoadAnswer;

/** Runs the request; tokens is the number of tokens that it asks for. */
void load_call (const HttpRequest *request, unsigned tokens, LoadAnswer *out);
const char *load_result_name (LoadResult result);

#endif
