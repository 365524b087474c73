#include "child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace mustardbank {

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr std::chrono::milliseconds kEndTimeout{5000};
constexpr std::chrono::milliseconds kStopTimeout{1000};

std::string ReadLine(int descriptor, std::chrono::milliseconds timeout) {
  std::string line;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    pollfd entry{.fd = descriptor, .events = POLLIN};
    if (poll(&entry, 1, 50) <= 0)
      continue;
    char c = 0;
    if (read(descriptor, &c, 1) != 1 || c == '\n')
      return line;
    line += c;
  }
  return line;
}

// Waits until all threads of the process have stopped. SIGSTOP takes effect
// only when the kernel next schedules the process's main thread; on a busy
// machine the other threads keep running for some milliseconds until then.
void WaitUntilStopped(pid_t id) {
  const auto deadline = std::chrono::steady_clock::now() + kStopTimeout;
  siginfo_t info{};
  while (waitid(P_PID, static_cast<id_t>(id), &info, WSTOPPED | WNOHANG) == 0 &&
         info.si_pid == 0 && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& log,
                           std::chrono::milliseconds first_line_timeout) {
  int pipe_ends[2] = {-1, -1};
  if (pipe2(pipe_ends, O_CLOEXEC) != 0)
    return;
  output_ = pipe_ends[0];
  Spawn(arguments, log, pipe_ends[1], "");
  close(pipe_ends[1]);
  first_line_ = ReadLine(output_, first_line_timeout);
}

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& log,
                           const std::string& output,
                           std::chrono::milliseconds first_line_timeout) {
  std::ifstream file;
  { std::ofstream create(output, std::ios::app); }
  file.open(output);
  file.seekg(0, std::ios::end);
  const std::streampos start = file.tellg();
  Spawn(arguments, log, -1, output);
  const auto deadline = std::chrono::steady_clock::now() + first_line_timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    file.clear();
    file.seekg(start);
    if (std::getline(file, first_line_) && !file.eof())
      return;
    std::this_thread::sleep_for(kPollInterval);
  }
}

void ChildProcess::Spawn(const std::vector<std::string>& arguments,
                         const std::string& log,
                         int output,
                         const std::string& output_file) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (output >= 0)
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  else
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  // A socket inherited by the child would stay open after this process closes
  // it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  if (posix_spawn(&id_, argv[0], &actions, nullptr, argv.data(), environ) != 0)
    id_ = -1;
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess() {
  Kill();
  if (output_ >= 0)
    close(output_);
}

void ChildProcess::Signal(int signal) const {
  if (id_ <= 0 || exit_code_)
    return;
  kill(id_, signal);
  if (signal == SIGSTOP)
    WaitUntilStopped(id_);
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!exit_code_ && id_ > 0) {
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) == id_) {
      exit_code_ =
          WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() >= deadline) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return exit_code_;
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Wait(kEndTimeout);
}

double ChildProcess::processor_seconds() const {
  std::ifstream stat("/proc/" + std::to_string(id_) + "/stat");
  std::string text;
  std::getline(stat, text);
  // User and system time are fields 14 and 15, see proc(5). The command name in
  // field 2 may contain spaces, so count from its closing parenthesis.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 3; i < 14; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t ChildProcess::resident_bytes() const {
  std::ifstream statm("/proc/" + std::to_string(id_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace mustardbank
