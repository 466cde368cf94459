/**
 * Accumulates a model engine's streamed answer: text, usage, and whether it is complete. No I/O.
 */
#ifndef GATE_ANSWER_H
#define GATE_ANSWER_H

#include "util_buffer.h"
#include "util_status.h"
#include <stdbool.h>
#include <stdint.h>

#define ANSWER_FINISH_MAX 32 /**< bytes of a finish reason, with the final NUL */

typedef struct
{
  bool keep_content;     /**< set by the owner: collect the text in content */
  size_t content_max;    /**< bytes of collected text */
  bool content_optional; /**< drop a text longer than content_max instead of failing */
  Buffer content;
  char finish_reason[ANSWER_FINISH_MAX]; /**< empty: none received yet */
  bool done;                             /**< the end mark [DONE] has been received */
  bool has_usage;
  int64_t prompt_tokens;
  int64_t completion_tokens;
  struct json_tokener *tokener; /**< reused for each chunk; NULL until the first one */
  int64_t chunks; /**< chunks with text; used as the token count if the engine reports no usage */
} GateAnswer;

/** Adds the data of the next event. STATUS_INVALID: not a chat-completions chunk; STATUS_FULL:
 * longer than content_max. */
StatusCode answer_add (GateAnswer *answer, const char *data, size_t len, Status *st);
/** True once both a finish reason and the end mark have been received. */
bool answer_is_complete (const GateAnswer *answer);
int64_t answer_completion_tokens (const GateAnswer *answer);
/** Appends the answer to out as one chat-completions object. */
void answer_json (const GateAnswer *answer, const char *id, const char *model, Buffer *out);
void answer_free (GateAnswer *answer);

#endif
