// Small stand-ins for control and agents, and a seeded network with a virtual clock, around real
// entries. The world also keeps the facts that the tests check answers against.

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

/// Job and index of a task.
using task_key = std::pair<std::string, std::uint32_t>;

/// Sends in the name of one process.
class port : public protocol::message_sender {
public:
    port(simulated_fleet& target, std::string self) : world(target), name(std::move(self)) { }
    void send(std::string const& peer, protocol::message const& body) override;

private:
    simulated_fleet& world;
    std::string name;
};

/// One control member that is always the leader.
struct fake_control {
    struct lease {
        protocol::live_entry entry;
        steady_time until;
    };
    protocol::view view {1, {}, {}, {}, {}, {}};
    std::map<std::string, lease> leases;
    std::map<std::string, protocol::job_claim> claims;
    std::vector<protocol::registered_agent> agents;
    std::map<std::string, protocol::view_number> settled;
    bool answers_claims = true;

    void receive(simulated_fleet& world, std::string const& peer, protocol::message const& body);
    void tick(simulated_fleet& world);
    void new_view(simulated_fleet& world);
    protocol::control_result apply(simulated_fleet& world,
                                   protocol::control_request const& request);
    protocol::claim_result claim(protocol::job_claim const& asked);
};

/// One agent with one endpoint.
struct fake_agent {
    using key = std::tuple<std::string, std::uint32_t, std::uint32_t, protocol::job_epoch>;
    struct record {
        protocol::task_outcome outcome;
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
    std::map<key, record> records;
    std::map<std::string, protocol::job_epoch> fences;
    std::uint64_t next_batch = 1;
    std::map<std::uint64_t, std::vector<key>> batches;
    steady_time next_report;

    void receive(simulated_fleet& world, std::string const& peer, protocol::message const& body);
    void tick(simulated_fleet& world);
    void restart(simulated_fleet& world);
    void start(simulated_fleet& world, std::string const& peer, protocol::start_batch const& batch,
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
    /// Advances until `done`, at most for `limit`.
    bool run_until(std::function<bool()> const& done, milliseconds limit = milliseconds(5000));
    /// Agents that run the task at this moment.
    [[nodiscard]] std::size_t runs_now(protocol::task_ref const& task) const;
    [[nodiscard]] std::uint32_t random(std::uint32_t bound);

    /// Submits and keeps the replies.
    struct submission {
        std::string job;
        std::vector<entry::submit_reply> replies;
    };
    std::shared_ptr<submission> submit(std::string const& at, protocol::job_request const& request,
                                       milliseconds wait = milliseconds(10'000));
    void check_reply(protocol::job_request const& request, entry::submit_reply const& reply);

    steady_time now;
    fake_control control;
    std::map<std::string, std::unique_ptr<entry::entry_core>> entries;
    std::map<std::string, fake_agent> agents;
    std::set<std::string> isolated; ///< Loses all messages to and from these processes.
    milliseconds claim_timeout {5000};
    double loss = 0;
    double doubled = 0;
    std::uint32_t most_delay_ms = 1;

    /// Runs per task, in order. Filled by the agents.
    std::map<task_key, std::uint32_t> runs;
    std::set<task_key> must_not_run; ///< Tasks that an answer called not run.
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
    std::map<std::string, std::unique_ptr<port>> ports;
    std::multimap<steady_time, envelope> under_way;
    steady_time next_tick;
};

/// A job with `tasks` tasks of kind `quote`, idempotent or not.
[[nodiscard]] protocol::job_request make_job(std::string const& submission, std::size_t tasks,
                                             bool idempotent);

} // namespace greengagehead::test
