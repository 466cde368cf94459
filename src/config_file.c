/**
 * Reads a configuration document from a file.
 */
#include "config.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define READ_SIZE 4096 /**< bytes */
bool
config_file_read (const char *path, Buffer *text, CheckList *list)
{
  char block[READ_SIZE];
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "re");
  size_t read_count;
  bool ok;

  if (file == NULL)
    {
      check_add (list, NULL, "can't be opened: %s", strerror (errno));
      return false;
    }
  while (text->len <= CONFIG_TEXT_MAX && (read_count = fread (block, 1, sizeof block, file)) > 0)
    buffer_add (text, block, read_count);
  ok = ferror (file) == 0;
  if (!ok)
    check_add (list, NULL, "can't be read: %s", strerror (errno));
  if (file != stdin)
    fclose (file);
  buffer_add (text, "", 0);
  return ok;
}

Config *
config_parse_file (const char *path, int64_t number, CheckList *list)
{
  Buffer text = { 0 };
  Config *config = NULL;

  if (config_file_read (path, &text, list))
    config = config_parse (text.data, text.len, number, list);
  buffer_free (&text);
  return config;
}
