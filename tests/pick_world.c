#include "pick_world.h"
#include "suite.h"
#include <string.h>

FrontServers *servers;
FrontCall call;

ServerEntry
entry_of (const char *id, const char *domain, const char *version)
{
  ServerEntry entry = { .slots = 48 };

  snprintf (entry.id, sizeof entry.id, "%s", id);
  snprintf (entry.service, sizeof entry.service, "drafts");
  snprintf (entry.address, sizeof entry.address, "10.0.0.%zu:80", strlen (id));
  snprintf (entry.failure_domain, sizeof entry.failure_domain, "%s", domain);
  snprintf (entry.version, sizeof entry.version, "%s", version);
  return entry;
}

void
add (const char *id, const char *domain, const char *version)
{
  ServerEntry entry = entry_of (id, domain, version);
  bool changed;

  CU_ASSERT (front_servers_set (servers, &entry, NOW, &changed));
}

void
setup (void)
{
  if (servers)
    front_servers_free (servers);
  servers = front_servers_new ("here");
  call = (FrontCall){ .prompt_tokens = 7000, .part_count = 2 };
  call.parts[0] = (PromptPart){ .id = 11, .tokens = 5000 };
  call.parts[1] = (PromptPart){ .id = 12, .tokens = 2000 };
}

PickQuery
query_of (const char *version)
{
  return (PickQuery){
    .service = "drafts",
    .version = version,
    .call = &call,
    .model = 1,
    .read_time = { .ms_per_token = 0.01 },
    .is_model = true,
    .reuse_window_ms = 6000,
  };
}

const char *
picked (const PickQuery *query, int64_t now_ms)
{
  PickAnswer answer = front_pick (servers, query, now_ms);

  return answer.server ? answer.server->entry.id : "none";
}
