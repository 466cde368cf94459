/**
 * Versions that the stand-in engine serves, their quality, and the orders that load and unload
 * them.
 */
#ifndef ENGINE_MODELS_H
#define ENGINE_MODELS_H

#include "common_http.h"
#include <json-c/json.h>
#include <stdbool.h>

#define ENGINE_NAME_MAX 96 /**< bytes of MODEL@VERSION, with the NUL */

/** Loads each version of a comma-separated list of MODEL@VERSION. */
void models_serve (const char *list);
/** Sets the mean quality from "VERSION=Q", "MODEL@VERSION=Q" or "Q" (all versions), Q from 0 to 1;
 *  of several settings that apply to a version the last one counts. False if text is not valid. */
bool models_set_quality (const char *text);

bool models_loaded (const char *name);
/** Mean quality of a version's answers, which the fault bad_version lowers. */
double models_mean_quality (const char *name);
/** Array of the loaded versions' names. */
struct json_object *models_list (void);

/** POST /v1/orders: loads and unloads versions; refused if its fencing number is outdated and the
 *  engine checks them. */
enum MHD_Result models_handle_order (StandinRequest *request);
/** GET /v1/orders: every order received so far, for the checks of a test. */
enum MHD_Result models_list_orders (StandinRequest *request);

#endif
