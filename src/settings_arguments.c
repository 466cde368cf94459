#include "settings_arguments.h"

static const struct argp_option options[] = {
  { .name = "check", .key = 'c', .doc = "Check the settings and exit" },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  SettingsArguments *arguments = state->input;

  switch (key)
    {
    case 'c':
      arguments->check = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->settings_file != NULL)
        argp_usage (state);
      arguments->settings_file = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->settings_file == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

void
settings_arguments_read (int argc, char **argv, const char *doc, SettingsArguments *out)
{
  const struct argp argp
      = { .options = options, .parser = parse_option, .args_doc = "SETTINGS.json", .doc = doc };

  *out = (SettingsArguments){ 0 };
  argp_parse (&argp, argc, argv, 0, NULL, out);
}
