// libevent loop of one role task: timers, and functions posted by other threads.

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace greengagehead::transport {

class event_loop;

/// Timer of an event loop; stops when destroyed.
class loop_timer {
public:
    loop_timer(event_loop& loop, std::chrono::microseconds interval, bool repeating,
               std::function<void()> action);
    ~loop_timer();

    loop_timer(loop_timer const&) = delete;
    loop_timer& operator=(loop_timer const&) = delete;
    loop_timer(loop_timer&&) = delete;
    loop_timer& operator=(loop_timer&&) = delete;

private:
    static void fire(int socket, short what, void* self);

    std::function<void()> action;
    event* registration;
};

/// Everything except `post` and `stop` must be called on the thread that runs the loop, or before
/// it runs.
class event_loop {
public:
    event_loop();
    ~event_loop();

    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /// Runs until `stop`.
    void run();
    /// Thread-safe.
    void stop();
    /// Runs `action` on the loop's thread, in the order of the calls. Thread-safe.
    void post(std::function<void()> action);

    [[nodiscard]] std::unique_ptr<loop_timer> every(std::chrono::microseconds interval,
                                                    std::function<void()> action);
    [[nodiscard]] std::unique_ptr<loop_timer> after(std::chrono::microseconds delay,
                                                    std::function<void()> action);

    [[nodiscard]] event_base* base() const { return this->handle; }

private:
    static void run_posted(int socket, short what, void* self);

    event_base* handle;
    event* wake_up;
    std::mutex posted_lock;
    std::vector<std::function<void()>> posted; // Guarded by posted_lock.
};

} // namespace greengagehead::transport
