/**
 * What a model engine has said so far: text, usage, and whether the answer is whole. No I/O.
 */
#ifndef GATE_ANSWER_H
#define GATE_ANSWER_H

#include "util_buffer.h"
#include "util_status.h"
#include <stdbool.h>
#include <stdint.h>

#define ANSWER_FINISH_MAX 32

typedef struct
{
  bool keep_content; /**< set by the owner: collect the text */
  size_t content_max;
  bool content_optional; /**< a text that is longer is not kept, in place of an error */
  Buffer content;
  char finish_reason[ANSWER_FINISH_MAX]; /**< empty: not finished */
  bool done;                             /**< the end mark [DONE] was seen */
  bool has_usage;
  int64_t prompt_tokens;
  int64_t completion_tokens;
  struct json_tokener *tokener; /**< kept from chunk to chunk; NULL until the first one */
  int64_t chunks;               /**< chunks with text: the tokens counted when usage never came */
} GateAnswer;

/** Takes the data of one event in order. */
StatusCode answer_add (GateAnswer *answer, const char *data, size_t len, Status *st);
/** An answer is whole only with a finish reason and the end mark. */
bool answer_is_complete (const GateAnswer *answer);
int64_t answer_completion_tokens (const GateAnswer *answer);
/** Adds the answer as one chat-completions object. */
void answer_json (const GateAnswer *answer, const char *id, const char *model, Buffer *out);
void answer_free (GateAnswer *answer);

#endif
