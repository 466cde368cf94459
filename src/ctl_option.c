/**
 * Options common to all commands, and the environment variables for them.
 */
#include "ctl_option.h"
#include "util_memory.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 256 /* bytes */
#define PORT_MAX 65535

static const struct argp_option common_options[] = {
  { "steward", OPTION_STEWARD, "A:P[,A:P...]", 0,
    "Stewards to try, the first one first (else " CTL_ENV_STEWARDS ")", 0 },
  { "key-file", OPTION_KEY_FILE, "FILE", 0,
    "File with the operator's key (else " CTL_ENV_KEY_FILE ")", 0 },
  { "trust-file", OPTION_TRUST_FILE, "FILE", 0,
    "Use TLS and trust the certificates in FILE (else " CTL_ENV_TRUST_FILE ")", 0 },
  { "json", OPTION_JSON, NULL, 0, "Print the steward's JSON instead of tables", 0 },
  { 0 },
};

/** Parses ADDRESS:PORT or [ADDRESS]:PORT; false if it is neither. */
static bool
parse_steward (const char *text, size_t len, CtlSteward *out)
{
  char copy[CTL_ADDRESS_SIZE];
  unsigned char parsed[sizeof (struct in6_addr)];
  char *colon;
  char *end;
  char *address = copy;

  if (len >= sizeof copy)
    return false;
  memcpy (copy, text, len);
  copy[len] = '\0';
  colon = strrchr (copy, ':');
  if (colon == NULL)
    return false;
  *colon = '\0';
  if (colon > copy && copy[0] == '[' && colon[-1] == ']')
    {
      address++;
      colon[-1] = '\0';
    }
  out->port = (int)strtol (colon + 1, &end, 10);
  if (colon[1] == '\0' || *end != '\0' || out->port < 1 || out->port > PORT_MAX)
    return false;
  if (inet_pton (AF_INET, address, parsed) != 1 && inet_pton (AF_INET6, address, parsed) != 1)
    return false;
  memcpy (out->address, address, strlen (address) + 1);
  return true;
}

static bool
parse_stewards (Ctl *ctl, const char *list)
{
  ctl->steward_count = 0;
  while (*list != '\0')
    {
      size_t len = strcspn (list, ",");

      if (ctl->steward_count == CTL_STEWARDS_MAX
          || !parse_steward (list, len, &ctl->stewards[ctl->steward_count]))
        return false;
      ctl->steward_count++;
      list += len;
      list += *list == ',';
    }
  return ctl->steward_count > 0;
}

/** Reads the key from the first line of a file; prints an error and returns false on failure. */
static bool
read_key (Ctl *ctl, const char *path)
{
  char line[KEY_SIZE];
  FILE *file = fopen (path, "re");
  bool key_read = file != NULL && fgets (line, sizeof line, file) != NULL;

  if (!key_read)
    ctl_error ("key file %s: %s", path, file == NULL ? strerror (errno) : "no key in it");
  if (file != NULL)
    fclose (file);
  if (!key_read)
    return false;
  line[strcspn (line, "\r\n")] = '\0';
  free (ctl->key);
  ctl->key = memory_strdup (line);
  explicit_bzero (line, sizeof line);
  return true;
}

static error_t
parse_common_option (int key, char *arg, struct argp_state *state)
{
  Ctl *ctl = state->input;

  switch (key)
    {
    case OPTION_STEWARD:
      if (!parse_stewards (ctl, arg))
        argp_error (state, "expected IP:PORT[,IP:PORT...], found '%s'", arg);
      return 0;
    case OPTION_KEY_FILE:
      if (!read_key (ctl, arg))
        exit (CTL_USAGE);
      return 0;
    case OPTION_TRUST_FILE:
      free (ctl->trust_file);
      ctl->trust_file = memory_strdup (arg);
      return 0;
    case OPTION_JSON:
      ctl->json = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

const struct argp ctl_option_argp = { .options = common_options, .parser = parse_common_option };

void
ctl_option_read_environment (Ctl *ctl)
{
  const char *stewards = getenv (CTL_ENV_STEWARDS);
  const char *key_file = getenv (CTL_ENV_KEY_FILE);
  const char *trust_file = getenv (CTL_ENV_TRUST_FILE);

  if (stewards != NULL && !parse_stewards (ctl, stewards))
    {
      ctl_error (CTL_ENV_STEWARDS ": expected IP:PORT[,IP:PORT...]");
      exit (CTL_USAGE);
    }
  if (key_file != NULL && !read_key (ctl, key_file))
    exit (CTL_USAGE);
  ctl->trust_file = memory_strdup (trust_file);
}
