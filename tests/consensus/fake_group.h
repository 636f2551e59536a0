// A control group on a simulated network with a virtual clock and a random seed. Checks the safety
// invariants of the group in each step.

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "consensus/durable_log.h"
#include "storage/faulty_file_system.h"
#include "virtual_time.h"

namespace greengagehead::consensus {

using namespace std::chrono_literals;

class fake_group : public test::virtual_time {
public:
    struct member : protocol::message_sender {
        std::string name;
        fake_group* group = nullptr;
        storage::faulty_file_system files;
        std::unique_ptr<durable_log> log;
        /// Replicated state: the committed commands, one per line.
        std::string state;
        /// The process is paused: messages are queued and ticks are left out.
        bool suspended = false;
        /// Last value that `leadership_changed` reported.
        bool ready = false;
        /// Messages that arrived while suspended.
        std::vector<std::pair<std::string, protocol::raft_message>> queued_messages;

        void send(std::string const& peer, protocol::message const& body) override
        {
            this->group->post(this->name, peer, std::get<protocol::raft_message>(body));
        }
    };

    explicit fake_group(std::uint64_t seed, std::vector<std::string> const& names) : random(seed)
    {
        for (auto const& name : names)
            this->initial.push_back({name, name + ":1"});
    }

    void start(std::string const& name)
    {
        auto& target = this->members[name];
        target.name = name;
        target.group = this;
        target.state.clear();
        target.queued_messages.clear();
        target.ready = target.suspended = false;
        durable_log_settings settings;
        settings.name = name;
        settings.address = name + ":1";
        settings.folder = "data";
        settings.initial = this->initial;
        settings.seed = this->random() | 1;
        settings.snapshot_entries = this->snapshot_entries;
        settings.trailing_entries = 5;
        settings.membership = this->membership;
        settings.allow_bootstrap = this->allow_bootstrap;
        auto opened = durable_log::open(settings, target.files, target, this->now);
        INFO((opened ? std::string() : base::describe(opened.error())));
        REQUIRE(opened);
        target.log = std::move(opened.value());
        this->connect(target);
        target.log->start(this->now);
    }

    void start_all()
    {
        for (auto const& configured : this->initial)
            this->start(configured.name);
    }

    /// Ends the process abruptly; unsynced data is lost.
    void kill(std::string const& name)
    {
        auto& target = this->members.at(name);
        target.log.reset();
        target.files.crash(this->random);
    }

    /// Continues a suspended process, which then receives the queued messages.
    void resume(std::string const& name)
    {
        auto& target = this->members.at(name);
        target.suspended = false;
        for (auto& [peer, message] : std::exchange(target.queued_messages, {}))
            target.log->receive(peer, message, this->now);
    }

    /// A running member that is an established leader with recent quorum contact; null for none.
    member* leader()
    {
        for (auto& [_, node] : this->members) {
            if (node.log && !node.suspended && node.ready
                && node.log->quorum_contact_recent(this->now))
                return &node;
        }
        return nullptr;
    }

    bool wait_for_leader(std::chrono::milliseconds limit = 2s)
    {
        return this->run_until([this] { return this->leader() != nullptr; }, limit);
    }

    /// Proposes `data` on the leader and waits for the acknowledgement.
    bool put(std::string const& data, std::chrono::milliseconds limit = 2s)
    {
        auto* target = this->leader();
        if (target == nullptr || !this->propose(*target, data))
            return false;
        return this->run_until([&] { return this->acknowledged.contains(data); }, limit);
    }

    bool propose(member& target, std::string const& data)
    {
        auto const position = target.log->propose(data);
        if (position)
            this->proposals[{target.name, position.value().index, position.value().term}] = data;
        return static_cast<bool>(position);
    }

    /// True when all running members have the same state and it contains every acknowledged
    /// command.
    bool converged()
    {
        std::set<std::string> states;
        for (auto const& [_, node] : this->members) {
            if (node.log && !node.log->failure())
                states.insert(node.state);
        }
        return states.size() == 1 && this->contains_acknowledged(*states.begin());
    }

    /// True when `state` contains all commands that were acknowledged in a term before `term`.
    bool contains_acknowledged(std::string const& state, std::uint64_t term = UINT64_MAX) const
    {
        return std::all_of(
            this->acknowledged.begin(), this->acknowledged.end(), [&](auto const& command) {
                return command.second >= term
                    || ("\n" + state).find("\n" + command.first + "\n") != std::string::npos;
            });
    }

    /// Drops all messages in one direction.
    void cut(std::string const& from, std::string const& to) { this->cuts.insert({from, to}); }
    void isolate(std::string const& name)
    {
        for (auto const& [other, _] : this->members) {
            this->cut(name, other);
            this->cut(other, name);
        }
    }
    void heal() { this->cuts.clear(); }

    std::size_t voters(std::string const& name)
    {
        auto const list = this->members.at(name).log->members();
        return static_cast<std::size_t>(
            std::count_if(list.begin(), list.end(), [](auto const& node) { return node.voter; }));
    }

    /// True when the latest membership is committed, and each of its members is a voter that runs
    /// under the identity in the membership.
    bool membership_complete(member const& leader) const
    {
        auto const& list = leader.log->raft().log().members().members;
        return !leader.log->raft().changing_members()
            && std::all_of(list.begin(), list.end(), [this](auto const& node) {
                   auto const& log = this->members.at(node.name).log;
                   return node.voter && log && log->identity() == node.id;
               });
    }

    bool allow_bootstrap = true;
    std::vector<group_address> initial; ///< Configured members.
    std::map<std::string, member> members;
    /// Acknowledged commands, each with the term in which it was acknowledged.
    std::map<std::string, std::uint64_t> acknowledged;
    unsigned loss_percent = 0;
    unsigned duplicate_percent = 0;
    std::chrono::milliseconds max_delay {2};
    std::uint64_t snapshot_entries = 10'000;
    membership_rules membership;
    std::uint64_t messages = 0;

private:
    struct delivery {
        std::string from;
        std::string to;
        protocol::raft_message message;
    };

    void connect(member& target)
    {
        target.log->take_snapshot = [&target] { return target.state; };
        target.log->restored.connect([&target](std::string const& state) { target.state = state; });
        target.log->committed.connect(
            [this, &target](protocol::log_entry const& entry, base::steady_time) {
                target.state += entry.data + "\n";
                // The logs of all members agree at every committed index.
                auto const [recorded, _] = this->committed.try_emplace(entry.index, entry.data);
                REQUIRE(recorded->second == entry.data);
                auto const proposal = this->proposals.find({target.name, entry.index, entry.term});
                if (proposal != this->proposals.end())
                    this->acknowledged.try_emplace(proposal->second, target.log->term());
            });
        target.log->leadership_changed.connect([this, &target](bool leading, base::steady_time) {
            target.ready = leading;
            // A leader has every command that was acknowledged in an earlier term. A leader that
            // was suspended may lack commands of later terms, but then has no recent quorum
            // contact.
            if (leading)
                REQUIRE(this->contains_acknowledged(target.state, target.log->term()));
        });
    }

    void post(std::string const& from, std::string const& to, protocol::raft_message const& message)
    {
        ++this->messages;
        if (this->cuts.contains({from, to}) || this->random() % 100 < this->loss_percent)
            return;
        auto const copies = this->random() % 100 < this->duplicate_percent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            auto const delay = 1 + this->random() % this->max_delay.count();
            this->network.emplace(this->now + std::chrono::milliseconds(delay),
                                  delivery {from, to, message});
        }
    }

    void step() override
    {
        while (!this->network.empty() && this->network.begin()->first <= this->now) {
            auto const packet = std::move(this->network.begin()->second);
            this->network.erase(this->network.begin());
            this->deliver(packet);
        }
        auto const time
            = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
        for (auto& [_, node] : this->members) {
            if (node.log && !node.suspended && time % 10ms == 0ms)
                node.log->tick(this->now);
        }
        this->check_invariants();
    }

    void deliver(delivery const& packet)
    {
        auto const found = this->members.find(packet.to);
        if (found == this->members.end() || !found->second.log)
            return;
        if (found->second.suspended)
            found->second.queued_messages.emplace_back(packet.from, packet.message);
        else
            found->second.log->receive(packet.from, packet.message, this->now);
    }

    void check_invariants()
    {
        std::size_t leaders_with_contact = 0;
        for (auto& [name, node] : this->members) {
            if (!node.log || !node.log->leading())
                continue;
            auto const [recorded, _]
                = this->leaders.try_emplace(node.log->term(), node.log->identity());
            // At most one leader per term.
            REQUIRE(recorded->second == node.log->identity());
            leaders_with_contact += node.log->quorum_contact_recent(this->now) ? 1 : 0;
        }
        // A deposed leader must not grant leases while its successor does.
        REQUIRE(leaders_with_contact <= 1);
    }

    std::mt19937_64 random;
    std::multimap<base::steady_time, delivery> network;
    /// Sender and receiver of the messages to drop.
    std::set<std::pair<std::string, std::string>> cuts;
    /// Proposed commands by name of the leader, index and term.
    std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, std::string> proposals;
    /// Committed commands by index.
    std::map<std::uint64_t, std::string> committed;
    /// Leaders by term.
    std::map<std::uint64_t, protocol::member_id> leaders;
};

} // namespace greengagehead::consensus
