/** States of a backend server: src/front_server.c, front_servers.c, front_health.c. */
#include "front_servers.h"
#include "suite.h"
#include <stdio.h>

#define NOW      100000 /* milliseconds */
#define GRACE_MS 2200

/** What may happen to a server. */
typedef enum
{
  LISTED,
  LISTED_COLD, /* for 1,000 ms */
  DRAINS,
  REMOVED,
  LAPSED,       /* removed while the store was unavailable recently */
  ADDRESS_LOST, /* another server answers at its address */
  ANSWERED,
  FAILED,
  FULL,
  UNREACHABLE,
  EVACUATED, /* its failure domain */
  EVACUATION_ENDED,
  ASKS_REST,       /* of 3,000 ms, when it turns a request away */
  ASKS_SHORT_REST, /* of 500 ms */
  SAYS_LEAVING,    /* in an answer */
  NOTHING,         /* only time passes */
} Event;

typedef struct
{
  Event event;
  int64_t at_ms; /* since the start of the scenario */
  FrontServerState state;
} Step;

#define STEPS_MAX 8

/** A sequence of events, with the expected state after each; together the scenarios cover every
 *  transition. */
typedef struct
{
  const char *name;
  unsigned count;
  Step steps[STEPS_MAX];
} Scenario;

static const Scenario scenarios[] = {
  { "drains and is removed",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { DRAINS, 10, FRONT_SERVER_LEAVING },
      { LISTED, 20, FRONT_SERVER_LEAVING }, /* an older report must not undo it */
      { REMOVED, 30, FRONT_SERVER_GONE } } },
  { "starts cold",
    3,
    { { LISTED_COLD, 0, FRONT_SERVER_COLD },
      { ANSWERED, 999, FRONT_SERVER_COLD },
      { NOTHING, 1000, FRONT_SERVER_READY } } },
  { "its entry expires and is back",
    3,
    { { LISTED, 0, FRONT_SERVER_READY },
      { LAPSED, 100, FRONT_SERVER_UNCONFIRMED },
      { LISTED, 500, FRONT_SERVER_READY } } },
  { "its entry expires for good",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { LAPSED, 100, FRONT_SERVER_UNCONFIRMED },
      { LAPSED, 100 + GRACE_MS - 1,
        FRONT_SERVER_UNCONFIRMED }, /* its grace period is not restarted */
      { NOTHING, 100 + GRACE_MS, FRONT_SERVER_GONE } } },
  { "drains while it is not confirmed",
    3,
    { { LISTED, 0, FRONT_SERVER_READY },
      { LAPSED, 100, FRONT_SERVER_UNCONFIRMED },
      { DRAINS, 200, FRONT_SERVER_LEAVING } } },
  { "its address is used again",
    3,
    { { LISTED, 0, FRONT_SERVER_READY },
      { ADDRESS_LOST, 100, FRONT_SERVER_LEAVING },
      { LISTED, 200, FRONT_SERVER_LEAVING } } },
  { "can't be reached for a while",
    5,
    { { LISTED, 0, FRONT_SERVER_READY },
      { UNREACHABLE, 10, FRONT_SERVER_AVOIDED },
      { NOTHING, 809, FRONT_SERVER_AVOIDED },
      { NOTHING, 810, FRONT_SERVER_READY },
      { ANSWERED, 820, FRONT_SERVER_READY } } },
  { "can't be reached several times",
    5,
    { { LISTED, 0, FRONT_SERVER_READY },
      { UNREACHABLE, 10, FRONT_SERVER_AVOIDED },
      { UNREACHABLE, 810, FRONT_SERVER_AVOIDED },
      { NOTHING, 2409, FRONT_SERVER_AVOIDED }, /* avoided for twice as long */
      { NOTHING, 2410, FRONT_SERVER_READY } } },
  { "fails most requests",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { FAILED, 10, FRONT_SERVER_READY }, /* one may be a coincidence */
      { FAILED, 10, FRONT_SERVER_AVOIDED },
      { NOTHING, 1510, FRONT_SERVER_READY } } },
  { "fails few of many",
    5,
    { { LISTED, 0, FRONT_SERVER_READY },
      { ANSWERED, 10, FRONT_SERVER_READY },
      { ANSWERED, 10, FRONT_SERVER_READY },
      { FAILED, 10, FRONT_SERVER_READY },
      { FAILED, 10, FRONT_SERVER_READY } } },
  { "is full",
    3,
    { { LISTED, 0, FRONT_SERVER_READY },
      { FULL, 10, FRONT_SERVER_AVOIDED },
      { NOTHING, 160, FRONT_SERVER_READY } } },
  { "answers don't shorten its avoidance",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { UNREACHABLE, 10, FRONT_SERVER_AVOIDED },
      { ANSWERED, 20, FRONT_SERVER_AVOIDED }, /* it was used for lack of others */
      { NOTHING, 810, FRONT_SERVER_READY } } },
  { "stays evacuated despite answers and reports",
    5,
    { { LISTED, 0, FRONT_SERVER_READY },
      { EVACUATED, 10, FRONT_SERVER_EVACUATED },
      { ANSWERED, 20, FRONT_SERVER_EVACUATED },
      { LISTED_COLD, 30, FRONT_SERVER_EVACUATED },
      { EVACUATION_ENDED, 2000, FRONT_SERVER_READY } } },
  { "is listed in an evacuated failure domain, and leaves there",
    4,
    { { EVACUATED, 0, FRONT_SERVER_GONE },
      { LISTED, 10, FRONT_SERVER_EVACUATED },
      { DRAINS, 20, FRONT_SERVER_LEAVING },
      { EVACUATION_ENDED, 30, FRONT_SERVER_LEAVING } } },
  { "asks for rest",
    5,
    { { LISTED, 0, FRONT_SERVER_READY },
      { ASKS_REST, 10, FRONT_SERVER_RESTING },
      { ANSWERED, 20, FRONT_SERVER_RESTING }, /* to a request sent before */
      { LISTED, 3009, FRONT_SERVER_RESTING },
      { NOTHING, 3010, FRONT_SERVER_READY } } },
  { "asks for a shorter rest within a longer one",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { ASKS_REST, 10, FRONT_SERVER_RESTING },
      { ASKS_SHORT_REST, 20, FRONT_SERVER_RESTING },
      { NOTHING, 3009, FRONT_SERVER_RESTING } } },
  { "rests while it is not confirmed",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { LAPSED, 100, FRONT_SERVER_UNCONFIRMED },
      { ASKS_SHORT_REST, 200, FRONT_SERVER_RESTING },
      { NOTHING, 700, FRONT_SERVER_UNCONFIRMED } } },
  { "says in an answer that it leaves",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { SAYS_LEAVING, 10, FRONT_SERVER_LEAVING },
      { LISTED, 20, FRONT_SERVER_LEAVING }, /* the list tells it later */
      { REMOVED, 30, FRONT_SERVER_GONE } } },
  { "is avoided and leaves",
    4,
    { { LISTED, 0, FRONT_SERVER_READY },
      { UNREACHABLE, 10, FRONT_SERVER_AVOIDED },
      { LAPSED, 20, FRONT_SERVER_UNCONFIRMED },
      { DRAINS, 30, FRONT_SERVER_LEAVING } } },
};

static ServerEntry
entry_of (const char *id)
{
  ServerEntry entry = { .service = "drafts",
                        .address = "10.0.0.1:80",
                        .failure_domain = "hall",
                        .version = "v1",
                        .slots = 8 };

  snprintf (entry.id, sizeof entry.id, "%s", id);
  return entry;
}

static void
register_server (FrontServers *servers,
                 const char *id,
                 bool draining,
                 int64_t cold_ms,
                 int64_t now_ms)
{
  ServerEntry entry = entry_of (id);
  bool changed;

  entry.draining = draining;
  entry.cold_ms = cold_ms;
  CU_ASSERT (front_servers_set (servers, &entry, now_ms, &changed));
}

static void
apply_event (FrontServers *servers, FrontServer *server, Event event, int64_t now_ms)
{
  switch (event)
    {
    case LISTED:
    case LISTED_COLD:
    case DRAINS:
      register_server (servers, "a", event == DRAINS, event == LISTED_COLD ? 1000 : 0, now_ms);
      break;
    case REMOVED:
    case LAPSED:
      front_servers_remove (servers, "a", now_ms, event == LAPSED ? GRACE_MS : 0);
      break;
    case ADDRESS_LOST:
      front_server_lost_address (server);
      break;
    case ANSWERED:
      front_health_answered (&server->health, now_ms, 10, 10);
      break;
    case FAILED:
      front_health_failed (&server->health, now_ms);
      break;
    case FULL:
      front_health_full (&server->health, now_ms);
      break;
    case UNREACHABLE:
      front_health_unreachable (&server->health, now_ms);
      break;
    case EVACUATED:
    case EVACUATION_ENDED:
      front_servers_evacuate (servers, "hall", event == EVACUATED, now_ms, now_ms);
      break;
    case ASKS_REST:
    case ASKS_SHORT_REST:
      front_server_rest (server, event == ASKS_REST ? 3000 : 500, now_ms);
      break;
    case SAYS_LEAVING:
      front_servers_said_leaving (server);
      break;
    case NOTHING:
      break;
    }
  front_servers_expire (servers, now_ms);
}

static void
run_scenario (const Scenario *scenario)
{
  FrontServers *servers = front_servers_new ("here");
  FrontServer *server = NULL;

  for (unsigned i = 0; i < scenario->count; i++)
    {
      const Step *step = &scenario->steps[i];
      FrontServerState state;

      apply_event (servers, server, step->event, NOW + step->at_ms);
      if (!server)
        server = front_servers_find (servers, "a");
      if (!server)
        {
          CU_ASSERT_EQUAL (step->state, FRONT_SERVER_GONE); /* not listed yet */
          continue;
        }
      if (server->references == 0)
        front_server_ref (server); /* held by an attempt until the end */
      state = front_server_state (server, NOW + step->at_ms);
      if (state != step->state)
        printf ("%s, step %u: %s instead of %s\n", scenario->name, i,
                front_server_state_name (state), front_server_state_name (step->state));
      CU_ASSERT_EQUAL (state, step->state);
    }
  front_server_unref (server);
  front_servers_free (servers);
}

static void
test_state_transitions (void)
{
  for (size_t i = 0; i < SUITE_COUNT (scenarios); i++)
    run_scenario (&scenarios[i]);
}

/* Each state is reached in some scenario, and has a name of its own. */
static void
test_every_state_is_reached_and_named (void)
{
  bool seen[FRONT_SERVER_STATES] = { 0 };

  for (size_t i = 0; i < SUITE_COUNT (scenarios); i++)
    {
      for (unsigned j = 0; j < scenarios[i].count; j++)
        seen[scenarios[i].steps[j].state] = true;
    }
  for (unsigned i = 0; i < FRONT_SERVER_STATES; i++)
    {
      CU_ASSERT (seen[i]);
      for (unsigned j = 0; j < i; j++)
        CU_ASSERT_STRING_NOT_EQUAL (front_server_state_name ((FrontServerState)i),
                                    front_server_state_name ((FrontServerState)j));
    }
}

static const SuiteCase cases[] = {
  { "state_transitions", test_state_transitions },
  { "every_state_is_reached_and_named", test_every_state_is_reached_and_named },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_server", cases, SUITE_COUNT (cases));
}
