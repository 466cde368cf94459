/**
 * Log lines on standard error in syslog format:
 *   <PRI>TIME PROGRAM[PID]: MESSAGE-NAME fixed text key="value" ...
 * Every message has an entry in one of the msg_*.def files: MSG (ID, priority, "name", "fixed
 * text"). Confidential keys and prompt text are never logged.
 */
#ifndef UTIL_LOG_H
#define UTIL_LOG_H

#include <syslog.h>

typedef enum
{
#define MSG(id, priority, name, text) MSG_##id,
#include "msg_all.def"
#undef MSG
  MSG_COUNT
} MsgId;

/** Sets the program name of the log lines; main calls it first. Messages with a priority number
 * above max_priority (LOG_DEBUG is the highest) are dropped. */
void log_init (const char *program, int max_priority);

/** Writes one line. format gives the values as key=\"%s\" pairs; NULL: none. Values from outside
 * the process must go through log_quote first. Thread-safe; one write per line. */
void log_msg (MsgId id, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** Copies s into out (size bytes) with quotes, backslashes and control characters escaped,
 * truncated to what fits; returns out. */
const char *log_quote (const char *s, char *out, unsigned size);

#endif
