// Interfaces of the adapters for a particular deployment. An adapter is attached to a role of the
// process, implements the protocols of that deployment and calls the core of the role. The program
// works without adapters.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "protocol/message.h"

namespace greengagehead::agent {
class agent_core;
class endpoint_runner;
}
namespace greengagehead::control {
class local_requests;
}
namespace greengagehead::entry {
class entry_core;
}
namespace greengagehead::transport {
class event_loop;
}

namespace greengagehead::app {

/// Adapter for one role. Runs on the thread of the role, and is destroyed before the role.
class role_adapter {
public:
    role_adapter() = default;
    virtual ~role_adapter() = default;
    role_adapter(role_adapter const&) = delete;
    role_adapter& operator=(role_adapter const&) = delete;

    /// Opens listeners. Called once, before the thread of the role starts.
    virtual base::result<void> open() = 0;
    /// Called every 10 ms.
    virtual void tick(base::steady_time /*now*/) { }
    /// Called once, when the role starts to shut down.
    virtual void begin_shutdown(base::steady_time /*now*/) { }
    /// Takes no further connections, except those that wait to be accepted.
    virtual void close_intake() { }
    /// True once no connection is accepted any more.
    [[nodiscard]] virtual bool intake_closed() const { return true; }
    /// Stops listening and closes the connections that have no request in progress.
    virtual void close_idle_connections() { }
    /// True while no work is in progress.
    [[nodiscard]] virtual bool idle() const { return true; }
    /// Number of requests whose answer is not completely written. Also called once the thread of
    /// the role has ended.
    [[nodiscard]] virtual std::size_t open_requests() const { return 0; }
};

/// Adapter for an agent. Also supplies the runner of the agent's endpoints.
class agent_adapter : public role_adapter {
public:
    [[nodiscard]] virtual agent::endpoint_runner& runner() = 0;
    /// Gives the adapter the core that it reports to. Called once, before `open`.
    virtual void connect(agent::agent_core& core) = 0;
    /// While this is false, the agent does not look for entries and so gets no work from them.
    [[nodiscard]] virtual bool ready() const = 0;
};

/// Factories of the adapters. A role whose factory is empty runs without an adapter.
struct adapter_set {
    std::function<std::unique_ptr<role_adapter>(transport::event_loop&, entry::entry_core&)> entry;
    std::function<std::unique_ptr<role_adapter>(transport::event_loop&, control::local_requests&)>
        control;
    std::function<std::unique_ptr<agent_adapter>(transport::event_loop&)> agent;
};

} // namespace greengagehead::app
