// Implementation of agent_core: its components and the handling of messages. Included only by the
// sources of the agent core.

#pragma once

#include <memory>
#include <string>

#include "agent/agent_core.h"
#include "agent/early_cancellations.h"
#include "agent/endpoint_list.h"
#include "agent/entry_leases.h"
#include "agent/entry_liveness.h"
#include "agent/outcome_sender.h"
#include "agent/outcome_store.h"
#include "agent/start_admission.h"
#include "agent/state_reporter.h"

namespace greengagehead::agent {

/// Invariant: `endpoint_runner::start` is only called from `start_waiting`, which checks the
/// attempt right before.
class agent_core::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(agent_settings settings, protocol::message_sender& sender,
                   endpoint_runner& runner);

    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// Refuses waiting attempts that can no longer start, fills free slots, and sends outcomes and
    /// reports that are due. Called at the end of the handling of every input.
    void run_due_work(base::steady_time now);
    void peer_up(std::string const& peer, base::steady_time now);
    /// Earliest time until which the entry of a waiting ephemeral attempt counts as alive.
    [[nodiscard]] base::steady_time waiting_permitted_until();
    /// Stops the ephemeral attempts of lost entries.
    void stop_orphaned_runs(base::steady_time now);

    agent_settings settings;
    protocol::message_sender& sender;
    endpoint_runner& runner;
    entry_leases leases;
    outcome_store outcomes;
    early_cancellations cancellations;
    endpoint_list endpoints;
    entry_liveness liveness;
    start_admission admission;
    outcome_sender outcome_delivery;
    state_reporter reports;

private:
    void handle(std::string const& peer, protocol::start_batch const& batch, base::steady_time now);
    void handle(std::string const& peer, protocol::lease_update const& update,
                base::steady_time now);
    void handle(std::string const& peer, protocol::cancel_batch const& batch,
                base::steady_time now);
    void handle(std::string const& peer, protocol::outcome_query const& query,
                base::steady_time now);
    void handle(std::string const& peer, protocol::outcome_ack const& ack, base::steady_time now);

    /// Makes another entry the receiver of the outcome of an attempt.
    void redirect(attempt_key const& key, std::string const& peer);
    void handle_start(start_request request, base::steady_time now);
    /// Handles a duplicate of a start message.
    void resend_outcome(attempt_record const& duplicate_of, attempt_key const& key,
                        std::string const& peer);
    /// Records a further attempt of a task that must not run twice. It gets the outcome of `run`.
    void attach_to_run(attempt_key const& run, start_request const& request, base::steady_time now);
    void cancel(std::string const& peer, protocol::attempt_ref const& attempt,
                base::steady_time now);
    void cancel(attempt_key const& key, base::steady_time now);
    /// Asks the endpoint to stop a run.
    void stop(attempt_key const& key);
    void refuse(attempt_key const& key, refusal const& reason, base::steady_time now);
    void refuse_ineligible_waiting(base::steady_time now);
    /// Starts waiting attempts of an endpoint while it has free slots.
    void start_waiting(std::string const& endpoint, base::steady_time now);
    void run(attempt_key const& key, endpoint_slots& slots, base::steady_time now);
    void finish_run(attempt_key const& key, run_result result, base::steady_time now);
    void finish(attempt_key const& key, run_result const& result, base::steady_time now);
    void report_if_due(base::steady_time now);
    [[nodiscard]] std::vector<protocol::endpoint_use> usage(std::string const& entry);
    /// State of the endpoints as reported to an entry.
    [[nodiscard]] std::vector<protocol::endpoint_state> states(std::string const& entry);
    [[nodiscard]] std::vector<protocol::attempt_ref> ephemeral_runs(std::string const& entry);
    [[nodiscard]] protocol::agent_report report(std::string const& entry, base::steady_time now);
};

} // namespace greengagehead::agent
