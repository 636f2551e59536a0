// Notices that the peer of a socket has closed it while nobody reads from the socket.

#pragma once

#include <functional>

#include <sys/types.h>

struct event;

namespace greengagehead::transport {

class event_loop;

/// Peeks at the socket, so whoever reads it later finds every byte. A peer that only stops sending
/// counts as closed.
class close_watch {
public:
    /// @param on_closed may destroy the watch.
    close_watch(event_loop& loop, int descriptor, std::function<void()> on_closed);
    ~close_watch();

    close_watch(close_watch const&) = delete;
    close_watch& operator=(close_watch const&) = delete;
    close_watch(close_watch&&) = delete;
    close_watch& operator=(close_watch&&) = delete;

    /// Whether the connection was reset, as far as is known now: nothing can be sent on it any
    /// more.
    [[nodiscard]] bool reset() const;
    /// Watches until the peer closes the socket or sends something.
    void arm();

private:
    /// Result of looking at the next byte without taking it.
    static ssize_t peek(int descriptor);
    static void check(int descriptor, short what, void* self);

    std::function<void()> closed;
    event* readable;
};

} // namespace greengagehead::transport
