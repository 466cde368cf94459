/**
 * Reads one request at a time from the bytes of a caller's connection: head, then the whole body,
 * framed by a length or in chunks. No I/O. Framing is http_parser's; what it lets through and
 * another parser might frame differently is refused here.
 */
#ifndef HTTP_INTAKE_H
#define HTTP_INTAKE_H

#include "http_head.h"
#include "util_buffer.h"
#include <http_parser.h>

typedef struct
{
  size_t head_max; /**< bytes */
  size_t body_max; /**< bytes */
} HttpIntakeLimits;

typedef enum
{
  INTAKE_MORE,
  INTAKE_DONE,   /**< head and body are there */
  INTAKE_REFUSED /**< refuse_status says how; the connection can't be used any further */
} IntakeResult;

typedef struct
{
  HttpIntakeLimits limits;
  http_parser parser;
  Buffer raw; /**< head, while it is not whole */
  HttpHead head;
  Buffer body;
  bool in_body;
  bool complete;
  bool keep_alive;
  bool wants_continue; /**< the caller waits for 100 before it sends the body */
  int refuse_status;   /**< 400, 413 or 431 */
  Span method, target; /**< of the start line, as they came */
} HttpIntake;

void http_intake_init (HttpIntake *intake, const HttpIntakeLimits *limits);
/** Takes bytes up to the end of one request; *used tells how many. */
IntakeResult http_intake_feed (HttpIntake *intake, const char *data, size_t len, size_t *used);
/** True once the first byte of a request has come. */
bool http_intake_started (const HttpIntake *intake);
/** Ready for the next request of the same connection; frees what this one held. */
void http_intake_reset (HttpIntake *intake);

#endif
