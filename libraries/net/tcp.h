// Non-blocking TCP sockets for the event loop, with short time-outs for detecting a dead peer.
#pragma once

#include <netinet/in.h>

#include <string>

namespace bramleytrack::net {

// Owns a file descriptor and closes it on destruction.
class descriptor {
public:
    descriptor() = default;
    explicit descriptor(int fd) : fd_{fd} {}
    ~descriptor();
    descriptor(descriptor&& other) noexcept;
    descriptor& operator=(descriptor&& other) noexcept;
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    int get() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

// Starts a non-blocking connect. The result is not open when no socket could be created or the
// connection failed at once.
descriptor begin_connect(const sockaddr_in& address);
// Throws std::system_error when the address can't be bound.
descriptor listen_on(const sockaddr_in& address);
// Accepts the next pending connection; not open when there is none.
descriptor accept_from(int listener);

// Appends all bytes that can be read without blocking. False when the peer closed the connection or
// it failed.
bool read_available(int socket, std::string& output);
// Sends as much as possible without blocking and removes it from `data`. False when the connection
// failed.
bool write_available(int socket, std::string& data);

}  // namespace bramleytrack::net
