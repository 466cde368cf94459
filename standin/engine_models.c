#include "engine_models.h"
#include "common_fault.h"
#include "engine_options.h"
#include "util_clock.h"
#include "util_memory.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QUALITY_DEFAULT 0.8  /* of versions for which none was set */
#define QUALITY_BAD     0.05 /* with the fault bad_version */

typedef struct
{
  char name[ENGINE_NAME_MAX];
} Model;

typedef struct
{
  char name[ENGINE_NAME_MAX]; /* VERSION or MODEL@VERSION; "": all */
  double mean;
} Quality;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Model *models;
static size_t model_count;
static Quality *qualities;
static size_t quality_count;
static int64_t highest_fence;      /* highest fencing number of an order so far */
static struct json_object *orders; /* array of all orders so far; NULL: none */

static int
find_model (const char *name)
{
  for (size_t i = 0; i < model_count; i++)
    if (strcmp (models[i].name, name) == 0)
      return (int)i;
  return -1;
}

static void
load (const char *name)
{
  if (find_model (name) >= 0)
    return;
  models = memory_grow (models, model_count + 1, sizeof *models);
  snprintf (models[model_count++].name, ENGINE_NAME_MAX, "%s", name);
}

static void
unload (const char *name)
{
  int i = find_model (name);
  if (i >= 0)
    models[i] = models[--model_count];
}

void
models_serve (const char *list)
{
  char *copy = memory_strdup (list);
  char *rest = copy;
  char *name;
  while ((name = strsep (&rest, ",")))
    if (*name)
      load (name);
  free (copy);
}

bool
models_set_quality (const char *text)
{
  const char *equals = strrchr (text, '=');
  const char *number = equals ? equals + 1 : text;
  char *end;
  Quality quality = { .mean = strtod (number, &end) };
  if (end == number || *end || quality.mean < 0 || quality.mean > 1)
    return false;
  if (equals)
    snprintf (quality.name, sizeof quality.name, "%.*s", (int)(equals - text), text);
  qualities = memory_grow (qualities, quality_count + 1, sizeof *qualities);
  qualities[quality_count++] = quality;
  return true;
}

bool
models_loaded (const char *name)
{
  pthread_mutex_lock (&lock);
  bool loaded = find_model (name) >= 0;
  pthread_mutex_unlock (&lock);
  return loaded;
}

double
models_mean_quality (const char *name)
{
  Fault fault;
  double mean = QUALITY_DEFAULT;
  const char *at = strchr (name, '@');
  if (fault_peek (FAULT_BAD_VERSION, "", &fault) && strcmp (fault.text, name) == 0)
    return QUALITY_BAD;
  for (size_t i = 0; i < quality_count; i++)
    if (!*qualities[i].name || strcmp (qualities[i].name, name) == 0
        || (at && strcmp (qualities[i].name, at + 1) == 0))
      mean = qualities[i].mean;
  return mean;
}

static struct json_object *
list_names (void)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < model_count; i++)
    json_object_array_add (list, json_object_new_string (models[i].name));
  return list;
}

struct json_object *
models_list (void)
{
  pthread_mutex_lock (&lock);
  struct json_object *list = list_names ();
  pthread_mutex_unlock (&lock);
  return list;
}

static void
for_each_name (struct json_object *order, const char *member, void (*change) (const char *name))
{
  struct json_object *list;
  if (!json_object_object_get_ex (order, member, &list)
      || !json_object_is_type (list, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    change (json_object_get_string (json_object_array_get_idx (list, i)));
}

static void
record_order (struct json_object *order, bool obeyed)
{
  if (!orders)
    orders = json_object_new_array ();
  json_object_object_add (order, "obeyed", json_object_new_boolean (obeyed));
  json_object_object_add (order, "at_ms", json_object_new_int64 (clock_boot_ms ()));
  json_object_array_add (orders, order);
}

/* Executes the order unless its fencing number is outdated and this engine checks them; consumes
 * the reference to order. */
static bool
execute_order (struct json_object *order, int64_t fence)
{
  bool checks = engine_options.checks_fencing && !fault_peek (FAULT_IGNORE_FENCING, "", NULL);
  bool obeyed = !checks || fence >= highest_fence;
  if (obeyed)
    {
      for_each_name (order, "load", load);
      for_each_name (order, "unload", unload);
    }
  if (fence > highest_fence)
    highest_fence = fence;
  record_order (order, obeyed);
  return obeyed;
}

enum MHD_Result
models_handle_order (StandinRequest *request)
{
  struct json_object *order = standin_json (request);
  struct json_object *fence;
  if (!order || !json_object_object_get_ex (order, "fence", &fence)
      || !json_object_is_type (fence, json_type_int))
    {
      json_object_put (order);
      return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "bad_order");
    }
  pthread_mutex_lock (&lock);
  bool obeyed = execute_order (order, json_object_get_int64 (fence));
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "fence", json_object_new_int64 (highest_fence));
  json_object_object_add (reply, "models", list_names ());
  pthread_mutex_unlock (&lock);
  return standin_reply (request, obeyed ? MHD_HTTP_OK : MHD_HTTP_PRECONDITION_FAILED, reply);
}

enum MHD_Result
models_list_orders (StandinRequest *request)
{
  pthread_mutex_lock (&lock);
  const char *text = orders ? json_object_to_json_string (orders) : "[]";
  enum MHD_Result result
      = standin_reply_bytes (request, MHD_HTTP_OK, text, strlen (text), "application/json");
  pthread_mutex_unlock (&lock);
  return result;
}
