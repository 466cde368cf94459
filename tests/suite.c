#include "suite.h"
#include "util_assert.h"
#include "util_clock.h"
#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MAX_MS   30000
#define WAIT_STEP_MS  5
#define PORT_ATTEMPTS 100

static bool
is_selected (int argc, char **argv, const char *name)
{
  if (argc < 2)
    return true;
  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], name) == 0)
        return true;
    }
  return false;
}

int
suite_main (int argc, char **argv, const char *name, const SuiteCase *cases, size_t count)
{
  CU_pSuite suite;
  unsigned passed;
  unsigned failed;

  setvbuf (stdout, NULL, _IOLBF, 0);
  INVARIANT (CU_initialize_registry () == CUE_SUCCESS, "suite=\"%s\"", name);
  suite = CU_add_suite (name, NULL, NULL);
  INVARIANT (suite, "suite=\"%s\"", name);
  for (size_t i = 0; i < count; i++)
    {
      if (is_selected (argc, argv, cases[i].name))
        INVARIANT (CU_add_test (suite, cases[i].name, cases[i].run), "case=\"%s\"", cases[i].name);
    }
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  passed = CU_get_number_of_successes ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  printf ("\n%u passed, %u failed\n", passed, failed);
  return passed > 0 && failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Binds a socket of this type to a port (0: any) of 127.0.0.1 and closes it; returns the port, or 0
 * if it is in use. */
static int
try_port (int type, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  int bound = 0;

  INVARIANT (fd >= 0, "type=\"%d\"", type);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && getsockname (fd, (struct sockaddr *)&address, &len) == 0)
    bound = ntohs (address.sin_port);
  close (fd);
  return bound;
}

int
suite_free_port (void)
{
  for (int i = 0; i < PORT_ATTEMPTS; i++)
    {
      int port = try_port (SOCK_STREAM, 0);

      if (port && try_port (SOCK_DGRAM, port) == port)
        return port;
    }
  INVARIANT (false, "tries=\"%d\"", PORT_ATTEMPTS);
  return 0;
}

bool
suite_wait (bool (*done) (void *context), void *context)
{
  int64_t end_ms = clock_boot_ms () + WAIT_MAX_MS;

  while (!done (context))
    {
      if (clock_boot_ms () > end_ms)
        return false;
      clock_sleep_ms (WAIT_STEP_MS);
    }
  return true;
}

void
suite_file (char path[SUITE_PATH_SIZE], const char *text)
{
  ssize_t len = (ssize_t)strlen (text);
  int fd;

  snprintf (path, SUITE_PATH_SIZE, "/tmp/lovage-test-XXXXXX");
  fd = mkostemp (path, O_CLOEXEC);
  INVARIANT (fd >= 0 && write (fd, text, (size_t)len) == len, "path=\"%s\"", path);
  close (fd);
}
