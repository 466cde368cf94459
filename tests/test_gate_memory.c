/** What callers can make a gate hold: src/gate_memory.c. */
#include "gate_memory.h"
#include "suite.h"
#include <pthread.h>

#define MB               ((size_t)1 << 20)
#define SMALLEST_MB      110
#define BODY_BYTES       (4 * MB) /* the longest legal body */
#define WAIT_MS          20000
#define CONNECTION_BYTES ((size_t)80 << 10) /* with its thread and its buffers in the kernel */

typedef struct
{
  GateMemory memory;
  pthread_t thread;
  bool has_room;
} Site;

static void
site_init (Site *site)
{
  *site = (Site){ 0 };
  gate_memory_init (&site->memory, SMALLEST_MB * MB, 2000);
}

/* Guards against bounds that add up to more than the process may take. */
static void
test_bounds_add_up (void)
{
  Site site;
  size_t all;

  site_init (&site);
  all = site.memory.max[GATE_MEMORY_REQUESTS] + site.memory.max[GATE_MEMORY_ANSWERS]
        + (size_t)site.memory.connections_max * CONNECTION_BYTES;
  CU_ASSERT (all <= SMALLEST_MB * MB * 4 / 5);
  CU_ASSERT (site.memory.connections_max >= 400);
  gate_memory_clear (&site.memory);
  gate_memory_init (&site.memory, SMALLEST_MB * MB, 10);
  CU_ASSERT_EQUAL (site.memory.connections_max, 84);
  gate_memory_clear (&site.memory);
}

/* Guards against a machine on which the longest body can't be served, and against long bodies that
 * leave no room for short requests. */
static void
test_long_requests_leave_room (void)
{
  Site site;

  site_init (&site);
  CU_ASSERT (
      gate_memory_take_request (&site.memory, BODY_BYTES * GATE_MEMORY_REQUEST_FACTOR, false));
  while (gate_memory_take_request (&site.memory, GATE_MEMORY_SHORT_BYTES, false))
    continue;
  CU_ASSERT (gate_memory_take_request (&site.memory, MB, true));
  CU_ASSERT (gate_memory_held (&site.memory, GATE_MEMORY_REQUESTS)
             <= site.memory.max[GATE_MEMORY_REQUESTS]);
  while (gate_memory_take_request (&site.memory, MB, true))
    continue;
  CU_ASSERT (gate_memory_held (&site.memory, GATE_MEMORY_REQUESTS)
             <= site.memory.max[GATE_MEMORY_REQUESTS]);
  gate_memory_clear (&site.memory);
}

static void *
take_all (void *context)
{
  Site *site = context;

  site->has_room
      = gate_memory_take_answer (&site->memory, site->memory.max[GATE_MEMORY_ANSWERS], WAIT_MS);
  return NULL;
}

static bool
is_waited_for (void *context)
{
  Site *site = context;

  return gate_memory_is_waited_for (&site->memory);
}

/* Guards against an answer that is given up while another one is about to make room. */
static void
test_answers_wait_for_room (void)
{
  Site site;

  site_init (&site);
  CU_ASSERT (gate_memory_take_answer (&site.memory, MB, 0));
  CU_ASSERT_FALSE (gate_memory_take_answer (&site.memory, site.memory.max[GATE_MEMORY_ANSWERS], 1));
  CU_ASSERT_FALSE (gate_memory_is_waited_for (&site.memory));
  pthread_create (&site.thread, NULL, take_all, &site);
  CU_ASSERT (suite_wait (is_waited_for, &site));
  gate_memory_give (&site.memory, GATE_MEMORY_ANSWERS, MB);
  pthread_join (site.thread, NULL);
  CU_ASSERT (site.has_room);
  gate_memory_clear (&site.memory);
}

static const SuiteCase cases[] = {
  { "bounds_add_up", test_bounds_add_up },
  { "long_requests_leave_room", test_long_requests_leave_room },
  { "answers_wait_for_room", test_answers_wait_for_room },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "gate_memory", cases, SUITE_COUNT (cases));
}
