/**
 * The head row of the configuration: the newest durable and the newest accepted configuration
 * number.
 */
#ifndef STEWARD_HEAD_H
#define STEWARD_HEAD_H

#include "platform.h"

#define STEWARD_KEY_SIZE 16 /**< key of a configuration number: 12 digits */

typedef struct
{
  int64_t number;   /**< 0: there is no configuration yet */
  int64_t accepted; /**< at most number */
  int64_t version;  /**< version of the row; 0: the row is absent */
} StewardHead;

StatusCode steward_head_read (Platform *p, int timeout_ms, StewardHead *out, Status *st);
/** Text of the row; freed with free. */
char *steward_head_text (int64_t number, int64_t accepted);
/** Key of a configuration number in the tables config_version and config_text. */
void steward_number_key (int64_t number, char out[STEWARD_KEY_SIZE]);

#endif
