#include "steward_document.h"
#include "util_log.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define QUOTED_SIZE 512

void
steward_document_init (StewardDocument *d)
{
  *d = (StewardDocument){ 0 };
  pthread_mutex_init (&d->lock, NULL);
}

void
steward_document_clear (StewardDocument *d)
{
  free (d->text);
  config_unref (d->config);
  pthread_mutex_destroy (&d->lock);
}

/* A document that this program version can't read is stored and served all the same. A newer
   version wrote it, and without it gates would continue under the number before. */
static Config *
parse (int64_t number, const char *text)
{
  CheckList list = { .file = "configuration" };
  Config *config = config_parse (text, strlen (text), number, &list);
  char quoted[QUOTED_SIZE];

  if (config == NULL)
    log_msg (MSG_STEWARD_DOCUMENT_BAD, "config=\"%lld\" errors=\"%s\"", (long long)number,
             log_quote (list.text.data != NULL ? list.text.data : "", quoted, sizeof quoted));
  else
    log_msg (MSG_STEWARD_DOCUMENT, "config=\"%lld\"", (long long)number);
  check_free (&list);
  return config;
}

bool
steward_document_put (StewardDocument *d, int64_t number, const char *text)
{
  char *old_text;
  Config *config, *old_config;

  if (number <= steward_document_number (d))
    return false;
  config = parse (number, text);
  pthread_mutex_lock (&d->lock);
  if (number <= d->number)
    {
      pthread_mutex_unlock (&d->lock);
      config_unref (config);
      return false;
    }
  old_text = d->text;
  old_config = d->config;
  d->number = number;
  d->text = memory_strdup (text);
  d->config = config;
  pthread_mutex_unlock (&d->lock);
  free (old_text);
  config_unref (old_config);
  return true;
}

int64_t
steward_document_number (StewardDocument *d)
{
  int64_t number;

  pthread_mutex_lock (&d->lock);
  number = d->number;
  pthread_mutex_unlock (&d->lock);
  return number;
}

char *
steward_document_text (StewardDocument *d, int64_t *number)
{
  char *text;

  pthread_mutex_lock (&d->lock);
  *number = d->number;
  text = memory_strdup (d->text);
  pthread_mutex_unlock (&d->lock);
  return text;
}

Config *
steward_document_config (StewardDocument *d)
{
  Config *config;

  pthread_mutex_lock (&d->lock);
  config = d->config == NULL ? NULL : config_ref (d->config);
  pthread_mutex_unlock (&d->lock);
  return config;
}
