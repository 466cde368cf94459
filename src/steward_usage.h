/**
 * Sums of the usage records, by team and version.
 */
#ifndef STEWARD_USAGE_H
#define STEWARD_USAGE_H

#include "platform.h"
#include <json-c/json.h>

/** Returns
 * {"teams":[{"team","requests","prompt_tokens","completion_tokens","cost","versions":[…]}]} of one
 * team, or of all teams if it is NULL. The caller releases *out. */
StatusCode steward_usage (Platform *p, const char *team, struct json_object **out, Status *st);

#endif
