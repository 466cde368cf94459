/** Tables of a store that comes back from a copy some seconds old: src/front_row.c, front_table.c,
 *  platform/wire_store.c. */
#include "suite.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KNOWN    50 /* version that is known when the store goes away */
#define ROWS_MAX 500

static char changes[400];

static void
record_change (void *user UNUSED, const StoreRow *row)
{
  size_t len = strlen (changes);

  snprintf (changes + len, sizeof changes - len, "%s%s=%s ", row->removed ? "-" : "", row->key,
            row->value ? row->value : "");
}

typedef struct
{
  const char *key;
  const char *value; /* NULL: removed */
  int64_t number;
} Row;

static StoreAnswer
answer_of (int64_t era, int64_t number, const Row *rows, unsigned count)
{
  StoreAnswer answer = { .count = count, .version = number };

  answer.rows = memory_array (count ? count : 1, sizeof *answer.rows);
  for (unsigned i = 0; i < count; i++)
    answer.rows[i] = (StoreRow){
      .key = memory_strdup (rows[i].key),
      .value = rows[i].value ? memory_strdup (rows[i].value) : NULL,
      .value_len = rows[i].value ? strlen (rows[i].value) : 0,
      .version = rows[i].number,
      .removed = !rows[i].value,
    };
  store_answer_set_era (&answer, era);
  return answer;
}

static void
read_all (FrontTable *table, int64_t era, int64_t number, const Row *rows, unsigned count)
{
  StoreAnswer answer = answer_of (era, number, rows, count);

  changes[0] = '\0';
  front_table_apply_snapshot (table, &answer, record_change, NULL);
  store_answer_clear (&answer);
}

static void
read_changes (FrontTable *table, int64_t era, int64_t number, const Row *rows, unsigned count)
{
  StoreAnswer answer = answer_of (era, number, rows, count);

  changes[0] = '\0';
  front_table_apply_changes (table, &answer, record_change, NULL);
  store_answer_clear (&answer);
}

static const Row before[] = { { "a", "1", 5 }, { "b", "1", 6 }, { "c", "1", 7 }, { "d", "1", 40 } };

static void
test_version_includes_era (void)
{
  int64_t version = store_version (3, 17);

  CU_ASSERT_EQUAL (store_version_era (version), 3);
  CU_ASSERT_EQUAL (store_version_number (version), 17);
  CU_ASSERT (version > store_version (2, 900000000000));
  CU_ASSERT_EQUAL (store_version (0, 17), 17);
}

/* A row that was written after the store's return has a version that was known before. It must not
 * be taken for an old copy; a row that is as it was must not be applied again. */
static void
test_changes_of_new_era_are_newer (void)
{
  static const Row after[] = { { "a", "1", 5 }, { "b", "2", 6 }, { "c", "0", 3 }, { "e", "1", 8 } };
  FrontTable table;

  front_table_init (&table);
  read_all (&table, 1, KNOWN, before, 4);
  CU_ASSERT_STRING_EQUAL (changes, "a=1 b=1 c=1 d=1 ");
  read_all (&table, 2, 8, after, 4);
  CU_ASSERT_STRING_EQUAL (changes, "c=0 b=2 e=1 -d= ");
  CU_ASSERT_EQUAL (table.version, store_version (2, 8));
  read_changes (&table, 2, 9, &(Row){ "a", NULL, 9 }, 1);
  CU_ASSERT_STRING_EQUAL (changes, "-a= ");
  read_changes (&table, 1, KNOWN, &(Row){ "b", "old", 45 }, 1);
  CU_ASSERT_STRING_EQUAL (changes, "");
  front_table_clear (&table);
}

/* Other fronts get the differences only, if they knew no more than this one did before. Each of a
 * thousand would read 10,000 rows otherwise. */
static void
test_differences_are_relayed (void)
{
  static const Row after[] = { { "a", "1", 5 }, { "b", "2", 6 }, { "c", "1", 7 } };
  FrontTable table, other;
  Buffer out = { 0 };
  StoreAnswer answer;

  front_table_init (&table);
  front_table_init (&other);
  read_all (&table, 1, KNOWN, before, 4);
  read_all (&other, 1, KNOWN, before, 4);
  read_all (&table, 2, 8, after, 3);
  CU_ASSERT (table.newest > other.version);
  CU_ASSERT (front_table_keeps_changes_since (&table, store_version (1, KNOWN)));
  CU_ASSERT_FALSE (front_table_keeps_changes_since (&table, store_version (1, KNOWN + 1)));
  wire_store_encode (&out, &table,
                     &(StorePart){ .since = store_version (1, KNOWN), .rows_max = ROWS_MAX });
  CU_ASSERT_FATAL (wire_store_decode (out.data, out.len, &answer));
  changes[0] = '\0';
  front_table_apply_changes (&other, &answer, record_change, NULL);
  store_answer_clear (&answer);
  CU_ASSERT_STRING_EQUAL (changes, "b=2 -d= ");
  CU_ASSERT_EQUAL (other.version, table.version);
  /* After one more era what was known in the first one no longer suffices. */
  read_all (&table, 3, 8, after, 3);
  CU_ASSERT (front_table_keeps_changes_since (&table, store_version (2, 8)));
  CU_ASSERT_FALSE (front_table_keeps_changes_since (&table, store_version (2, 9)));
  CU_ASSERT_FALSE (front_table_keeps_changes_since (&table, store_version (1, KNOWN)));
  buffer_free (&out);
  front_table_clear (&table);
  front_table_clear (&other);
}

static int64_t
era_of (const char *field)
{
  HttpReply reply;
  char text[200];
  int64_t era;

  snprintf (text, sizeof text, "HTTP/1.1 410 Gone\r\n%s\r\nContent-Length: 0\r\n\r\n", field);
  http_reply_init (&reply);
  http_reply_feed (&reply, text, strlen (text));
  era = wire_store_era (&reply);
  http_reply_clear (&reply);
  return era;
}

static void
test_era_of_an_answer (void)
{
  CU_ASSERT_EQUAL (era_of ("Store-Era: 4"), 4);
  CU_ASSERT_EQUAL (era_of ("store-era: 4"), 4);
  CU_ASSERT_EQUAL (era_of ("X: 4"), 0);
  CU_ASSERT_EQUAL (era_of ("Store-Era: -4"), 0);
  CU_ASSERT_EQUAL (era_of ("Store-Era: many"), 0);
  CU_ASSERT_EQUAL (era_of ("Store-Era: 900000000000000000"), 0);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "version_includes_era", test_version_includes_era },
    { "changes_of_new_era_are_newer", test_changes_of_new_era_are_newer },
    { "differences_are_relayed", test_differences_are_relayed },
    { "era_of_an_answer", test_era_of_an_answer },
  };

  return suite_main (argc, argv, "front_era_table", cases, SUITE_COUNT (cases));
}
