#include "command/bash_completion.hpp"

#include <CLI/CLI.hpp>

namespace paddletrack::command {

std::string bashCompletion(const CLI::App& app) {
  std::string names, cases;
  for (const CLI::App* subcommand : app.get_subcommands([](const CLI::App*) { return true; })) {
    names += (names.empty() ? "" : " ") + subcommand->get_name();
    std::string options;
    for (const CLI::Option* option : subcommand->get_options())
      for (const std::string& name : option->get_lnames()) options += (options.empty() ? "--" : " --") + name;
    cases += "    " + subcommand->get_name() + ") words=\"" + options +
             (subcommand->get_name() == "completion" ? " bash" : "") + "\" ;;\n";
  }
  return "# bash completion of paddletrack: source it, or put it where bash looks for such files.\n"
         "_paddletrack() {\n"
         "  local cur=\"${COMP_WORDS[COMP_CWORD]}\" prev=\"${COMP_WORDS[COMP_CWORD-1]}\" words=\"\"\n"
         "  case \"$prev\" in\n"
         "    --config|--operator|--socket|-s) COMPREPLY=($(compgen -f -- \"$cur\")); return ;;\n"
         "    --log) COMPREPLY=($(compgen -W \"text json\" -- \"$cur\")); return ;;\n"
         "    --log-level) COMPREPLY=($(compgen -W \"debug info warning error\" -- \"$cur\")); return ;;\n"
         "  esac\n"
         "  case \"${COMP_WORDS[1]}\" in\n" +
         cases + "    *) words=\"" + names +
         "\" ;;\n"
         "  esac\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then words=\"" +
         names +
         "\"; fi\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"
         "  if [ \"${COMP_WORDS[1]}\" = roll ] && [[ \"$cur\" != -* ]]; then COMPREPLY+=($(compgen -f -- "
         "\"$cur\")); fi\n"
         "}\n"
         "complete -F _paddletrack paddletrack\n";
}

}  // namespace paddletrack::command
