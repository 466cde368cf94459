/** How descriptors are divided: src/front_descriptors.c. */
#include "front_descriptors.h"
#include "suite.h"
#include <stdio.h>

#define FIXED_DESCRIPTORS 24 /* of the process itself */

/* Guards against kinds of connections that together take more descriptors than there are. */
static void
test_descriptors_add_up (void)
{
  for (int64_t all = 64; all <= 100000; all += all / 8)
    {
      FrontDescriptors d = front_descriptors_divide (all);
      int64_t sum = 2 * (int64_t)(d.callers + d.handoffs) + d.copies + d.kept + d.control + d.ready
                    + FIXED_DESCRIPTORS;

      CU_ASSERT (d.callers > 0 && d.handoffs > 0 && d.control > 0 && d.ready > 0);
      if (sum > all)
        {
          printf ("%lld descriptors: %lld in use\n", (long long)all, (long long)sum);
          CU_FAIL ("more than there are");
        }
    }
  CU_ASSERT (front_descriptors_divide (4100).callers >= 1500);
  CU_ASSERT (front_descriptors_divide (0).callers > 100000);
}

static const SuiteCase cases[] = {
  { "descriptors_add_up", test_descriptors_add_up },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_descriptors", cases, SUITE_COUNT (cases));
}
