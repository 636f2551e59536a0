// All components of an entry and their wiring, for components that need many others.

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "entry/account_usage.h"
#include "entry/agent_outbox.h"
#include "entry/agent_table.h"
#include "entry/attempt_monitor.h"
#include "entry/attempt_tracker.h"
#include "entry/claim_client.h"
#include "entry/control_client.h"
#include "entry/copy_store.h"
#include "entry/dispatcher.h"
#include "entry/entry_core.h"
#include "entry/held_requests.h"
#include "entry/job_lifecycle.h"
#include "entry/job_table.h"
#include "entry/lease_manager.h"
#include "entry/remote_jobs.h"
#include "entry/restart_counts.h"
#include "entry/resubmissions.h"
#include "entry/slot_shares.h"
#include "entry/submission_claims.h"
#include "entry/takeover.h"
#include "entry/team_table.h"
#include "entry/timer_queue.h"
#include "policy/endpoint_health.h"
#include "policy/endpoint_table.h"
#include "policy/fair_queue.h"
#include "policy/overload_control.h"
#include "policy/placement_policy.h"
#include "policy/run_time_estimator.h"
#include "policy/speed_learner.h"
#include "policy/target_queue.h"

namespace greengagehead::entry {

/// Counts the messages passed on to another sender.
class counting_sender : public protocol::message_sender {
public:
    counting_sender(protocol::message_sender& target, std::uint64_t& counter)
        : next(target), count(counter)
    {
    }
    void send(std::string const& peer, protocol::message const& body) override
    {
        ++this->count;
        this->next.send(peer, body);
    }

private:
    protocol::message_sender& next;
    std::uint64_t& count;
};

struct entry_components {
    entry_components(entry_settings initial_settings, protocol::message_sender& output);

    entry_settings settings;
    entry_counters counters;
    restart_counts restarts;
    /// Number of the last attempt of any ephemeral task. A job that is submitted again has the same
    /// id, so numbers are not used twice: a late statement then matches no attempt of the newer
    /// job.
    std::uint32_t last_ephemeral_attempt = 0;
    counting_sender sender;

    agent_table agents;
    control_client control;
    lease_manager leases;
    claim_client claims;

    policy::endpoint_table endpoints;
    slot_shares shares;
    policy::endpoint_health health;
    policy::fair_queue queue; ///< Tasks of stored jobs.
    policy::target_queue ephemeral_queue; ///< Tasks of ephemeral jobs.
    policy::overload_control overload;
    policy::run_time_estimator estimator;
    policy::speed_learner learner; ///< Only used with the setting `learn_speed`.
    /// Whether decisions follow the learned speeds and run times.
    [[nodiscard]] bool uses_speeds() const
    {
        return this->settings.learn_speed && this->learner.speeds().uneven();
    }
    std::unique_ptr<policy::placement_policy> placement;

    team_table teams;
    account_usage accounts;
    timer_queue timers;
    job_table jobs;
    copy_store copies;
    agent_outbox outbox;
    held_requests held;

    dispatcher dispatch;
    attempt_tracker attempts;
    attempt_monitor monitor;
    job_lifecycle lifecycle;
    remote_jobs remote;
    resubmissions resubmitted;
    submission_claims submission_consent;
    takeover takeovers;
};

} // namespace greengagehead::entry
