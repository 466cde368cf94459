/**
 * Command line: global options, the command's name, then its options and operands.
 */
#include "config.h"
#include "ctl_option.h"
#include "util_memory.h"
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_MS_DEFAULT   10000
#define WAIT_MS_MAX       600000
#define LIMIT_DEFAULT     200   /* entries */
#define LIMIT_MAX         10000 /* entries */
#define PROGRAM_NAME_SIZE 64    /* bytes */

/** Result of parsing the command line with argp. */
typedef struct
{
  Ctl *ctl;
  CtlArgs args;
  const CtlCommand *command; /**< NULL until its name was parsed */
  int command_at;            /**< index of the last word of its name */
} Parse;

const char *argp_program_version = "lovagectl 0.1";

static int64_t
parse_number (struct argp_state *state, const char *text, int64_t min, int64_t max)
{
  char *end;
  long long n;

  errno = 0;
  n = strtoll (text, &end, 10);
  if (errno != 0 || end == text || *end != '\0' || n < min || n > max)
    argp_error (state, "expected a number from %lld to %lld, found '%s'", (long long)min,
                (long long)max, text);
  return n;
}

static const char *
parse_wait (struct argp_state *state, const char *word)
{
  static const char *const words[] = { "none", "accepted", "in_force" };

  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    if (strcmp (words[i], word) == 0)
      return words[i];
  argp_error (state, "expected none, accepted or in_force, found '%s'", word);
  return words[0];
}

static const char *
parse_team (struct argp_state *state, const char *name)
{
  if (!config_name_valid (name))
    argp_error (state, "expected the name of a team, found '%s'", name);
  return name;
}

/** Parses an option of a command; ARGP_ERR_UNKNOWN if it is not one. */
static error_t
parse_option (int key, char *arg, struct argp_state *state, CtlArgs *args)
{
  switch (key)
    {
    case OPTION_BASE:
      args->base = parse_number (state, arg, 1, INT64_MAX);
      return 0;
    case OPTION_REASON:
      args->reason = arg;
      return 0;
    case OPTION_WAIT:
      args->wait = parse_wait (state, arg);
      return 0;
    case OPTION_WAIT_MS:
      args->wait_ms = parse_number (state, arg, 0, WAIT_MS_MAX);
      return 0;
    case OPTION_SINCE:
      args->since = arg;
      return 0;
    case OPTION_LIMIT:
      args->limit = parse_number (state, arg, 1, LIMIT_MAX);
      return 0;
    case OPTION_TEAM:
      args->team = parse_team (state, arg);
      return 0;
    case OPTION_FROM:
      args->from = arg;
      return 0;
    case OPTION_TO:
      args->to = arg;
      return 0;
    case OPTION_STAGES:
      args->stages = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_command (int key, char *arg, struct argp_state *state)
{
  Parse *parse = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = parse->ctl;
      return 0;
    case ARGP_KEY_ARG:
      if (parse->args.operand_count >= parse->command->operands_max)
        argp_error (state, "too many arguments");
      parse->args.operands[parse->args.operand_count++] = arg;
      return 0;
    case ARGP_KEY_END:
      if (parse->args.operand_count < parse->command->operands_min)
        argp_error (state, "expected %s", parse->command->operands);
      return 0;
    default:
      return parse_option (key, arg, state, &parse->args);
    }
}

/** Finds the command whose name starts at argv[at]; *last is the index of the last word of its
 * name. */
static const CtlCommand *
find_command (int argc, char **argv, int at, int *last)
{
  for (const CtlCommand *command = ctl_commands; command->group != NULL; command++)
    {
      if (strcmp (command->group, argv[at]) != 0)
        continue;
      *last = command->name == NULL ? at : at + 1;
      if (command->name == NULL || (at + 1 < argc && strcmp (command->name, argv[at + 1]) == 0))
        return command;
    }
  return NULL;
}

static error_t
parse_global (int key, char *arg, struct argp_state *state)
{
  Parse *parse = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = parse->ctl;
      return 0;
    case ARGP_KEY_ARG:
      parse->command = find_command (state->argc, state->argv, state->next - 1, &parse->command_at);
      if (parse->command == NULL)
        argp_error (state, "no command '%s%s%s'", arg, state->next < state->argc ? " " : "",
                    state->next < state->argc ? state->argv[state->next] : "");
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "expected a command");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child common_child[]
    = { { .argp = &ctl_option_argp, .header = "Options of all commands:", .group = 1 }, { 0 } };

static void
add_command_list (Buffer *doc)
{
  buffer_add_string (doc, "Operate lovagehub with numbered versions and patches.\vCommands:\n");
  for (const CtlCommand *command = ctl_commands; command->group != NULL; command++)
    {
      char usage[PROGRAM_NAME_SIZE];

      snprintf (usage, sizeof usage, "%s%s%s%s%s", command->group, command->name == NULL ? "" : " ",
                command->name == NULL ? "" : command->name, command->operands[0] == '\0' ? "" : " ",
                command->operands);
      buffer_printf (doc, "  %-27s %s\n", usage, command->doc);
    }
  buffer_add_string (doc, "\n`lovagectl COMMAND --help' lists a command's options. Exit status: 0 "
                          "done, 1 refused, 2 usage, 3 another patch won (its number is printed), "
                          "4 no steward answered, 5 durable but not yet accepted (it will be).");
}

static void
parse_global_options (int argc, char **argv, Parse *parse)
{
  Buffer doc = { 0 };
  struct argp argp
      = { .parser = parse_global, .args_doc = "COMMAND [ARGUMENT...]", .children = common_child };

  add_command_list (&doc);
  argp.doc = doc.data;
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, parse);
  buffer_free (&doc);
}

static void
parse_command_options (int argc, char **argv, Parse *parse)
{
  const CtlCommand *command = parse->command;
  char name[PROGRAM_NAME_SIZE];
  struct argp argp = { .options = command->options,
                       .parser = parse_command,
                       .args_doc = command->operands,
                       .doc = command->doc,
                       .children = common_child };
  char **rest = argv + parse->command_at;

  snprintf (name, sizeof name, "lovagectl %s%s%s", command->group, command->name ? " " : "",
            command->name ? command->name : "");
  rest[0] = name;
  argp_parse (&argp, argc - parse->command_at, rest, 0, NULL, parse);
}

static CtlExit
run_command (Ctl *ctl, const Parse *parse)
{
  if (!parse->command->local && ctl->steward_count == 0)
    {
      ctl_error ("no steward is named: use --steward IP:PORT or " CTL_ENV_STEWARDS);
      return CTL_USAGE;
    }
  return parse->command->run (ctl, &parse->args);
}

int
main (int argc, char **argv)
{
  Ctl ctl = { 0 };
  Parse parse = { .ctl = &ctl,
                  .args = { .base = -1,
                            .wait = "in_force",
                            .wait_ms = WAIT_MS_DEFAULT,
                            .limit = LIMIT_DEFAULT,
                            .reason = "" } };
  CtlExit status;

  argp_err_exit_status = CTL_USAGE;
  ctl_option_read_environment (&ctl);
  parse_global_options (argc, argv, &parse);
  parse_command_options (argc, argv, &parse);
  status = run_command (&ctl, &parse);
  if (ctl.key != NULL)
    explicit_bzero (ctl.key, strlen (ctl.key));
  free (ctl.key);
  free (ctl.trust_file);
  if (fflush (stdout) != 0)
    {
      ctl_error ("standard output: %s", strerror (errno));
      return CTL_REFUSED;
    }
  return status;
}
