// The parts of an agent core and how they work together. Included by the agent core only.

#pragma once

#include <memory>
#include <string>

#include "agent/agent_core.h"
#include "agent/cancellation_book.h"
#include "agent/endpoint_list.h"
#include "agent/lease_book.h"
#include "agent/outcome_sender.h"
#include "agent/outcome_store.h"
#include "agent/owner_watch.h"
#include "agent/start_admission.h"
#include "agent/state_reporter.h"

namespace greengagehead::agent {

/// Every path to `endpoint_runner::start` goes through `start_waiting`, which checks the attempt
/// right before.
class agent_core::parts : public std::enable_shared_from_this<parts> {
public:
    parts(agent_settings settings, protocol::message_sender& sender, endpoint_runner& runner);

    void receive(std::string const& peer, protocol::message const& body, base::steady_time now);
    /// Answers waiting attempts that can no longer start, fills free slots, and sends what is due.
    /// Ends the handling of every input.
    void settle(base::steady_time now);
    void peer_up(std::string const& peer, base::steady_time now);
    /// Stops the ephemeral attempts of entries that are lost.
    void stop_orphans(base::steady_time now);

    agent_settings settings;
    protocol::message_sender& sender;
    endpoint_runner& runner;
    lease_book leases;
    outcome_store outcomes;
    cancellation_book cancellations;
    endpoint_list endpoints;
    owner_watch owners;
    start_admission admission;
    outcome_sender deliveries;
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

    /// Sends the outcome of an attempt to another entry from now on.
    void redirect(attempt_key const& key, std::string const& peer);
    void handle_start(start_request request, base::steady_time now);
    void repeat(attempt_record const& known, attempt_key const& key, std::string const& peer);
    void follow(attempt_key const& run, start_request const& request, base::steady_time now);
    void cancel(std::string const& peer, protocol::attempt_ref const& attempt,
                base::steady_time now);
    void cancel(attempt_key const& key, base::steady_time now);
    /// Asks the endpoint to stop a run.
    void stop(attempt_key const& key);
    void refuse(attempt_key const& key, refusal const& reason, base::steady_time now);
    void review_queues(base::steady_time now);
    void start_waiting(std::string const& endpoint, base::steady_time now);
    void run(attempt_key const& key, endpoint_slots& slots, base::steady_time now);
    void finish_run(attempt_key const& key, run_result result, base::steady_time now);
    void finish(attempt_key const& key, run_result const& result, base::steady_time now);
    void report_if_due(base::steady_time now);
    [[nodiscard]] std::vector<protocol::endpoint_use> uses(std::string const& entry);
    /// Endpoints as the entry is to know them.
    [[nodiscard]] std::vector<protocol::endpoint_state> states(std::string const& entry);
    [[nodiscard]] std::vector<protocol::attempt_ref> ephemeral_runs(std::string const& entry);
    [[nodiscard]] protocol::agent_report report(std::string const& entry, base::steady_time now);
};

} // namespace greengagehead::agent
