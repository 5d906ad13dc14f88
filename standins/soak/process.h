// A child process of the soak; signals are sent to its process id.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::standins {

class process {
public:
    // Standard output and error are appended to the file `output`.
    process(std::vector<std::string> command, std::string output);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&&) = delete;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start();
    // Does nothing when the process is not running.
    void signal(int number) const;
    // Sends SIGKILL and reaps the process.
    void kill();
    // Reaps the process if it has exited.
    bool is_running();
    // Exit status of the last run, or the negated number of the signal that ended it.
    int status() const { return status_; }
    int starts() const { return starts_; }
    clock::time_point started_at() const { return started_at_; }

private:
    void record_exit(int wait_status);

    std::vector<std::string> command_;
    std::string output_;
    pid_t pid_ = 0;
    int status_ = 0;
    int starts_ = 0;
    clock::time_point started_at_;
};

}  // namespace bramleytrack::standins
