#include "soak/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>
#include <utility>

namespace bramleytrack::standins {

process::process(std::vector<std::string> command, std::string output)
    : command_{std::move(command)}, output_{std::move(output)} {}

process::~process() {
    kill();
}

process::process(process&& other) noexcept
    : command_{std::move(other.command_)},
      output_{std::move(other.output_)},
      pid_{std::exchange(other.pid_, 0)},
      status_{other.status_},
      starts_{other.starts_},
      started_at_{other.started_at_} {}

void process::start() {
    std::vector<char*> arguments;
    arguments.reserve(command_.size() + 1);
    for (auto& each : command_) {
        arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int error =
        posix_spawn(&pid_, arguments.front(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        pid_ = 0;
        throw std::system_error(error, std::generic_category(), command_.front());
    }
    ++starts_;
    started_at_ = clock::now();
}

void process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void process::kill() {
    if (pid_ <= 0) {
        return;
    }
    signal(SIGCONT);
    signal(SIGKILL);
    int wait_status = 0;
    waitpid(pid_, &wait_status, 0);
    record_exit(wait_status);
}

bool process::is_running() {
    if (pid_ <= 0) {
        return false;
    }
    int wait_status = 0;
    if (waitpid(pid_, &wait_status, WNOHANG) == pid_) {
        record_exit(wait_status);
    }
    return pid_ > 0;
}

void process::record_exit(int wait_status) {
    pid_ = 0;
    status_ = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -WTERMSIG(wait_status);
}

}  // namespace bramleytrack::standins
