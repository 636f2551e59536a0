// Simulated fleet: real entries with a fake control member and fake agents, on a seeded network
// with a virtual clock. It records all runs and checks each answer against them.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "entry/entry_core.h"

namespace greengagehead::test {

using base::steady_time;
using std::chrono::milliseconds;

class simulated_fleet;

/// Job id and index of a task.
using task_key = std::pair<std::string, std::uint32_t>;

/// Sends messages as one process of the fleet.
class process_sender : public protocol::message_sender {
public:
    process_sender(simulated_fleet& target, std::string self) : fleet(target), name(std::move(self))
    {
    }
    void send(std::string const& peer, protocol::message const& body) override;

private:
    simulated_fleet& fleet;
    std::string name;
};

/// One control member that is always the leader.
struct fake_control {
    struct lease {
        protocol::live_entry entry;
        steady_time expires_at;
    };
    protocol::view view {1, {}, {}, {}, {}, {}};
    std::map<std::string, lease> leases;
    std::map<std::string, protocol::job_claim> claims;
    std::vector<protocol::registered_agent> agents;
    std::map<std::string, protocol::view_number> settled;
    std::map<std::string, std::uint64_t> takeovers; ///< Number of the last one, by job.
    std::uint64_t takeover_count = 0;
    bool answers_claims = true;

    void receive(simulated_fleet& fleet, std::string const& peer, protocol::message const& body);
    void tick(simulated_fleet& fleet);
    void new_view(simulated_fleet& fleet);
    protocol::control_result apply(simulated_fleet& fleet,
                                   protocol::control_request const& request);
    protocol::claim_result claim(protocol::job_claim const& requested);
};

/// One agent with one endpoint.
struct fake_agent {
    using key = std::tuple<std::string, std::uint32_t, std::uint32_t, protocol::job_epoch>;
    struct record {
        protocol::task_outcome outcome;
        std::string name; ///< As in task_start.
        std::string owner;
        steady_time ends;
        bool acknowledged = false;
    };
    protocol::process_id id;
    std::string zone;
    milliseconds clock_offset {0};
    std::uint32_t slots = 4;
    milliseconds run_time {30};
    protocol::outcome_kind result = protocol::outcome_kind::succeeded;
    protocol::view_number seen_view = 0;
    bool lists_runs = false; ///< Its reports list the ephemeral runs of the receiver.
    std::map<key, record> records;
    std::map<std::string, protocol::job_epoch> fences;
    std::uint64_t next_batch = 1;
    std::map<std::uint64_t, std::vector<key>> batches;
    steady_time next_report;

    void receive(simulated_fleet& fleet, std::string const& peer, protocol::message const& body);
    void tick(simulated_fleet& fleet);
    void restart(simulated_fleet& fleet);
    void start(simulated_fleet& fleet, std::string const& peer, protocol::start_batch const& batch,
               protocol::task_start const& task);
    [[nodiscard]] std::uint32_t running() const;
};

class simulated_fleet {
public:
    explicit simulated_fleet(std::uint64_t seed,
                             steady_time start = steady_time(std::chrono::seconds(1000)));

    entry::entry_core& add_entry(std::string const& name, std::string const& zone);
    fake_agent& add_agent(std::string const& name, std::string const& zone);
    void post(std::string const& from, std::string const& to, protocol::message const& body);
    void run(milliseconds time);
    /// Advances the clock until `done` returns true, at most for `limit`. Returns the result of
    /// `done`.
    bool run_until(std::function<bool()> const& done, milliseconds limit = milliseconds(5000));
    /// Number of runs of the task that are in progress.
    [[nodiscard]] std::size_t concurrent_runs(protocol::task_ref const& task) const;
    /// The same for a named task, whichever entries have started it.
    [[nodiscard]] std::size_t concurrent_runs(std::string const& name) const;
    [[nodiscard]] std::uint32_t random(std::uint32_t bound);

    /// Submits a job and records the replies.
    struct submission {
        std::string job;
        std::vector<entry::submit_reply> replies;
    };
    std::shared_ptr<submission> submit(std::string const& at, protocol::job_request const& request,
                                       milliseconds wait = milliseconds(10'000),
                                       std::function<bool()> caller_left = {});
    void check_reply(protocol::job_request const& request, entry::submit_reply const& reply);

    steady_time now;
    fake_control control;
    std::map<std::string, std::unique_ptr<entry::entry_core>> entries;
    std::map<std::string, fake_agent> agents;
    std::set<std::string> isolated; ///< All messages to and from these processes are lost.
    std::set<std::string> frozen; ///< Entries that are paused; their messages wait.
    /// Lets the entry go on, with the messages that have waited.
    void thaw(std::string const& entry);
    /// Makes the loop of the entry handle its inputs at intervals of 300 ms, for 1.8 s.
    void run_behind(std::string const& entry);
    milliseconds claim_timeout {5000};
    std::size_t finished_bytes = 128U << 20U; ///< As in entry_settings.
    policy::recovery_hold_limits recovery_hold; ///< As in entry_settings.
    bool learn_speed = false; ///< As in entry_settings, for entries that are added later.
    milliseconds max_loop_delay {0}; ///< As in entry_settings, for entries that are added later.
    double loss_rate = 0;
    double duplicate_rate = 0;
    std::uint32_t max_delay_ms = 1;
    /// Additional delay of a message; may be empty.
    std::function<milliseconds(std::string const& from, std::string const& to,
                               protocol::message const&)>
        extra_delay;

    /// Number of runs per task, counted by the agents.
    std::map<task_key, std::uint32_t> runs;
    std::set<task_key> must_not_run; ///< Tasks that an answer reported as not run.
    std::vector<std::string> violations;
    std::function<void(std::string const& from, std::string const& to, protocol::message const&)>
        on_send;

private:
    struct envelope {
        std::string from;
        std::string to;
        protocol::message body;
    };
    void deliver(envelope const& item);

    std::mt19937_64 generator;
    std::map<std::string, std::unique_ptr<process_sender>> senders;
    std::multimap<steady_time, envelope> in_flight;
    std::vector<envelope> unread; ///< Messages to entries that are paused.
    steady_time next_tick;
};

/// A job with `tasks` tasks of kind `quote`.
[[nodiscard]] protocol::job_request make_job(std::string const& submission, std::size_t tasks,
                                             bool idempotent);

} // namespace greengagehead::test
