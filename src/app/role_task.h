// One role of a process: a thread with its own event loop, links and state.

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "settings/process_settings.h"
#include "transport/event_loop.h"
#include "transport/link_hub.h"

namespace greengagehead::app {

/// Derived classes own a core and connect it to the hub. Everything but the public functions runs
/// on the task's thread.
class role_task {
public:
    explicit role_task(transport::link_identity identity);
    virtual ~role_task();
    role_task(role_task const&) = delete;
    role_task& operator=(role_task const&) = delete;

    /// Starts the thread. Call after the task has been set up.
    void start();
    /// Lets work in progress finish, then calls `done` on the task's thread. Thread-safe.
    void shut_down(std::function<void()> done);
    /// Takes over the control members that changed settings name, and keeps links to them, except
    /// to `self`. Thread-safe.
    void set_controls(std::vector<settings::peer_settings> const& members, std::string const& self);
    /// Ends the thread at once. Thread-safe.
    void stop();

protected:
    /// The settings name these control members now.
    virtual void controls_configured(std::vector<std::string> const& peers) = 0;
    /// Runs every 10 ms.
    virtual void tick(base::steady_time now) = 0;
    /// Refuses new work from now on.
    virtual void begin_shutdown(base::steady_time now) = 0;
    /// Nothing is in progress any more.
    [[nodiscard]] virtual bool idle() const = 0;

    transport::event_loop loop;
    transport::link_hub hub;

private:
    void check_shutdown(base::steady_time now);

    std::unique_ptr<transport::loop_timer> ticker;
    std::function<void()> on_shut_down; // Set while a shutdown is in progress.
    std::optional<base::steady_time> idle_since; // Of that shutdown.
    std::thread thread;
};

} // namespace greengagehead::app
