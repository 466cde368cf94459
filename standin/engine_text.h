/**
 * Prompts and answers of the stand-in engine: what it reads from a prompt, and the tokens of an
 * answer, which depend only on the prompt and on the answer's quality, so that runs are repeatable.
 */
#ifndef ENGINE_TEXT_H
#define ENGINE_TEXT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MARK_MAX  64 /**< bytes, with the NUL */
#define TOKEN_MAX 96 /**< bytes, with the NUL */

typedef struct
{
  char mark[MARK_MAX];  /**< text of the prompt's "[id=…]", repeated in the answer; "" if none */
  uint64_t hash;        /**< of all messages */
  uint64_t prefix_hash; /**< of their first PREFIX_BYTES bytes */
  int64_t tokens;       /**< number of words */
  bool crash;           /**< contains the text of the fault crash_on */
} Prompt;

#define PREFIX_BYTES 256 /**< of a prompt, by which the prefix cache identifies it */

/** Reads "messages" of a request's body; false if it has no messages or they have no text. */
bool prompt_read (struct json_object *body, Prompt *out);
/** Tokens of an answer for which the caller set no "max_tokens". */
unsigned answer_length (const Prompt *prompt);
/** Quality of the answer to this prompt: at most spread from the mean, and from 0 to 1. */
double answer_quality (const Prompt *prompt, double mean, double spread);
/** Writes token i of the answer: the first gives its quality, "[q=0.82]", the second repeats the
 *  prompt's mark. */
void answer_token (const Prompt *prompt, double quality, unsigned i, char out[TOKEN_MAX]);

#endif
