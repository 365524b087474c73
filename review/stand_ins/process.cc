#include "stand_ins/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>

extern char** environ;

namespace review {

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& output) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A channel that the case closes must not stay open in a child.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  // The case itself blocks no signals, but its threads may.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  if (posix_spawn(&id_, argv[0], &actions, &attributes, argv.data(), environ) !=
      0)
    id_ = -1;
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() {
  Kill();
}

void Process::Signal(int signal) const {
  if (id_ > 0)
    ::kill(id_, signal);
}

void Process::Kill() {
  was_killed_ = true;
  if (id_ <= 0)
    return;
  ::kill(id_, SIGKILL);
  int status = 0;
  ::waitpid(id_, &status, 0);
  id_ = -1;
}

bool Process::HasEnded() {
  if (id_ <= 0)
    return true;
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) != id_)
    return false;
  id_ = -1;
  return true;
}

}  // namespace review
