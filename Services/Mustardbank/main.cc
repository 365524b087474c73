// The mustardbank binary: reads the command line and runs one subcommand.
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
                 reads the settings again.
  submit         Submit the job in file JOB (- for standard input), wait for
                 its answer and print it.
  status         Print the state or the answer of a job.
  cancel         Cancel a job.
  check          Check settings or configuration files without running them.
  apply          Put a configuration on the platform by compare-and-set.
  show           Print the configuration on the platform.
  questionnaire  Make a configuration from answers about a team's requests.
  dump           Print the state, or the metrics, of a running entry process.
  explain        Print the history of a request from log files of several
                 processes, and its cause.
  load           Generate open-loop load by a plan and report on it.

Options:
  --entry=ENDPOINT      Callers' address of an entry VM; give several.
  --token=TOKEN         Token of a team, or of an operator for dump.
  --key=KEY             Submit under this idempotency key, not under a job id.
  --wait=S              Longest wait of one request, in seconds [default: 30].
  --deadline=S          Longest time for all tries, in seconds [default: 120].
  --platform=ENDPOINT   Address of the platform.
  --operators=ENDPOINT  Operators' address of an entry VM.
  --expect=VERSION      Apply only on top of this version. Without it, on top
                        of the version named in the file.
  --answers=FILE        Answers in JSON; without it they are asked for.
  --output=FILE         Write here and not to standard output.
  --plan=FILE           Plan of the load, in JSON.
  --report=FILE         Write the report here and not to standard output.
  --quiet               Show no progress.
  --metrics             Print metrics and not the state.
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
