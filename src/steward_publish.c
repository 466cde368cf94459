#include "steward_publish.h"
#include "steward_cluster.h"

bool
steward_publish_document (Steward *s, int64_t number, const char *text)
{
  Config *config;

  if (!steward_document_put (&s->document, number, text))
    return false;
  config = steward_document_config (&s->document);
  if (config != NULL)
    steward_brakes_apply_config (&s->brakes, config);
  config_unref (config);
  steward_cluster_apply (s);
  return true;
}
