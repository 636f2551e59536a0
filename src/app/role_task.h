// One role of a process: a thread with its own event loop, links and state.

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "policy/loop_delay.h"
#include "settings/process_settings.h"
#include "transport/event_loop.h"
#include "transport/link_hub.h"

namespace greengagehead::app {

/// Base of the roles. Derived classes own a core and connect it to the hub. All functions that are
/// not public run on the thread of the task.
class role_task {
public:
    /// @param connections shared by the roles of a process; with none, the role has its own limits.
    explicit role_task(transport::link_identity identity,
                       std::shared_ptr<transport::connection_guard> connections = nullptr);
    virtual ~role_task();
    role_task(role_task const&) = delete;
    role_task& operator=(role_task const&) = delete;

    /// Starts the thread. Call once all listeners are open.
    void start();
    /// Lets work in progress finish, then calls `done` on the thread of the task. Thread-safe.
    void shut_down(std::function<void()> done);
    /// Keeps links to the control members of reloaded settings, except to the peer name `self`, and
    /// calls `controls_configured`. Thread-safe.
    void set_controls(std::vector<settings::peer_settings> const& members, std::string const& self);
    /// Answers who still waits, stops the event loop once the answers are written or after 250 ms,
    /// and joins the thread. Thread-safe. Must be called before the derived class is destroyed.
    void stop();

protected:
    /// Called with the peer names of the control members in the reloaded settings.
    virtual void controls_configured(std::vector<std::string> const& peers) = 0;
    /// Called every 10 ms.
    virtual void tick(base::steady_time now) = 0;
    /// Refuses new work from now on.
    virtual void begin_shutdown(base::steady_time now) = 0;
    /// Takes no further requests, except those that have been sent already.
    virtual void close_intake() { }
    /// True once no request can arrive on a new connection.
    [[nodiscard]] virtual bool intake_closed() const { return true; }
    /// Stops listening and closes the connections that have no request in progress.
    virtual void close_idle_connections() { }
    /// Answers every request in progress with what is known.
    virtual void answer_all(base::steady_time /*now*/) { }
    /// True while no work is in progress.
    [[nodiscard]] virtual bool idle() const = 0;
    /// Number of requests whose answer is not completely written. Also called once the thread has
    /// ended.
    [[nodiscard]] virtual std::size_t open_requests() const { return 0; }

    transport::event_loop loop;
    transport::link_hub hub;

private:
    void check_shutdown(base::steady_time now);
    void begin_stop(base::steady_time now);
    void check_stop(base::steady_time now);
    void log_delays(base::steady_time now);
    void log_requests_cut() const;

    std::string name; // Of the role, as its peers know it.
    policy::loop_delay delays;
    base::steady_time last_delay_log;
    std::unique_ptr<transport::loop_timer> tick_timer;
    std::function<void()> on_shutdown_done; // Empty unless a shutdown is in progress.
    std::optional<base::steady_time> idle_since; // Set while idle during a shutdown.
    bool closing_intake = false; // Set while an idle role waits for `intake_closed`.
    std::optional<base::steady_time> stop_limit; // Set once the loop is to stop.
    std::thread thread;
};

} // namespace greengagehead::app
