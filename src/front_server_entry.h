/**
 * What a backend server reports in the platform's list.
 */
#ifndef FRONT_SERVER_ENTRY_H
#define FRONT_SERVER_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#define SERVER_TEXT_MAX 64 /**< bytes with the final NUL */

typedef struct
{
  char id[SERVER_TEXT_MAX]; /**< the same after a restart, though the new process has no state of
                               the earlier one */
  int64_t born_ms; /**< start time, Unix milliseconds; distinguishes the starts of one id; 0: not
                      given */
  char service[SERVER_TEXT_MAX];
  char address[SERVER_TEXT_MAX]; /**< IP:PORT */
  char failure_domain[SERVER_TEXT_MAX];
  char version[SERVER_TEXT_MAX];
  unsigned slots;
  bool draining;
  int64_t cold_ms; /**< remaining time for which it is cold after its start */
} ServerEntry;

#endif
