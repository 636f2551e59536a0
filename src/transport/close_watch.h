// Detects that the peer has closed a socket while nothing reads from that socket.

#pragma once

#include <functional>

#include <sys/types.h>

struct event;

namespace greengagehead::transport {

class event_loop;

/// Only peeks at the socket, so its later reader still gets every byte, and unread bytes take no
/// memory but the socket's buffer. A peer that shut down only its sending side counts as closed
/// too. Limit: a peer that has filled the buffer and then closes is noticed only if it resets the
/// connection, because its FIN waits behind the bytes that do not fit.
class close_watch {
public:
    /// @param on_closed runs on the thread of `loop` and may destroy the watch.
    close_watch(event_loop& loop, int descriptor, std::function<void()> on_closed);
    ~close_watch();

    close_watch(close_watch const&) = delete;
    close_watch& operator=(close_watch const&) = delete;
    close_watch(close_watch&&) = delete;
    close_watch& operator=(close_watch&&) = delete;

    /// Whether the kernel has already seen a reset or another error on the connection, so that
    /// nothing can be sent on it any more.
    [[nodiscard]] bool reset() const;
    /// Whether the kernel has already seen that the peer closed the connection, in whichever way.
    /// Data that was not read yet does not hide it.
    [[nodiscard]] bool closed() const;
    /// Starts watching. Stops when the peer has closed the socket; call again to resume.
    void arm();

private:
    /// Result of `recv` for the next byte, which stays in the socket.
    static ssize_t peek(int descriptor);
    static void on_readable(int descriptor, short what, void* self);
    static void on_unread_check(int descriptor, short what, void* self);
    void watch_unread();

    std::function<void()> closed_callback;
    event* read_event;
    /// Pending while data is unread: the read event would fire at once, so it is not armed then.
    event* unread_check_event;
};

} // namespace greengagehead::transport
