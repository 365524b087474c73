// Subcommands of the binary. Each takes the parsed command line and returns an
// exit code of sysexits.h.
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace mustardbank {

using Arguments = std::map<std::string, docopt::value>;

int RunEntryCommand(const Arguments& arguments);
int RunLeaseEntryCommand(const Arguments& arguments);
int RunExplainCommand(const Arguments& arguments);
int RunSubmitCommand(const Arguments& arguments);
int RunStatusCommand(const Arguments& arguments);
int RunCancelCommand(const Arguments& arguments);
int RunCheckCommand(const Arguments& arguments);
int RunApplyCommand(const Arguments& arguments);
int RunShowCommand(const Arguments& arguments);
int RunQuestionnaireCommand(const Arguments& arguments);
int RunDumpCommand(const Arguments& arguments);
int RunLoadCommand(const Arguments& arguments);

}  // namespace mustardbank
