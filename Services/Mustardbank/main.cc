// The mustardbank binary: parses the command line and runs one subcommand.
#include <glog/logging.h>
#include <sysexits.h>

#include <iostream>
#include <utility>

#include "Mustardbank/commands.h"

namespace {

constexpr const char* kVersion = "mustardbank 0.1.0";

constexpr const char* kUsage =
    R"(mustardbank - dispatcher for sub-second tasks

Usage:
  mustardbank entry SETTINGS
  mustardbank lease-entry SETTINGS
  mustardbank submit --entry=ENDPOINT... --token=TOKEN [--key=KEY] [--wait=S] [--deadline=S] JOB
  mustardbank status --entry=ENDPOINT... --token=TOKEN [--wait=S] ID
  mustardbank cancel --entry=ENDPOINT... --token=TOKEN ID
  mustardbank check (--settings | --configuration) FILE...
  mustardbank apply --platform=ENDPOINT [--expect=VERSION] CONFIGURATION
  mustardbank show --platform=ENDPOINT
  mustardbank questionnaire [--answers=FILE] [--output=FILE]
  mustardbank dump --operators=ENDPOINT [--token=TOKEN] [--metrics]
  mustardbank explain [--json] ID FILE...
  mustardbank load --plan=FILE [--report=FILE] [--quiet]
  mustardbank version
  mustardbank (-h | --help)

Commands:
  entry          Run the daemon of one entry VM. SIGTERM stops it gracefully.
  lease-entry    Run the daemon of one entry VM on a platform whose workers run
                 tasks under leases. SIGTERM stops it gracefully, SIGHUP
                 reloads the settings.
  submit         Submit the job in file JOB (- for standard input), wait for
                 the answer and print it.
  status         Print the state or the answer of a job.
  cancel         Cancel a job.
  check          Validate settings or configuration files.
  apply          Store a configuration on the platform by compare-and-set.
  show           Print the configuration on the platform.
  questionnaire  Generate a configuration from answers about a team's requests.
  dump           Print the state or the metrics of a running entry process.
  explain        Print the history of a request from log files of several
                 processes, and the cause of its outcome.
  load           Generate open-loop load from a plan and report the results.

Options:
  --entry=ENDPOINT      Address for callers of an entry VM; may be repeated.
  --token=TOKEN         Token of a team, or of an operator for dump.
  --key=KEY             Submit under this idempotency key, not under a job id.
  --wait=S              Longest wait of one request, in seconds [default: 30].
  --deadline=S          Time limit for all attempts, in seconds [default: 120].
  --platform=ENDPOINT   Address of the platform.
  --operators=ENDPOINT  Address for operators of an entry VM.
  --expect=VERSION      Apply only if the platform has this version. Without
                        this option, the version in the file is expected.
  --answers=FILE        Answers in JSON. Without this option, the command asks
                        for them.
  --output=FILE         Write here instead of standard output.
  --plan=FILE           Load plan in JSON.
  --report=FILE         Write the report here instead of standard output.
  --quiet               Show no progress.
  --metrics             Print the metrics instead of the state.
  --json                Print as JSON.
  -h --help             Show this text.

Exit codes are those of sysexits.h: 0 done, 64 usage, 65 bad input, 69 service
unavailable, 70 job failed, 75 try again later, 78 bad configuration.
)";

constexpr std::pair<const char*, int (*)(const mustardbank::Arguments&)>
    kCommands[] = {
        {"entry", mustardbank::RunEntryCommand},
        {"lease-entry", mustardbank::RunLeaseEntryCommand},
        {"explain", mustardbank::RunExplainCommand},
        {"submit", mustardbank::RunSubmitCommand},
        {"status", mustardbank::RunStatusCommand},
        {"cancel", mustardbank::RunCancelCommand},
        {"check", mustardbank::RunCheckCommand},
        {"apply", mustardbank::RunApplyCommand},
        {"show", mustardbank::RunShowCommand},
        {"dump", mustardbank::RunDumpCommand},
        {"questionnaire", mustardbank::RunQuestionnaireCommand},
        {"load", mustardbank::RunLoadCommand},
};

int Run(const mustardbank::Arguments& arguments) {
  for (const auto& [name, run] : kCommands) {
    if (arguments.at(name).asBool())
      return run(arguments);
  }
  std::cout << kVersion << '\n';
  return EX_OK;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  google::InstallFailureSignalHandler();
  try {
    return Run(docopt::docopt_parse(kUsage, {argv + 1, argv + argc},
                                    /*help=*/true, /*version=*/false));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return EX_OK;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\nSee mustardbank --help.\n";
    return EX_USAGE;
  }
}
