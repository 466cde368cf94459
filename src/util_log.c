#include "util_log.h"
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_SIZE       4096 /* bytes */
#define NAME_SIZE       64   /* bytes */
#define TIME_SIZE       32   /* bytes */
#define NS_PER_MS       1000000
#define FIRST_PRINTABLE 0x20
#define DELETE_CHAR     0x7f
#define ESCAPE_MAX      5 /* bytes: \xHH and the NUL */

typedef struct
{
  int priority;
  const char *name;
  const char *text;
} Message;

static const char truncated_mark[] = " truncated=\"yes\"\n";

static const Message messages[] = {
#define MSG(id, priority, name, text) [MSG_##id] = { (priority), (name), (text) },
#include "msg_all.def"
#undef MSG
};

static char program_name[NAME_SIZE] = "lovage";
static int max_priority = LOG_INFO;

void
log_init (const char *program, int priority)
{
  snprintf (program_name, sizeof program_name, "%s", program);
  max_priority = priority;
}

static void
time_text (char out[TIME_SIZE])
{
  struct timespec now;
  struct tm parts;
  size_t len;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  len = strftime (out, TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (out + len, TIME_SIZE - len, ".%03ldZ", now.tv_nsec / NS_PER_MS);
}

/* Terminates the line and marks it if it was truncated. Control characters that a caller did not
 * escape are replaced, so that they cannot start a second line. */
static size_t
line_end (char line[LINE_SIZE], size_t len)
{
  const size_t max_len = LINE_SIZE - sizeof truncated_mark;

  for (size_t i = 0; i < len && i < LINE_SIZE; i++)
    {
      if ((unsigned char)line[i] < FIRST_PRINTABLE)
        line[i] = ' ';
    }
  if (len > max_len)
    {
      memcpy (line + max_len, truncated_mark, sizeof truncated_mark);
      return LINE_SIZE - 1;
    }
  line[len] = '\n';
  return len + 1;
}

static void
line_write (const char *line, size_t len)
{
  while (write (STDERR_FILENO, line, len) < 0 && errno == EINTR)
    continue;
}

void
log_msg (MsgId id, const char *format, ...)
{
  const Message *msg = &messages[id];
  char line[LINE_SIZE];
  char when[TIME_SIZE];
  va_list args;
  int len;
  int saved = errno;

  if (msg->priority > max_priority)
    return;
  time_text (when);
  len = snprintf (line, sizeof line, "<%d>%s %s[%d]: %s %s%s", LOG_DAEMON | msg->priority, when,
                  program_name, (int)getpid (), msg->name, msg->text, format ? " " : "");
  if (format)
    {
      va_start (args, format);
      len += vsnprintf (line + len, sizeof line - (size_t)len, format, args);
      va_end (args);
    }
  line_write (line, line_end (line, (size_t)len));
  errno = saved;
}

/* Writes the escaped form of c, NUL-terminated; returns its length. */
static unsigned
escape (unsigned char c, char out[ESCAPE_MAX])
{
  if (c == '"' || c == '\\')
    return (unsigned)snprintf (out, ESCAPE_MAX, "\\%c", c);
  if (c < FIRST_PRINTABLE || c == DELETE_CHAR)
    return (unsigned)snprintf (out, ESCAPE_MAX, "\\x%02x", c);
  return (unsigned)snprintf (out, ESCAPE_MAX, "%c", c);
}

const char *
log_quote (const char *s, char *out, unsigned size)
{
  unsigned len = 0;

  for (; s && *s; s++)
    {
      char escaped[ESCAPE_MAX];
      unsigned escaped_len = escape ((unsigned char)*s, escaped);

      if (len + escaped_len >= size)
        break;
      memcpy (out + len, escaped, escaped_len);
      len += escaped_len;
    }
  if (size)
    out[len] = '\0';
  return out;
}
