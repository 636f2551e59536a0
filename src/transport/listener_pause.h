// Pauses a listener that cannot accept, and resumes it.

#pragma once

#include <cstddef>
#include <memory>

struct evconnlistener;

namespace greengagehead::transport {

class event_loop;
class loop_timer;

/// Connections that a listener accepts before it closes those that they replace, so that a crowd
/// does not take all descriptors in one turn of the event loop.
constexpr std::size_t max_accepted_in_turn = 16;

/// While the process has no free descriptor, a connection that waits to be accepted makes the
/// listener readable all the time. It is paused then, and tries again after a moment.
class listener_pause {
public:
    /// @param paused_listener must outlive this object.
    listener_pause(event_loop& loop, evconnlistener* paused_listener);
    ~listener_pause();

    listener_pause(listener_pause const&) = delete;
    listener_pause& operator=(listener_pause const&) = delete;
    listener_pause(listener_pause&&) = delete;
    listener_pause& operator=(listener_pause&&) = delete;

    /// Stops accepting until `resume`.
    void stop();
    /// Accepts again, unless there is a shortage of descriptors.
    void resume();

private:
    void begin_shortage();
    static void on_error(evconnlistener* listener, void* argument);

    event_loop& loop;
    evconnlistener* listener;
    std::unique_ptr<loop_timer> retry_timer; // Set during a shortage.
};

} // namespace greengagehead::transport
