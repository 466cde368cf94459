/** Compressed rows between fronts, and the row by which a front registers: src/front_compress.c,
 *  front_store_peer.c, front_member.c. */
#include "front_compress.h"
#include "front_member.h"
#include "front_store.h"
#include "suite.h"
#include "util_memory.h"
#include "util_unused.h"
#include "wire_store.h"
#include <sodium.h>
#include <string.h>

#define ROWS_MAX 10000 /* rows of one answer: more than these tests have */

#define SERVERS 300
/* Bytes: 25 fronts of a domain get this in 0.2 s over a link of 20 Mbit/s. */
#define COMPRESSED_MAX 20000

/* A configuration that has to reach all fronts of a failure domain, from one of them, in half of
 * the three seconds that a change may take. */
#define ROUTES           4200
#define DOMAIN_PEERS     13
#define LINK_BYTES_S     1250000 /* 10 Mbit/s */
#define TRANSFER_MAX_S   1.5
#define CONFIG_MAX_BYTES ((size_t)(LINK_BYTES_S * TRANSFER_MAX_S / DOMAIN_PEERS))
#define NAME_BYTES       6
#define ROUTE_NAME_SIZE  (2 * NAME_BYTES + 1)

static FrontTable table;

static void
ignore (void *user UNUSED, const StoreRow *row UNUSED)
{
}

static Buffer
compressed_rows (void)
{
  StoreAnswer answer = { .count = SERVERS, .version = 900 };
  Buffer text = { 0 };

  front_table_init (&table);
  answer.rows = memory_array (SERVERS, sizeof *answer.rows);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      Buffer key = { 0 }, value = { 0 };

      buffer_printf (&key, "i-%08x", i * 2654435761u);
      buffer_printf (
          &value,
          "{\"Service\":\"drafts\",\"Address\":\"10.0.%u.%u:8000\",\"Zone\":\"domain-%u\","
          "\"Version\":\"v1\",\"Slots\":24,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":%u}",
          i / 100, i % 100, i % 6, i);
      answer.rows[i] = (StoreRow){
        .key = key.data, .value = value.data, .value_len = value.len, .version = 1 + i
      };
    }
  front_table_apply_changes (&table, &answer, ignore, NULL);
  store_answer_clear (&answer);
  wire_store_encode (&text, &table, &(StorePart){ .since = 0, .rows_max = ROWS_MAX });
  CU_ASSERT (front_compress (&text));
  return text;
}

static void
test_rows_survive_round_trip (void)
{
  Buffer compressed = compressed_rows ();
  StoreAnswer answer;

  CU_ASSERT (compressed.len <= COMPRESSED_MAX);
  CU_ASSERT_FATAL (front_store_decode_peer_answer (NULL, compressed.data, compressed.len, &answer));
  CU_ASSERT_EQUAL (answer.count, SERVERS);
  CU_ASSERT_EQUAL (answer.version, 900);
  store_answer_clear (&answer);
  buffer_free (&compressed);
  front_table_clear (&table);
}

/* As an operator writes it; the names are random, which compresses worst. */
static Buffer
configuration (void)
{
  static const unsigned char seed[randombytes_SEEDBYTES];
  static unsigned char names[ROUTES][NAME_BYTES];
  Buffer text = { 0 };

  randombytes_buf_deterministic (names, sizeof names, seed);
  buffer_add_string (&text, "{\"Version\":7,\"Routes\":[");
  for (unsigned i = 0; i < ROUTES; i++)
    {
      char hex[ROUTE_NAME_SIZE];

      sodium_bin2hex (hex, sizeof hex, names[i], NAME_BYTES);
      buffer_printf (&text,
                     "%s{\"Name\":\"r-%s\",\"Host\":\"a.example\",\"Prefix\":\"/more/%s/\","
                     "\"Kind\":\"idempotent\",\"Service\":\"orders\",\"TimeoutMs\":2500,"
                     "\"SloMs\":300,\"MaxAttempts\":3,\"Priority\":1,\"Public\":false}",
                     i > 0 ? "," : "", hex, hex);
    }
  buffer_add_string (&text, "]}");
  return text;
}

/* A configuration grows by some thousand routes. The front of a failure domain that reads it from
 * the store sends it to a dozen others over one link of 10 Mbit/s. Uncompressed, the last of them
 * would get it seconds after it had to be in force. */
static void
test_large_configuration_fits_transfer_time (void)
{
  Buffer value = configuration (), text = { 0 };
  StoreAnswer answer = { .count = 1, .version = 7 };

  front_table_init (&table);
  answer.rows = memory_array (1, sizeof *answer.rows);
  answer.rows[0] = (StoreRow){
    .key = memory_strdup ("config"), .value = value.data, .value_len = value.len, .version = 7
  };
  front_table_apply_changes (&table, &answer, ignore, NULL);
  store_answer_clear (&answer);
  wire_store_encode (&text, &table, &(StorePart){ .since = 0, .rows_max = ROWS_MAX });
  CU_ASSERT (text.len > CONFIG_MAX_BYTES);
  CU_ASSERT (front_compress (&text));
  CU_ASSERT (text.len <= CONFIG_MAX_BYTES);
  CU_ASSERT_FATAL (front_store_decode_peer_answer (NULL, text.data, text.len, &answer));
  CU_ASSERT_EQUAL (answer.count, 1);
  store_answer_clear (&answer);
  buffer_free (&text);
  front_table_clear (&table);
}

/* A front dies while it sends rows, or another program answers at its address. Such an answer must
 * be rejected: in half a list of servers the others would look removed. */
static void
test_damaged_data_is_rejected (void)
{
  Buffer compressed = compressed_rows ();
  StoreAnswer answer;

  for (size_t len = 0; len < compressed.len; len += 97)
    CU_ASSERT_FALSE (front_store_decode_peer_answer (NULL, compressed.data, len, &answer));
  buffer_add (&compressed, "more", 4);
  CU_ASSERT_FALSE (front_store_decode_peer_answer (NULL, compressed.data, compressed.len, &answer));
  compressed.data[compressed.len / 2] ^= 1;
  CU_ASSERT_FALSE (
      front_store_decode_peer_answer (NULL, compressed.data, compressed.len - 4, &answer));
  CU_ASSERT_FALSE (front_store_decode_peer_answer (NULL, "<html>", 6, &answer));
  buffer_free (&compressed);
  front_table_clear (&table);
}

/* A few bytes that decompress to gigabytes must not use up the memory of the VM. */
static void
test_decompressed_size_is_limited (void)
{
  Buffer text = { 0 }, out = { 0 };
  char zeros[4096] = { 0 };

  for (unsigned i = 0; i < 256; i++)
    buffer_add (&text, zeros, sizeof zeros);
  CU_ASSERT (front_compress (&text));
  CU_ASSERT_FALSE (front_decompress (&out, text.data, text.len, 100000));
  CU_ASSERT (out.len <= 200000);
  buffer_free (&text);
  buffer_free (&out);
}

static void
test_member_row_is_decoded_or_rejected (void)
{
  static const char *const odd[] = { "",
                                     "front-1",
                                     "[]",
                                     "{}",
                                     "{\"vm\":\"a\"}",
                                     "{\"vm\":\"\",\"failure_domain\":\"b\"}",
                                     "{\"vm\":1,\"failure_domain\":\"b\"}",
                                     "{\"vm\":\"a\",\"failure_domain\":\"b\"" };
  FrontMember member;
  Buffer text = { 0 };

  front_member_encode (&text, "front-\"1\"", "hall");
  CU_ASSERT (front_member_decode ((Span){ .text = text.data, .len = text.len }, &member));
  CU_ASSERT_STRING_EQUAL (member.vm, "front-\"1\"");
  CU_ASSERT_STRING_EQUAL (member.failure_domain, "hall");
  for (size_t i = 0; i < SUITE_COUNT (odd); i++)
    CU_ASSERT_FALSE (front_member_decode (span_of (odd[i]), &member));
  buffer_free (&text);
}

static const SuiteCase cases[] = {
  { "rows_survive_round_trip", test_rows_survive_round_trip },
  { "large_configuration_fits_transfer_time", test_large_configuration_fits_transfer_time },
  { "damaged_data_is_rejected", test_damaged_data_is_rejected },
  { "decompressed_size_is_limited", test_decompressed_size_is_limited },
  { "member_row_is_decoded_or_rejected", test_member_row_is_decoded_or_rejected },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_compress", cases, SUITE_COUNT (cases));
}
