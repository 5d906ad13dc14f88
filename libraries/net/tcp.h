// TCP sockets for the loop: non-blocking, and quick to notice that the other end is gone.
#pragma once

#include <netinet/in.h>

#include <string>

namespace bramleytrack::net {

// A file descriptor with an owner.
class descriptor {
public:
    descriptor() = default;
    explicit descriptor(int number) : number_{number} {}
    ~descriptor();
    descriptor(descriptor&& other) noexcept;
    descriptor& operator=(descriptor&& other) noexcept;
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    int get() const { return number_; }
    bool is_open() const { return number_ >= 0; }

private:
    int number_ = -1;
};

// Begins to connect; not open when no socket could be had or the address refused at once.
descriptor begin_connect(const sockaddr_in& address);
// Throws std::system_error when the address can't be bound.
descriptor listen_on(const sockaddr_in& address);
// The next waiting connection; not open when there is none.
descriptor accept_from(int listening);

// Appends what can be read now. False when the connection has ended or failed.
bool read_available(int socket, std::string& to);
// Sends what can be sent now and removes it from `data`. False when the connection failed.
bool write_available(int socket, std::string& data);

}  // namespace bramleytrack::net
