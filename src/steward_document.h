/**
 * The newest configuration document known to this steward: as text, to be served to gates and
 * peers, and parsed.
 */
#ifndef STEWARD_DOCUMENT_H
#define STEWARD_DOCUMENT_H

#include "config.h"
#include <pthread.h>

typedef struct
{
  pthread_mutex_t lock;
  int64_t number;
  char *text;
  Config *config; /**< NULL if this program version can't read the document */
} StewardDocument;

void steward_document_init (StewardDocument *d);
void steward_document_clear (StewardDocument *d);
/** Stores the document if its number is newer; false if it isn't. The text must come from the table
 * service, directly or through a peer. */
bool steward_document_put (StewardDocument *d, int64_t number, const char *text);
int64_t steward_document_number (StewardDocument *d);
/** A copy of the text (freed with free) and its number; NULL and 0 if there is none. */
char *steward_document_text (StewardDocument *d, int64_t *number);
/** A reference to the parsed document, or NULL; released with config_unref. */
Config *steward_document_config (StewardDocument *d);

#endif
