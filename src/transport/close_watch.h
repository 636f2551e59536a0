// Notices that the peer of a socket has closed it while nobody reads from the socket.

#pragma once

#include <functional>

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

    /// Watches until the peer closes the socket or sends something.
    void arm();

private:
    static void check(int descriptor, short what, void* self);

    std::function<void()> closed;
    event* readable;
};

} // namespace greengagehead::transport
