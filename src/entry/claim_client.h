// Sends claims and final states of jobs to control, in batches.

#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <sigc++/signal.h>

#include "base/clock.h"
#include "base/error.h"
#include "protocol/command.h"

namespace greengagehead::entry {

class control_client;

class claim_client {
public:
    explicit claim_client(control_client& control);

    /// Queues a claim. Exactly one of `claim_decided` and `claim_failed` follows.
    void claim(protocol::job_claim claim);
    /// Queues the final state of a claimed job; sent again until it is committed.
    void finish(protocol::job_finish finish);
    /// Registers an agent incarnation; sent again until it is committed.
    void join_agent(protocol::process_id const& agent, std::string const& zone,
                    base::steady_time now);

    /// Sends the queued commands, up to the limit of batches in flight.
    void flush(base::steady_time now);
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::size_t waiting_claims() const { return this->claims.size(); }

    sigc::signal<void(std::string const& job, protocol::claim_result const&, base::steady_time)>
        claim_decided;
    /// It is not known whether the claim was committed.
    sigc::signal<void(std::string const& job, base::error const&, base::steady_time)> claim_failed;
    sigc::signal<void(std::string const& job, base::steady_time)> finish_committed;
    sigc::signal<void(protocol::process_id const& agent, base::steady_time)> agent_joined;

private:
    void send_claims(base::steady_time now);
    void send_finishes(base::steady_time now);

    control_client& control;
    std::deque<protocol::job_claim> claims;
    std::deque<protocol::job_finish> finishes;
    std::uint32_t claim_batches = 0; ///< In flight.
    std::uint32_t finish_batches = 0;
    base::steady_time next_finish_time; ///< Earliest time to send final states after an error.
    std::vector<protocol::join_agent> failed_joins;
    base::steady_time next_join_time;
};

} // namespace greengagehead::entry
