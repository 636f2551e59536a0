// Event loop of one role task, built on libevent: timers, and functions posted by other threads.

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace greengagehead::transport {

class connection_guard;
class event_loop;

/// One-shot or repeating timer of an event loop. Destroying it cancels it.
class loop_timer {
public:
    /// @param on_expiry may destroy the timer.
    loop_timer(event_loop& loop, std::chrono::microseconds interval, bool repeating,
               std::function<void()> on_expiry);
    ~loop_timer();

    loop_timer(loop_timer const&) = delete;
    loop_timer& operator=(loop_timer const&) = delete;
    loop_timer(loop_timer&&) = delete;
    loop_timer& operator=(loop_timer&&) = delete;

private:
    static void on_timeout(int socket, short what, void* self);

    std::function<void()> action;
    event* timer_event;
};

/// Only `post` and `stop` are thread-safe. Everything else must be called on the thread that runs
/// the loop, or before the loop runs.
class event_loop {
public:
    /// @param process_connections shared by the loops of a process; with none, the loop has its own
    /// one without limits on bytes and numbers.
    explicit event_loop(std::shared_ptr<connection_guard> process_connections = nullptr);
    ~event_loop();

    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Runs until `stop` is called, even while no event is registered.
    void run();
    /// Ends `run` once all functions posted before have run. Thread-safe.
    void stop();
    /// Runs `action` on the thread of the loop, in the order of the calls. Thread-safe.
    void post(std::function<void()> action);

    /// Runs `action` at each `interval` until the returned timer is destroyed.
    [[nodiscard]] std::unique_ptr<loop_timer> every(std::chrono::microseconds interval,
                                                    std::function<void()> action);
    /// Runs `action` once after `delay`, unless the returned timer is destroyed first.
    [[nodiscard]] std::unique_ptr<loop_timer> after(std::chrono::microseconds delay,
                                                    std::function<void()> action);

    [[nodiscard]] event_base* base() const { return this->libevent_base; }
    /// Guard of the connections that listeners on this loop accept.
    [[nodiscard]] connection_guard& connections() const { return *this->shared_connections; }

private:
    static void run_posted(int socket, short what, void* self);

    std::shared_ptr<connection_guard> shared_connections;
    event_base* libevent_base;
    event* wake_up_event;
    std::mutex posted_mutex;
    std::vector<std::function<void()>> posted; // Guarded by posted_mutex.
};

} // namespace greengagehead::transport
