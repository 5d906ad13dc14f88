// One program that the soak started, and the signals that it sends to it by its id.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::standins {

class process {
public:
    // `output` takes standard output and error; both are appended.
    process(std::vector<std::string> command, std::string output);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&&) = delete;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start();
    // Does nothing when it isn't running.
    void signal(int number) const;
    // Kills it and waits for its end.
    void kill();
    // Whether it runs; notices an end.
    bool is_running();
    // Exit status of the last end, or minus the signal that ended it.
    int status() const { return status_; }
    int starts() const { return starts_; }
    clock::time_point started_at() const { return started_at_; }

private:
    void take_status(int raw);

    std::vector<std::string> command_;
    std::string output_;
    pid_t id_ = 0;
    int status_ = 0;
    int starts_ = 0;
    clock::time_point started_at_;
};

}  // namespace bramleytrack::standins
