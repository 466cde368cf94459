/**
 * Command line of a daemon: its settings file, and whether only to check it.
 */
#ifndef SETTINGS_ARGUMENTS_H
#define SETTINGS_ARGUMENTS_H

#include <argp.h>
#include <stdbool.h>

typedef struct
{
  const char *settings_file; /**< points into argv */
  bool check;
} SettingsArguments;

/** Parses the command line. Exits with a message if it is wrong, and after --help and --version;
 *  the latter prints the program's argp_program_version. doc is a line for --help. */
void settings_arguments_read (int argc, char **argv, const char *doc, SettingsArguments *out);

#endif
