/** What callers can make a front hold: src/front_memory.c, http_arrival.c. */
#include "front_memory.h"
#include "http_arrival.h"
#include "suite.h"

#define MB                  ((size_t)1 << 20)
#define SMALLEST_MB         88 /* of all deployments */
#define KERNEL_BUFFER_BYTES ((size_t)32768)
#define LEGAL_BODY_BYTES    (4 * MB)

static FrontMemory
memory_of (double mb)
{
  FrontMemory memory = { 0 };

  front_memory_set (&memory, mb);
  return memory;
}

/* Guards against bounds that add up to more than the machine has beside the process itself. */
static void
test_all_uses_stay_within_a_share (void)
{
  FrontMemory memory = memory_of (0);

  CU_ASSERT_EQUAL (memory.max, MEMORY_DEFAULT_MB * MB / 4);
  CU_ASSERT (2 * memory.use_max < memory.max);
  for (unsigned i = 0; i < MEMORY_USES; i++)
    front_memory_change (&memory, (MemoryUse)i, 0, memory.max / MEMORY_USES);
  CU_ASSERT_FALSE (front_memory_is_over (&memory));
  front_memory_change (&memory, MEMORY_REQUESTS, 0, MEMORY_USES);
  CU_ASSERT (front_memory_is_over (&memory));
  for (unsigned i = 0; i < MEMORY_USES; i++)
    front_memory_change (&memory, (MemoryUse)i, memory.held[i], 0);
  CU_ASSERT_EQUAL (front_memory_held (&memory), 0);
}

/* Guards against a machine on which a request or an answer of legal length can't be served. */
static void
test_the_smallest_machine_serves_the_longest (void)
{
  FrontMemory memory = memory_of (SMALLEST_MB);

  front_memory_change (&memory, MEMORY_BODIES, 0, LEGAL_BODY_BYTES);
  CU_ASSERT_FALSE (front_memory_bodies_are_full (&memory));
  CU_ASSERT (front_memory_answers_leave (&memory, memory.answer_max));
  CU_ASSERT_EQUAL (memory.answer_max, MEMORY_ANSWER_MAX_BYTES);
  front_memory_change (&memory, MEMORY_ANSWERS, 0, MEMORY_ANSWER_MAX_BYTES);
  CU_ASSERT_FALSE (front_memory_is_over (&memory));
}

/* Guards against long bodies and unread answers that leave no room for short requests. */
static void
test_short_requests_keep_room (void)
{
  FrontMemory memory = memory_of (0);

  front_memory_change (&memory, MEMORY_BODIES, 0, memory.use_max);
  front_memory_change (&memory, MEMORY_UNREAD, 0, memory.use_max);
  CU_ASSERT_FALSE (front_memory_bodies_are_full (&memory));
  CU_ASSERT (front_memory_unread_is_full (&memory));
  CU_ASSERT_FALSE (front_memory_is_over (&memory));
  CU_ASSERT (memory.max - front_memory_held (&memory) >= memory.max / 5);
}

/* Guards against connections whose buffers in the kernel exceed the machine's memory together. */
static void
test_buffers_in_the_kernel_fit (void)
{
  FrontMemory memory = memory_of (SMALLEST_MB);
  unsigned connections = front_memory_connections_max (&memory, KERNEL_BUFFER_BYTES);

  CU_ASSERT (connections * KERNEL_BUFFER_BYTES + memory.max <= SMALLEST_MB * MB * 6 / 10);
  CU_ASSERT (connections >= 800);
}

/* Guards against answers that all wait for each other: one can always be read to its end. */
static void
test_one_answer_fits_whatever_waits (void)
{
  const double sizes_mb[] = { 8, 30, 88, 110, 1024 };

  for (unsigned i = 0; i < SUITE_COUNT (sizes_mb); i++)
    {
      FrontMemory memory = memory_of (sizes_mb[i]);

      CU_ASSERT_FALSE (front_memory_unread_is_full (&memory));
      front_memory_change (&memory, MEMORY_ANSWERS, 0, memory.use_max + 1);
      CU_ASSERT_FALSE (front_memory_answers_leave (&memory, memory.answer_max));
      CU_ASSERT_FALSE (front_memory_unread_is_full (&memory));
      front_memory_change (&memory, MEMORY_UNREAD, 0, memory.use_max);
      CU_ASSERT (front_memory_unread_is_full (&memory));
    }
}

/* Guards against one long answer, read slowly, for which no other one is read. */
static void
test_unread_answer_leaves_room_for_others (void)
{
  FrontMemory memory = memory_of (MEMORY_DEFAULT_MB);

  front_memory_change (&memory, MEMORY_UNREAD, 0, 6 * MB);
  CU_ASSERT (front_memory_answers_leave (&memory, 4 * MB));
  CU_ASSERT_FALSE (front_memory_answers_leave (&memory, 6 * MB));
  front_memory_change (&memory, MEMORY_ANSWERS, 0, 5 * MB);
  CU_ASSERT_FALSE (front_memory_answers_leave (&memory, 1));
  CU_ASSERT (front_memory_unread_leaves (&memory, 4 * MB));
}

/* Guards against callers of slow networks that are taken for ones that hold a request back. */
static void
test_requests_in_time_are_not_late (void)
{
  CU_ASSERT (http_arrival_late_ms (999, 0) <= 0);
  CU_ASSERT (http_arrival_late_ms (1001, 0) > 0);
  CU_ASSERT (http_arrival_late_ms (1003, 100) > 0);
  CU_ASSERT (http_arrival_late_ms (1000 + 65536 / 64, 65536) <= 0);
  CU_ASSERT (http_arrival_late_ms (60000, LEGAL_BODY_BYTES) <= 0);
  CU_ASSERT (http_arrival_late_ms (70000, LEGAL_BODY_BYTES) > 0);
}

static const SuiteCase cases[] = {
  { "all_uses_stay_within_a_share", test_all_uses_stay_within_a_share },
  { "the_smallest_machine_serves_the_longest", test_the_smallest_machine_serves_the_longest },
  { "short_requests_keep_room", test_short_requests_keep_room },
  { "buffers_in_the_kernel_fit", test_buffers_in_the_kernel_fit },
  { "one_answer_fits_whatever_waits", test_one_answer_fits_whatever_waits },
  { "unread_answer_leaves_room_for_others", test_unread_answer_leaves_room_for_others },
  { "requests_in_time_are_not_late", test_requests_in_time_are_not_late },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_memory", cases, SUITE_COUNT (cases));
}
