/**
 * What a backend server says of itself in the platform's list.
 */
#ifndef FRONT_SERVER_ENTRY_H
#define FRONT_SERVER_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#define SERVER_TEXT_MAX 64

typedef struct
{
  char
      id[SERVER_TEXT_MAX]; /**< kept by a server that starts again, which knows nothing of before */
  int64_t born_ms;         /**< when this start was, Unix milliseconds; tells the starts of one id
                              apart; 0: not said */
  char service[SERVER_TEXT_MAX];
  char address[SERVER_TEXT_MAX]; /**< IP:PORT */
  char failure_domain[SERVER_TEXT_MAX];
  char version[SERVER_TEXT_MAX];
  unsigned slots;
  bool draining;
  int64_t cold_ms; /**< how much longer it stays slow after its start */
} ServerEntry;

#endif
