// A control group over a seeded fake network with a virtual clock, and the oracle that every
// schedule is checked against.

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
        bool frozen = false;
        bool ready = false;
        std::vector<std::pair<std::string, protocol::raft_message>> held;

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
        target.held.clear();
        target.ready = target.frozen = false;
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
        for (auto const& item : this->initial)
            this->start(item.name);
    }

    /// Ends the process without a warning; unsynced data is lost.
    void kill(std::string const& name)
    {
        auto& target = this->members.at(name);
        target.log.reset();
        target.files.crash(this->random);
    }

    void thaw(std::string const& name)
    {
        auto& target = this->members.at(name);
        target.frozen = false;
        for (auto& [peer, message] : std::exchange(target.held, {}))
            target.log->receive(peer, message, this->now);
    }

    /// A member that leads, is established and runs; null when there is none.
    member* leader()
    {
        for (auto& [_, item] : this->members) {
            if (item.log && !item.frozen && item.ready
                && item.log->quorum_contact_recent(this->now))
                return &item;
        }
        return nullptr;
    }

    bool wait_for_leader(std::chrono::milliseconds limit = 2s)
    {
        return this->run_until([this] { return this->leader() != nullptr; }, limit);
    }

    /// Proposes on the leader and waits for the acknowledgement.
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

    /// All running members have the same state, and it holds every acknowledged command.
    bool converged()
    {
        std::set<std::string> states;
        for (auto const& [_, item] : this->members) {
            if (item.log && !item.log->failure())
                states.insert(item.state);
        }
        return states.size() == 1 && this->holds_acknowledged(*states.begin());
    }

    /// True when `state` has all commands that were acknowledged in a term before `term`.
    bool holds_acknowledged(std::string const& state, std::uint64_t term = UINT64_MAX) const
    {
        return std::all_of(
            this->acknowledged.begin(), this->acknowledged.end(), [&](auto const& item) {
                return item.second >= term
                    || ("\n" + state).find("\n" + item.first + "\n") != std::string::npos;
            });
    }

    /// Cuts messages in one direction.
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
            std::count_if(list.begin(), list.end(), [](auto const& item) { return item.voter; }));
    }

    /// The committed membership consists of voters with the disks that the members have now.
    bool complete(member const& leader) const
    {
        auto const& list = leader.log->raft().log().members().members;
        return !leader.log->raft().changing_members()
            && std::all_of(list.begin(), list.end(), [this](auto const& item) {
                   auto const& log = this->members.at(item.name).log;
                   return item.voter && log && log->identity() == item.id;
               });
    }

    bool allow_bootstrap = true;
    std::vector<group_address> initial;
    std::map<std::string, member> members;
    /// Acknowledged commands with the term in which they were acknowledged.
    std::map<std::string, std::uint64_t> acknowledged;
    unsigned loss_percent = 0;
    unsigned double_percent = 0;
    std::chrono::milliseconds longest_delay {2};
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
                // Logs agree at every committed index.
                auto const [known, _] = this->committed.try_emplace(entry.index, entry.data);
                REQUIRE(known->second == entry.data);
                auto const proposal = this->proposals.find({target.name, entry.index, entry.term});
                if (proposal != this->proposals.end())
                    this->acknowledged.try_emplace(proposal->second, target.log->term());
            });
        target.log->leadership_changed.connect([this, &target](bool leading, base::steady_time) {
            target.ready = leading;
            // A leader holds every command that was acknowledged in an earlier term. One that was
            // frozen may lack those of later terms, and is not trusted.
            if (leading)
                REQUIRE(this->holds_acknowledged(target.state, target.log->term()));
        });
    }

    void post(std::string const& from, std::string const& to, protocol::raft_message const& message)
    {
        ++this->messages;
        if (this->cuts.contains({from, to}) || this->random() % 100 < this->loss_percent)
            return;
        auto const copies = this->random() % 100 < this->double_percent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            auto const delay = 1 + this->random() % this->longest_delay.count();
            this->network.emplace(this->now + std::chrono::milliseconds(delay),
                                  delivery {from, to, message});
        }
    }

    void step() override
    {
        while (!this->network.empty() && this->network.begin()->first <= this->now) {
            auto const item = std::move(this->network.begin()->second);
            this->network.erase(this->network.begin());
            this->deliver(item);
        }
        auto const time
            = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
        for (auto& [_, item] : this->members) {
            if (item.log && !item.frozen && time % 10ms == 0ms)
                item.log->tick(this->now);
        }
        this->check();
    }

    void deliver(delivery const& item)
    {
        auto const found = this->members.find(item.to);
        if (found == this->members.end() || !found->second.log)
            return;
        if (found->second.frozen)
            found->second.held.emplace_back(item.from, item.message);
        else
            found->second.log->receive(item.from, item.message, this->now);
    }

    void check()
    {
        std::size_t trusted = 0;
        for (auto& [name, item] : this->members) {
            if (!item.log || !item.log->leading())
                continue;
            auto const [known, _]
                = this->leaders.try_emplace(item.log->term(), item.log->identity());
            // At most one leader per term.
            REQUIRE(known->second == item.log->identity());
            trusted += item.log->quorum_contact_recent(this->now) ? 1 : 0;
        }
        // A deposed leader may not grant leases beside its successor.
        REQUIRE(trusted <= 1);
    }

    std::mt19937_64 random;
    std::multimap<base::steady_time, delivery> network;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, std::string> proposals;
    std::map<std::uint64_t, std::string> committed;
    std::map<std::uint64_t, protocol::member_id> leaders;
};

} // namespace greengagehead::consensus
