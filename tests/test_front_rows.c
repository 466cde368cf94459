/** Tables that other fronts read in parts while they change: src/front_table.c,
 *  front_rows_cache.c, front_store_peer.c. */
#include "front_rows_cache.h"
#include "front_store_private.h"
#include "suite.h"
#include "util_memory.h"
#include "util_unused.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS       10000
#define PART_ROWS     500 /* most rows in one part */
#define PARTS_MAX     100 /* more than any read here takes */
#define SMALL_SERVERS 20
#define LATER_CHANGES 10 /* of other tables */

typedef struct
{
  FrontStore store;
  FrontTable *table;
  int64_t version;
  unsigned restarts; /* complete reads that had to begin again */
} Giver;

static void
ignore (void *user UNUSED, const StoreRow *row UNUSED)
{
}

static void
change_row (Giver *giver, unsigned number, bool removed)
{
  StoreAnswer answer = { .count = 1, .version = ++giver->version };
  char text[32];

  snprintf (text, sizeof text, "server-%u", number);
  answer.rows = memory_array (1, sizeof *answer.rows);
  answer.rows[0]
      = (StoreRow){ .key = memory_strdup (text), .version = giver->version, .removed = removed };
  if (!removed)
    {
      snprintf (text, sizeof text, "%lld", (long long)giver->version);
      answer.rows[0].value = memory_strdup (text);
      answer.rows[0].value_len = strlen (text);
    }
  front_table_apply_changes (giver->table, &answer, ignore, NULL);
  store_answer_clear (&answer);
}

static Giver *
giver_new (unsigned servers)
{
  Giver *giver = memory_alloc (sizeof *giver);

  giver->table = &giver->store.watches[STORE_SERVERS].table;
  front_table_init (giver->table);
  for (unsigned i = 0; i < servers; i++)
    change_row (giver, i, false);
  return giver;
}

static void
giver_free (Giver *giver)
{
  front_table_clear (giver->table);
  free (giver);
}

/* Called between two parts. */
typedef void (*Disturb) (Giver *giver, unsigned part);

/* Reads the whole table in parts as a starting front does; returns the number of parts. */
static unsigned
read_all (Giver *giver, RowsCache *cache, FrontTable *reader, Disturb disturb)
{
  StoreAnswer all = { 0 };
  bool more = true;
  unsigned parts = 0;

  while (more && parts++ < PARTS_MAX)
    {
      RowsRequest request
          = { .table = STORE_SERVERS, .since = all.version, .base = all.base_version };
      const Buffer *text = rows_cache_get (cache, &giver->store, &request);
      StoreAnswer part;

      if (!text)
        {
          giver->restarts++;
          store_answer_clear (&all);
          continue;
        }
      CU_ASSERT_FATAL (front_store_decode_peer_answer (NULL, text->data, text->len, &part));
      CU_ASSERT (part.count <= PART_ROWS);
      more = part.has_more;
      if (part.base_version != 0)
        all.base_version = part.base_version;
      all.version = part.version;
      store_answer_append (&all, &part);
      if (disturb && more)
        disturb (giver, parts);
    }
  front_table_apply_snapshot (reader, &all, ignore, NULL);
  store_answer_clear (&all);
  return parts;
}

/* Number of rows that differ. */
static unsigned
differences (const FrontTable *a, const FrontTable *b, unsigned servers)
{
  unsigned count = 0;

  for (unsigned i = 0; i < servers; i++)
    {
      char key[32];
      const StoreRow *first, *second;

      snprintf (key, sizeof key, "server-%u", i);
      first = front_table_find (a, key);
      second = front_table_find (b, key);
      count += !first != !second || (first && strcmp (first->value, second->value) != 0);
    }
  return count;
}

/* All rows of 10,000 servers in one answer are 5 MB of text, which a VM with 0.12 of a core encodes
 * for longer than the requester waits; it then reads the table at the store. */
static void
test_large_table_is_read_in_parts (void)
{
  Giver *giver = giver_new (SERVERS);
  RowsCache cache = { 0 };
  FrontTable reader;

  front_table_init (&reader);
  CU_ASSERT (read_all (giver, &cache, &reader, NULL) <= 2 * SERVERS / PART_ROWS);
  CU_ASSERT_EQUAL (differences (giver->table, &reader, SERVERS), 0);
  CU_ASSERT_EQUAL (reader.version, giver->table->version);
  front_table_clear (&reader);
  rows_cache_clear (&cache);
  giver_free (giver);
}

/* Changes rows that were read and rows that were not, and removes some of both. */
static void
change_and_remove (Giver *giver, unsigned part)
{
  for (unsigned i = 0; i < 20; i++)
    {
      change_row (giver, (part * 37 + i * 101) % SERVERS, i % 4 == 0);
      change_row (giver, (part * 53 + i) % SERVERS, false);
    }
}

/* Servers register, change and leave while a front reads them: the copy must be as if it had been
 * read at one moment, with nothing missing and no server that has left. */
static void
test_changes_while_reading_are_included (void)
{
  Giver *giver = giver_new (SERVERS);
  RowsCache cache = { 0 };
  FrontTable reader;

  front_table_init (&reader);
  read_all (giver, &cache, &reader, change_and_remove);
  CU_ASSERT_EQUAL (differences (giver->table, &reader, SERVERS), 0);
  CU_ASSERT_EQUAL (giver->restarts, 0);
  front_table_clear (&reader);
  rows_cache_clear (&cache);
  giver_free (giver);
}

/* After the second part more removals happen than are kept. */
static void
drop_history (Giver *giver, unsigned part)
{
  for (unsigned i = 0; part == 2 && i < SERVERS; i++)
    change_row (giver, i, i % 10 != 0);
}

/* The front that is read from no longer knows which of the rows that it gave have been removed: the
 * read has to begin again, as it would otherwise keep servers that have left. */
static void
test_read_begins_again_after_dropped_removals (void)
{
  Giver *giver = giver_new (SERVERS);
  RowsCache cache = { 0 };
  FrontTable reader;

  front_table_init (&reader);
  read_all (giver, &cache, &reader, drop_history);
  CU_ASSERT_EQUAL (giver->restarts, 1);
  CU_ASSERT_EQUAL (differences (giver->table, &reader, SERVERS), 0);
  front_table_clear (&reader);
  rows_cache_clear (&cache);
  giver_free (giver);
}

/* A table whose first rows are older than the last dropped removal can be read as well. */
static void
test_old_rows_are_read_after_dropped_removals (void)
{
  Giver *giver = giver_new (2 * PART_ROWS);
  RowsCache cache = { 0 };
  FrontTable reader;

  for (unsigned i = 2 * PART_ROWS; i < SERVERS; i++)
    {
      change_row (giver, i, false);
      change_row (giver, i, true);
    }
  CU_ASSERT (giver->table->removals_dropped_to >= PART_ROWS);
  front_table_init (&reader);
  read_all (giver, &cache, &reader, NULL);
  CU_ASSERT_EQUAL (giver->restarts, 0);
  CU_ASSERT_EQUAL (differences (giver->table, &reader, SERVERS), 0);
  front_table_clear (&reader);
  rows_cache_clear (&cache);
  giver_free (giver);
}

static void
change_one (Giver *giver, unsigned part UNUSED)
{
  change_row (giver, SERVERS - 1, false);
}

/* Each part is encoded once for all fronts that read the table at one moment, although a row
 * changes after each part: encoded for each of 160 fronts they would take its VM a minute. */
static void
test_parts_are_encoded_once (void)
{
  Giver *giver = giver_new (SERVERS);
  RowsCache cache = { 0 };
  FrontTable reader;
  const Buffer *first, *again;
  RowsRequest request = { .table = STORE_SERVERS };

  front_table_init (&reader);
  first = rows_cache_get (&cache, &giver->store, &request);
  read_all (giver, &cache, &reader, change_one);
  again = rows_cache_get (&cache, &giver->store, &request);
  CU_ASSERT_PTR_EQUAL (first, again);
  front_table_clear (&reader);
  rows_cache_clear (&cache);
  giver_free (giver);
}

/* 82 fronts have read the table up to 82 different versions and ask for the rest. After their first
 * part they all have to ask for the same ones, which are encoded once: else an overloaded front
 * encodes for each of them and never catches up. */
static void
test_readers_meet_at_the_same_parts (void)
{
  Giver *giver = giver_new (SERVERS);
  RowsCache cache = { 0 };
  int64_t since[82];
  unsigned distinct = 0;

  for (unsigned i = 0; i < SUITE_COUNT (since); i++)
    {
      since[i] = 4000 + 6 * i;
      for (unsigned part = 0; part < 3; part++)
        {
          RowsRequest request = { .table = STORE_SERVERS, .since = since[i], .base = since[i] };
          const Buffer *text = rows_cache_get (&cache, &giver->store, &request);
          StoreAnswer answer;

          CU_ASSERT_FATAL (front_store_decode_peer_answer (NULL, text->data, text->len, &answer));
          CU_ASSERT (answer.count >= PART_ROWS / 2);
          since[i] = answer.version;
          store_answer_clear (&answer);
        }
      for (unsigned j = 0; j <= i; j++)
        {
          if (j == i)
            distinct++;
          else if (since[j] == since[i])
            break;
        }
    }
  CU_ASSERT (distinct <= 6);
  rows_cache_clear (&cache);
  giver_free (giver);
}

/* Asks another front for the changes since the own version, and applies them. True if all rows have
 * to be read for what these lack. */
static bool
follow (Giver *giver, FrontTable *follower)
{
  RowsCache cache = { 0 };
  RowsRequest request
      = { .table = STORE_SERVERS, .since = follower->version, .base = follower->version };
  const Buffer *text = rows_cache_get (&cache, &giver->store, &request);
  StoreAnswer answer;
  bool lacks_removals;

  CU_ASSERT_FATAL (text && front_store_decode_peer_answer (NULL, text->data, text->len, &answer));
  front_table_apply_changes (follower, &answer, ignore, NULL);
  lacks_removals = front_table_lacks_removals (follower, &answer);
  store_answer_clear (&answer);
  rows_cache_clear (&cache);
  return lacks_removals;
}

/* The giver reads the table again, as the store has dropped the changes since its version; one
 * server's entry was removed meanwhile. */
static void
read_again_without (Giver *giver, unsigned number)
{
  Giver *current = giver_new (SMALL_SERVERS);
  RowsCache cache = { 0 };

  change_row (current, number, true);
  current->version = current->table->version += LATER_CHANGES;
  read_all (current, &cache, giver->table, NULL);
  giver->version = giver->table->version;
  rows_cache_clear (&cache);
  giver_free (current);
}

/* Guards against servers that left while the store's history was dropped, and that fronts which
 * follow others keep sending requests to. */
static void
test_removal_found_by_a_complete_read_is_told (void)
{
  Giver *giver = giver_new (SMALL_SERVERS), *follower = giver_new (SMALL_SERVERS);
  FrontConfirm confirm = { .at_ms = 1 };

  read_again_without (giver, 7);
  CU_ASSERT_EQUAL (differences (giver->table, follower->table, SMALL_SERVERS), 1);
  CU_ASSERT (front_store_has_changes (&giver->store, STORE_SERVERS, follower->version));
  CU_ASSERT (front_store_is_behind (&follower->store, STORE_SERVERS,
                                    front_store_newest (&giver->store, STORE_SERVERS)));
  front_confirm_told (
      &confirm,
      &(Confirmation){ .at_ms = 2, .newest = front_store_newest (&giver->store, STORE_SERVERS) },
      follower->table->version);
  CU_ASSERT_EQUAL (confirm.at_ms, 1);
  CU_ASSERT_FALSE (follow (giver, follower->table));
  CU_ASSERT_EQUAL (differences (giver->table, follower->table, SMALL_SERVERS), 0);
  giver_free (giver);
  giver_free (follower);
}

/* Guards against servers that left just before a front started, and that fronts which follow it
 * keep sending requests to: it never saw the removals. */
static void
test_removal_before_a_front_started_is_noticed (void)
{
  Giver *current = giver_new (SMALL_SERVERS), *follower = giver_new (SMALL_SERVERS);
  Giver *started = giver_new (0);
  RowsCache cache = { 0 };

  change_row (current, 7, true);
  change_row (current, 8, false);
  read_all (current, &cache, started->table, NULL);
  CU_ASSERT (follow (started, follower->table));
  rows_cache_clear (&cache);
  read_all (started, &cache, follower->table, NULL);
  CU_ASSERT_EQUAL (differences (current->table, follower->table, SMALL_SERVERS), 0);
  /* Nothing more is lacking. */
  started->version = started->table->version;
  change_row (started, 9, true);
  change_row (started, SMALL_SERVERS, false);
  CU_ASSERT_FALSE (follow (started, follower->table));
  rows_cache_clear (&cache);
  giver_free (current);
  giver_free (follower);
  giver_free (started);
}

/* Guards against complete reads by fronts that know removals which the other front lacks. */
static void
test_front_that_knows_more_reads_nothing_again (void)
{
  Giver *behind = giver_new (SMALL_SERVERS), *ahead = giver_new (SMALL_SERVERS);

  change_row (ahead, 7, true);
  change_row (behind, 8, false);
  change_row (behind, 8, false);
  CU_ASSERT_FALSE (follow (behind, ahead->table));
  giver_free (behind);
  giver_free (ahead);
}

/* A release replaces half of 10,000 servers: a front that was cut off for that time gets the
 * changes, not the whole table. */
static void
test_removals_of_half_of_the_servers_are_kept (void)
{
  Giver *giver = giver_new (SERVERS);

  for (unsigned i = 0; i < SERVERS / 2; i++)
    {
      change_row (giver, SERVERS + i, false);
      change_row (giver, i, true);
    }
  CU_ASSERT (front_table_keeps_changes_since (giver->table, SERVERS));
  giver_free (giver);
}

/* A front that is cut off from the store is asked for rows by others of its domain, which start as
 * well. It must refuse at once: if it let them wait until they give up, a second for each try, the
 * domain would have no rows for six seconds. One that has rows gives them, cut off or not. Only one
 * that reads at the store may say that it does: two that wait for each other would do so for ever.
 */
static void
test_state_of_rows_for_askers (void)
{
  Giver *giver = giver_new (0);
  Watch *watch = &giver->store.watches[STORE_SERVERS];

  CU_ASSERT_EQUAL (front_store_rows_state (&giver->store, STORE_SERVERS), FRONT_ROWS_AWAITED);
  watch->asked_ms = 1;
  CU_ASSERT_EQUAL (front_store_rows_state (&giver->store, STORE_SERVERS), FRONT_ROWS_BEING_READ);
  watch->asked_peer = true;
  CU_ASSERT_EQUAL (front_store_rows_state (&giver->store, STORE_SERVERS), FRONT_ROWS_AWAITED);
  watch->lost = true;
  CU_ASSERT_EQUAL (front_store_rows_state (&giver->store, STORE_SERVERS), FRONT_ROWS_OUT_OF_REACH);
  change_row (giver, 1, false);
  CU_ASSERT_EQUAL (front_store_rows_state (&giver->store, STORE_SERVERS), FRONT_ROWS_KNOWN);
  giver_free (giver);
}

static void
test_invalid_paths_are_refused (void)
{
  static const char *const paths[] = { "/rows/",
                                       "/rows/1",
                                       "/rows/1/2",
                                       "/rows/9/2/2",
                                       "/rows/-1/2/2",
                                       "/rows/1/x/2",
                                       "/rows/1/2/x",
                                       "/rows/1/2/2/later",
                                       "/rows/1/2/2/wait/more",
                                       "/news/1/2",
                                       "" };
  RowsRequest sent = { .table = STORE_STATUS, .since = 77, .base = 88, .wait = true }, read;
  Buffer path = { 0 };

  for (size_t i = 0; i < SUITE_COUNT (paths); i++)
    CU_ASSERT_FALSE (front_store_parse_rows_path (paths[i], &read));
  front_store_format_rows_path (&path, &sent);
  CU_ASSERT (front_store_parse_rows_path (path.data, &read));
  CU_ASSERT (read.table == sent.table && read.since == 77 && read.base == 88 && read.wait);
  buffer_free (&path);
}

static const SuiteCase cases[] = {
  { "large_table_is_read_in_parts", test_large_table_is_read_in_parts },
  { "changes_while_reading_are_included", test_changes_while_reading_are_included },
  { "read_begins_again_after_dropped_removals", test_read_begins_again_after_dropped_removals },
  { "old_rows_are_read_after_dropped_removals", test_old_rows_are_read_after_dropped_removals },
  { "parts_are_encoded_once", test_parts_are_encoded_once },
  { "readers_meet_at_the_same_parts", test_readers_meet_at_the_same_parts },
  { "removal_found_by_a_complete_read_is_told", test_removal_found_by_a_complete_read_is_told },
  { "removal_before_a_front_started_is_noticed", test_removal_before_a_front_started_is_noticed },
  { "front_that_knows_more_reads_nothing_again", test_front_that_knows_more_reads_nothing_again },
  { "removals_of_half_of_the_servers_are_kept", test_removals_of_half_of_the_servers_are_kept },
  { "state_of_rows_for_askers", test_state_of_rows_for_askers },
  { "invalid_paths_are_refused", test_invalid_paths_are_refused },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_rows", cases, SUITE_COUNT (cases));
}
