/*
 * Rating service: an answer's score is the value of its first quality tag "[q=0.82]", plus noise
 * that depends only on the seed, the prompt and the answer, so that runs are repeatable.
 */
#include "platform_calls.h"
#include "util_id.h"
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#define QUALITY_TAG    "[q="
#define SCORE_UNTAGGED 0.5 /* of an answer without the tag */

static double noise_deviation;
static uint64_t noise_seed;

void
platform_set_rate_noise (double deviation, uint64_t seed)
{
  noise_deviation = deviation;
  noise_seed = seed;
}

static double
noise (const char *prompt, const char *answer)
{
  if (noise_deviation <= 0)
    return 0;
  uint64_t hash = id_hash_string (answer, id_hash_string (prompt, noise_seed));
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (random, (unsigned long)hash);
  double value = gsl_ran_gaussian (random, noise_deviation);
  gsl_rng_free (random);
  return value;
}

static const char *
member_string (struct json_object *obj, const char *name)
{
  struct json_object *member;
  if (!json_object_object_get_ex (obj, name, &member))
    return NULL;
  return json_object_get_string (member);
}

enum MHD_Result
platform_rate (StandinRequest *request)
{
  struct json_object *body = standin_json (request);
  const char *prompt = body ? member_string (body, "prompt") : NULL;
  const char *answer = body ? member_string (body, "answer") : NULL;
  if (!prompt || !answer)
    {
      json_object_put (body);
      return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad_rating");
    }
  const char *tag = strstr (answer, QUALITY_TAG);
  double score = tag ? strtod (tag + strlen (QUALITY_TAG), NULL) : SCORE_UNTAGGED;
  score += noise (prompt, answer);
  score = score < 0 ? 0 : score > 1 ? 1 : score;
  json_object_put (body);
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "score", json_object_new_double (score));
  return standin_reply (request, MHD_HTTP_OK, reply);
}
