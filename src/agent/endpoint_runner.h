// Interface for running tasks on a local endpoint. The agent decides whether a task may start; the
// runner sends the request.

#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::agent {

struct run_request {
    std::string url; ///< Base URL from the endpoint's announcement.
    protocol::task_start task;
    std::chrono::milliseconds timeout {0}; ///< The task timeout or the remaining time, if shorter.
    /// End of the lease (of an ephemeral task: when its entry would count as lost) or the deadline,
    /// whichever is earlier. The runner checks it right before it sends the request, and answers
    /// `not_run` if it has passed.
    base::steady_time start_before;
    /// Until when the task may run. Moves while its entry is alive, and is asked for again for each
    /// renewal of a lease. Empty if the run may outlast its entry.
    std::function<base::steady_time()> permitted_until;
};

struct run_result {
    protocol::outcome_kind kind = protocol::outcome_kind::unknown;
    std::string result; ///< JSON text; empty unless succeeded.
    std::string message; ///< Reason; empty if succeeded.
};

class endpoint_runner {
public:
    /// The second argument is the time at which the result arrived.
    using callback = std::function<void(run_result, base::steady_time)>;

    endpoint_runner() = default;
    virtual ~endpoint_runner() = default;
    endpoint_runner(endpoint_runner const&) = delete;
    endpoint_runner& operator=(endpoint_runner const&) = delete;

    /// Earliest end of the permission of a task that waits at the agent for its start, as
    /// `run_request::permitted_until`; the latest time if there is none. Set by the agent core.
    std::function<base::steady_time()> waiting_permitted_until;

    /// Sends the request to the endpoint at once. Calls `done` exactly once, later.
    virtual void start(run_request const& request, callback done) = 0;
    /// Asks the endpoint to stop a task. `done` of its start is still called.
    virtual void stop(std::string const& url, protocol::task_ref const& task) = 0;
};

} // namespace greengagehead::agent
