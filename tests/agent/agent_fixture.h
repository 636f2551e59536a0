// An agent core with a fake endpoint runner, a recording sender and a virtual clock.

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "agent/agent_core.h"

namespace greengagehead::agent::fakes {

using std::chrono::milliseconds;

inline std::string const job_id = "00112233445566778899aabbccddeeff";

class fake_runner : public endpoint_runner {
public:
    struct run {
        run_request request;
        callback done;
    };

    void start(run_request const& request, callback done) override
    {
        this->runs.push_back({request, std::move(done)});
    }
    void stop(std::string const& /*url*/, protocol::task_ref const& task) override
    {
        this->stopped.push_back(task);
    }

    /// Ends the run at `position` in the order of starts.
    void end(std::size_t position, run_result result, base::steady_time now)
    {
        auto const done = std::exchange(this->runs.at(position).done, nullptr);
        done(std::move(result), now);
    }

    std::vector<run> runs;
    std::vector<protocol::task_ref> stopped;
};

class recording_sender : public protocol::message_sender {
public:
    void send(std::string const& peer, protocol::message const& body) override
    {
        this->sent.emplace_back(peer, body);
    }

    /// All messages of one type sent to a peer.
    template <typename T> [[nodiscard]] std::vector<T> to(std::string const& peer) const
    {
        std::vector<T> found;
        for (auto const& [target, body] : this->sent) {
            if (auto const* const match = std::get_if<T>(&body); match != nullptr && target == peer)
                found.push_back(*match);
        }
        return found;
    }
    /// All outcomes sent to a peer in batches, resent ones included.
    [[nodiscard]] std::vector<protocol::task_outcome> outcomes(std::string const& peer) const
    {
        std::vector<protocol::task_outcome> all;
        for (auto const& batch : this->to<protocol::outcome_batch>(peer))
            all.insert(all.end(), batch.outcomes.begin(), batch.outcomes.end());
        return all;
    }

    std::vector<std::pair<std::string, protocol::message>> sent;
};

inline protocol::task_start make_start(std::uint32_t index, bool idempotent = false,
                                       std::uint32_t attempt = 1, protocol::job_epoch epoch = 1)
{
    protocol::task_start start;
    start.task = {job_id, index};
    start.attempt = attempt;
    start.epoch = epoch;
    start.endpoint = "chairs-1";
    start.team = "hospital";
    start.kind = "quote";
    start.idempotent = idempotent;
    start.payload = "{}";
    start.remaining = milliseconds(30'000);
    return start;
}

/// Agent in zone "recife" with entries "entry.a" and "entry.b" in view 1, and the endpoint
/// "chairs-1" with two slots.
struct agent_fixture {
    agent_fixture() : agent_fixture(agent_settings()) { }
    explicit agent_fixture(agent_settings base_settings)
        : settings(std::move(base_settings)),
          core(with_identity(this->settings), sender, runner, now)
    {
        this->announce();
        this->core.peer_up("entry.a", this->now);
        this->core.peer_up("entry.b", this->now);
        this->update_lease(this->entry_a, 1);
        this->update_lease(this->entry_b, 1);
    }

    static agent_settings const& with_identity(agent_settings& settings)
    {
        settings.id = {"agent.recife-7", 77};
        settings.zone = "recife";
        settings.region = "nordeste";
        return settings;
    }

    void announce()
    {
        (void)this->core.announce(
            {"chairs-1", "http://127.0.0.1:9000", {"quote", "hold"}, 2, 60, 64, 1024, "rack-1"},
            this->now);
    }
    [[nodiscard]] protocol::lease_stamp stamp(protocol::process_id const& entry,
                                              protocol::view_number view) const
    {
        return {entry, view, base::to_reading(this->now + milliseconds(1500))};
    }
    void update_lease(protocol::process_id const& entry, protocol::view_number view,
                      std::vector<std::string> zones_out = {},
                      std::vector<std::string> draining = {})
    {
        this->core.receive(entry.name,
                           protocol::lease_update {this->stamp(entry, view),
                                                   std::move(zones_out),
                                                   std::move(draining),
                                                   this->live,
                                                   {}},
                           this->now);
    }
    [[nodiscard]] protocol::start_batch batch(protocol::process_id const& entry,
                                              std::vector<protocol::task_start> starts,
                                              protocol::view_number view = 1) const
    {
        return {this->stamp(entry, view), 77, std::move(starts)};
    }
    void start(protocol::task_start const& task, protocol::view_number view = 1)
    {
        this->core.receive("entry.a", this->batch(this->entry_a, {task}, view), this->now);
    }
    void succeed(std::size_t run)
    {
        this->runner.end(run, {protocol::outcome_kind::succeeded, "{\"chairs\":4}", {}}, this->now);
    }
    /// Advances the clock in ticks. The endpoint repeats its announcement if `announces` is set.
    void advance(milliseconds duration)
    {
        for (auto const end = this->now + duration; this->now < end;) {
            this->now += milliseconds(10);
            if (this->announces)
                this->announce();
            this->core.tick(this->now);
        }
    }
    void acknowledge_all(std::string const& peer)
    {
        for (auto const& batch : this->sender.to<protocol::outcome_batch>(peer))
            this->core.receive(peer, protocol::outcome_ack {77, batch.batch_id}, this->now);
    }
    [[nodiscard]] protocol::task_outcome last_outcome(std::string const& peer = "entry.a") const
    {
        auto const all = this->sender.outcomes(peer);
        return all.empty() ? protocol::task_outcome() : all.back();
    }

    protocol::process_id const entry_a {"entry.a", 11};
    protocol::process_id const entry_b {"entry.b", 22};
    std::vector<protocol::process_id> live {entry_a, entry_b};
    base::steady_time now {std::chrono::hours(1)};
    bool announces = true;
    agent_settings settings;
    recording_sender sender;
    fake_runner runner;
    agent_core core;
};

} // namespace greengagehead::agent::fakes
