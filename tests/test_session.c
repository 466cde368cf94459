/** Session tokens and named sessions: src/session.c, src/session_named.c. */
#include "fake_platform.h"
#include "session_named.h"
#include "suite.h"
#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static const uint8_t key[SESSION_KEY_SIZE] = { 1, 2, 3 };
static const uint8_t other_key[SESSION_KEY_SIZE] = { 1, 2, 4 };

static void
test_valid_token_gives_its_version (void)
{
  char token[SESSION_TOKEN_MAX];
  char version[SESSION_VERSION_MAX];

  session_seal (key, "tender-desk", "draft@v7", token);
  CU_ASSERT_TRUE (session_is_token (token));
  CU_ASSERT_TRUE (session_open (key, "tender-desk", token, version));
  CU_ASSERT_STRING_EQUAL (version, "draft@v7");
  for (const char *c = token; *c != '\0'; c++)
    CU_ASSERT_TRUE (isalnum ((unsigned char)*c) || strchr ("-_.", *c) != NULL);
}

/* A token must not be valid for another team, which could otherwise reach a version that it is not
 * allowed. The MAC covers the team. */
static void
test_token_of_another_team_is_refused (void)
{
  char token[SESSION_TOKEN_MAX];
  char version[SESSION_VERSION_MAX];

  session_seal (key, "tender-desk", "draft@v7", token);
  CU_ASSERT_FALSE (session_open (key, "tender-desk2", token, version));
  CU_ASSERT_FALSE (session_open (key, "", token, version));
  CU_ASSERT_FALSE (session_open (other_key, "tender-desk", token, version));
}

/* A caller must not be able to choose a version by altering its token: a token with any single
 * character changed, added or dropped must be refused. */
static void
test_altered_token_is_refused (void)
{
  char token[SESSION_TOKEN_MAX];
  char altered[SESSION_TOKEN_MAX + 2];
  char version[SESSION_VERSION_MAX];
  size_t len;
  unsigned opened = 0;

  session_seal (key, "tender-desk", "draft@v7", token);
  len = strlen (token);
  for (size_t i = 0; i < len; i++)
    for (const char *c = "Aa0-_.="; *c != '\0'; c++)
      {
        memcpy (altered, token, len + 1);
        if (altered[i] == *c)
          continue;
        altered[i] = *c;
        opened += session_open (key, "tender-desk", altered, version);
      }
  for (size_t i = 0; i < len; i++)
    {
      snprintf (altered, sizeof altered, "%.*s", (int)i, token);
      opened += session_open (key, "tender-desk", altered, version);
    }
  snprintf (altered, sizeof altered, "%sA", token);
  opened += session_open (key, "tender-desk", altered, version);
  CU_ASSERT_EQUAL (opened, 0);
}

static void
test_name_is_no_token (void)
{
  char version[SESSION_VERSION_MAX];

  CU_ASSERT_FALSE (session_is_token ("case-4711"));
  CU_ASSERT_FALSE (session_open (key, "tender-desk", "case-4711", version));
  CU_ASSERT_FALSE (session_open (key, "tender-desk", "", version));
  CU_ASSERT_FALSE (session_open (key, "tender-desk", "lvs1.", version));
}

/* Tokens of two sessions of a team on one version must differ, for affinity to a backend server. */
static void
test_tokens_of_two_sessions_differ (void)
{
  char a[SESSION_TOKEN_MAX];
  char b[SESSION_TOKEN_MAX];

  session_seal (key, "tender-desk", "draft@v7", a);
  session_seal (key, "tender-desk", "draft@v7", b);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
}

/* A site with two VMs. */
typedef struct
{
  Platform *p;
  PlatformGroup *groups[2];
  SessionNamed *vms[2];
} Site;

static Site
site_new (void)
{
  Site site = { .p = fake_platform_new () };

  for (int i = 0; i < 2; i++)
    {
      site.groups[i] = platform_group_new (site.p, 0, 64, 1000);
      site.vms[i] = session_named_new (site.groups[i], 128);
    }
  return site;
}

static void
site_free (Site *site)
{
  for (int i = 0; i < 2; i++)
    {
      session_named_free (site->vms[i]);
      platform_group_free (site->groups[i]);
    }
  platform_free (site->p);
}

/* Starts the session at a VM that would choose this version, and compares the version that it gets.
 */
static bool
starts_as (Site *site,
           int vm,
           const char *team,
           const char *name,
           const char *chosen,
           const char *expected)
{
  char version[SESSION_VERSION_MAX];

  snprintf (version, sizeof version, "%s", chosen);
  return session_named_start (site->vms[vm], team, name, version, NULL) == STATUS_OK
         && strcmp (version, expected) == 0;
}

/* The requests of a named session go to different VMs during a roll-out, each of which would choose
 * another version. The session must keep the first one's version. */
static void
test_named_keeps_first_version (void)
{
  Site site = site_new ();

  CU_ASSERT_TRUE (starts_as (&site, 0, "a", "case 1", "draft@v7", "draft@v7"));
  CU_ASSERT_TRUE (starts_as (&site, 1, "a", "case 1", "draft@v8", "draft@v7"));
  CU_ASSERT_TRUE (starts_as (&site, 0, "a", "case 1", "draft@v8", "draft@v7"));
  CU_ASSERT_TRUE (starts_as (&site, 1, "a", "case 2", "draft@v8", "draft@v8"));
  CU_ASSERT_TRUE (starts_as (&site, 1, "b", "case 1", "draft@v8", "draft@v8"));
  site_free (&site);
}

/* The reply to the insert of the row is lost; the session must keep the version that was inserted.
 */
static void
test_named_keeps_version_after_lost_reply (void)
{
  Site site = site_new ();

  fake_platform_fault (site.p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  CU_ASSERT_TRUE (starts_as (&site, 0, "a", "case 1", "draft@v7", "draft@v7"));
  CU_ASSERT_TRUE (starts_as (&site, 1, "a", "case 1", "draft@v8", "draft@v7"));
  site_free (&site);
}

/* The table service is down. A session that this VM has cached continues; another one is refused,
 * since another VM may have started it on another version. */
static void
test_named_in_outage_continues_only_if_cached (void)
{
  Site site = site_new ();
  char version[SESSION_VERSION_MAX] = "draft@v8";

  CU_ASSERT_TRUE (starts_as (&site, 0, "a", "case 1", "draft@v7", "draft@v7"));
  fake_platform_fault (site.p, FAULT_DOWN, CALL_ALL, 0);
  CU_ASSERT_TRUE (starts_as (&site, 0, "a", "case 1", "draft@v8", "draft@v7"));
  CU_ASSERT_FALSE (session_named_find (site.vms[1], "a", "case 1", version));
  CU_ASSERT_EQUAL (session_named_start (site.vms[1], "a", "case 1", version, NULL),
                   STATUS_UNAVAILABLE);
  fake_platform_fault (site.p, FAULT_NONE, 0, 0);
  CU_ASSERT_TRUE (starts_as (&site, 1, "a", "case 1", "draft@v8", "draft@v7"));
  site_free (&site);
}

/* With more sessions than the cache holds, evicted ones must still be found in the table. */
static void
test_named_cache_is_bounded (void)
{
  Site site = site_new ();
  char name[32];
  char version[SESSION_VERSION_MAX];
  int cached = 0;
  int right_version = 0;

  for (int i = 0; i < 2000; i++)
    {
      snprintf (name, sizeof name, "case %d", i);
      right_version += starts_as (&site, 0, "a", name, "draft@v7", "draft@v7");
    }
  for (int i = 0; i < 2000; i++)
    {
      snprintf (name, sizeof name, "case %d", i);
      cached += session_named_find (site.vms[0], "a", name, version);
    }
  for (int i = 0; i < 2000; i++)
    {
      snprintf (name, sizeof name, "case %d", i);
      right_version += starts_as (&site, 0, "a", name, "draft@v8", "draft@v7");
    }
  CU_ASSERT_EQUAL (right_version, 4000);
  CU_ASSERT_TRUE (cached > 0 && cached <= 192);
  site_free (&site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "valid_token_gives_its_version", test_valid_token_gives_its_version },
    { "token_of_another_team_is_refused", test_token_of_another_team_is_refused },
    { "altered_token_is_refused", test_altered_token_is_refused },
    { "name_is_no_token", test_name_is_no_token },
    { "tokens_of_two_sessions_differ", test_tokens_of_two_sessions_differ },
    { "named_keeps_first_version", test_named_keeps_first_version },
    { "named_keeps_version_after_lost_reply", test_named_keeps_version_after_lost_reply },
    { "named_in_outage_continues_only_if_cached", test_named_in_outage_continues_only_if_cached },
    { "named_cache_is_bounded", test_named_cache_is_bounded },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "session", cases, SUITE_COUNT (cases));
}
