/**
 * The newest configuration document of a steward: its number only rises, whatever the order of
 * arrival.
 */
#include "steward_document.h"
#include "suite.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define WRITERS 4
#define NUMBERS 200

static void
expect (StewardDocument *d, int64_t number, const char *text)
{
  int64_t kept;
  char *kept_text = steward_document_text (d, &kept);

  CU_ASSERT_EQUAL (kept, number);
  CU_ASSERT_EQUAL (steward_document_number (d), number);
  CU_ASSERT_STRING_EQUAL (kept_text, text);
  free (kept_text);
}

/* A peer's answer with document 4 arrives after document 5 was read from the table. Were it stored,
 * a version that 5 withdraws would get work again. */
static void
test_late_document_does_not_revert (void)
{
  StewardDocument d;

  steward_document_init (&d);
  CU_ASSERT_TRUE (steward_document_put (&d, 3, "three"));
  CU_ASSERT_TRUE (steward_document_put (&d, 5, "five"));
  CU_ASSERT_FALSE (steward_document_put (&d, 4, "four"));
  expect (&d, 5, "five");
  CU_ASSERT_FALSE (steward_document_put (&d, 5, "another five"));
  expect (&d, 5, "five");
  steward_document_clear (&d);
}

typedef struct
{
  StewardDocument *d;
  int first;
  bool fell;
} Writer;

static void *
write_numbers (void *context)
{
  Writer *w = context;
  char text[16];

  for (int number = w->first; number <= NUMBERS; number += WRITERS)
    {
      snprintf (text, sizeof text, "%d", number);
      (void)steward_document_put (w->d, number, text);
      w->fell = w->fell || steward_document_number (w->d) < number;
    }
  return NULL;
}

/* The table's thread and the one that fetches from peers store documents at the same time: another
   document may arrive between the check of the number and the write. */
static void
test_concurrent_puts_keep_newest (void)
{
  for (int round = 0; round < 50; round++)
    {
      StewardDocument d;
      Writer writers[WRITERS];
      pthread_t threads[WRITERS];

      steward_document_init (&d);
      for (int i = 0; i < WRITERS; i++)
        {
          writers[i] = (Writer){ .d = &d, .first = i + 1 };
          CU_ASSERT_EQUAL (pthread_create (&threads[i], NULL, write_numbers, &writers[i]), 0);
        }
      for (int i = 0; i < WRITERS; i++)
        {
          pthread_join (threads[i], NULL);
          CU_ASSERT_FALSE (writers[i].fell);
        }
      CU_ASSERT_EQUAL (steward_document_number (&d), NUMBERS);
      steward_document_clear (&d);
    }
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "late_document_does_not_revert", test_late_document_does_not_revert },
    { "concurrent_puts_keep_newest", test_concurrent_puts_keep_newest },
  };

  return suite_main (argc, argv, "steward_document", cases, SUITE_COUNT (cases));
}
