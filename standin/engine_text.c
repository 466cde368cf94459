#include "engine_text.h"
#include "common_fault.h"
#include "util_buffer.h"
#include "util_id.h"
#include <ctype.h>
#include <stdio.h>
#include <string.h>

#define LENGTH_MIN   16U /* tokens */
#define LENGTH_RANGE 48U /* tokens */
#define MARK_BEGIN   "[id="

static const char *const words[]
    = { "tender", "bond",  "clause", "issuer", "branch", "draft",   "counter", "advance",
        "site",   "motor", "filter", "pump",   "alarm",  "service", "crew",    "report" };

#define WORD_COUNT (sizeof words / sizeof words[0])

static void
add_messages (struct json_object *messages, Buffer *out)
{
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    {
      struct json_object *content;
      if (!json_object_object_get_ex (json_object_array_get_idx (messages, i), "content", &content))
        continue;
      buffer_add_string (out, json_object_get_string (content));
      buffer_add_string (out, "\n");
    }
}

/* A mark ends at the first other character than a letter, digit, '-', '_' or '.': it is written
 * into JSON without escaping. */
static void
read_mark (const char *text, char out[MARK_MAX])
{
  const char *begin = strstr (text, MARK_BEGIN);
  size_t n = 0;
  if (!begin)
    return;
  for (const char *s = begin + strlen (MARK_BEGIN); *s && n + 1 < MARK_MAX; s++)
    {
      if (!isalnum ((unsigned char)*s) && !strchr ("-_.", *s))
        break;
      out[n++] = *s;
    }
  out[n] = '\0';
}

static int64_t
count_words (const char *text)
{
  int64_t n = 0;
  for (const char *s = text; *s; s++)
    n += !isspace ((unsigned char)*s) && (s == text || isspace ((unsigned char)s[-1]));
  return n;
}

bool
prompt_read (struct json_object *body, Prompt *out)
{
  struct json_object *messages;
  Fault fault;
  Buffer text = { 0 };
  *out = (Prompt){ 0 };
  if (!json_object_object_get_ex (body, "messages", &messages)
      || !json_object_is_type (messages, json_type_array))
    return false;
  add_messages (messages, &text);
  if (!text.len)
    return false;
  read_mark (text.data, out->mark);
  out->hash = id_hash (text.data, text.len, 0);
  out->prefix_hash = id_hash (text.data, text.len < PREFIX_BYTES ? text.len : PREFIX_BYTES, 0);
  out->tokens = count_words (text.data);
  out->crash = fault_peek (FAULT_CRASH_ON, "", &fault) && *fault.text
               && strstr (text.data, fault.text) != NULL;
  buffer_free (&text);
  return true;
}

unsigned
answer_length (const Prompt *prompt)
{
  return LENGTH_MIN + (unsigned)(prompt->hash % LENGTH_RANGE);
}

double
answer_quality (const Prompt *prompt, double mean, double spread)
{
  double fraction = (double)(id_hash (&prompt->hash, sizeof prompt->hash, 1) >> 11) / 0x1p53;
  double quality = mean + spread * (2 * fraction - 1);
  return quality < 0 ? 0 : quality > 1 ? 1 : quality;
}

void
answer_token (const Prompt *prompt, double quality, unsigned i, char out[TOKEN_MAX])
{
  uint64_t at = prompt->hash + i;
  if (i == 0)
    snprintf (out, TOKEN_MAX, "[q=%.2f]", quality);
  else if (i == 1 && *prompt->mark)
    snprintf (out, TOKEN_MAX, " [id=%s]", prompt->mark);
  else
    snprintf (out, TOKEN_MAX, " %s", words[id_hash (&at, sizeof at, 2) % WORD_COUNT]);
}
