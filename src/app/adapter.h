// What a deployment adapter may attach to the roles of a process. An adapter speaks the protocols
// of one deployment and calls the cores; the program works without any.

#pragma once

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

/// Runs on the thread of the role that it is attached to, and is destroyed before it.
class role_adapter {
public:
    role_adapter() = default;
    virtual ~role_adapter() = default;
    role_adapter(role_adapter const&) = delete;
    role_adapter& operator=(role_adapter const&) = delete;

    /// Opens listeners. Called once, before the role's thread starts.
    virtual base::result<void> open() = 0;
    /// Every 10 ms.
    virtual void tick(base::steady_time /*now*/) { }
    virtual void begin_shutdown(base::steady_time /*now*/) { }
    /// Nothing is in progress any more.
    [[nodiscard]] virtual bool idle() const { return true; }
};

/// Also supplies the runner of the agent's endpoints.
class agent_adapter : public role_adapter {
public:
    [[nodiscard]] virtual agent::endpoint_runner& runner() = 0;
    virtual void connect(agent::agent_core& core) = 0;
    /// The agent takes no work from entries before this.
    [[nodiscard]] virtual bool ready() const = 0;
};

/// Empty functions attach nothing.
struct adapter_set {
    std::function<std::unique_ptr<role_adapter>(transport::event_loop&, entry::entry_core&)> entry;
    std::function<std::unique_ptr<role_adapter>(transport::event_loop&, control::local_requests&)>
        control;
    std::function<std::unique_ptr<agent_adapter>(transport::event_loop&)> agent;
};

} // namespace greengagehead::app
