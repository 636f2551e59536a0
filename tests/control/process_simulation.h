// Simulation of control members and entries as separate processes, with a seeded network and a
// virtual clock. Two processes can only exchange messages when one of them knows the address of the
// other, so that a test covers how processes discover each other.

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "consensus/durable_log.h"
#include "control/control_core.h"
#include "entry/entry_core.h"
#include "storage/faulty_file_system.h"
#include "virtual_time.h"

namespace greengagehead::test {

using namespace std::chrono_literals;

class process_simulation : public virtual_time {
public:
    struct simulated_process : protocol::message_sender {
        process_simulation* simulation = nullptr;
        std::string name;
        /// Peers whose address this process knows.
        std::set<std::string> known_addresses;
        /// Peers to which this process has a link now.
        std::set<std::string> connected_peers;
        std::uint64_t incarnation = 0;
        bool frozen = false;

        void send(std::string const& peer, protocol::message const& body) override
        {
            this->simulation->enqueue(*this, peer, body);
        }
    };
    struct control_process : simulated_process {
        storage::faulty_file_system files;
        std::unique_ptr<consensus::durable_log> log;
        std::unique_ptr<control::control_core> core;
        bool started_before = false;
    };
    struct entry_process : simulated_process {
        std::unique_ptr<entry::entry_core> core;
    };

    /// @param configured names of the control members in every settings file.
    process_simulation(std::uint64_t seed, std::vector<std::string> configured)
        : random(seed), configured_members(std::move(configured))
    {
    }

    void start_control(std::string const& name)
    {
        auto& target = this->controls[name];
        this->reset(target, name);
        consensus::durable_log_settings settings;
        settings.name = name;
        settings.address = name + ":1";
        settings.folder = "data";
        for (auto const& member : this->configured_members)
            settings.initial.push_back({member, member + ":1"});
        settings.allow_bootstrap = !std::exchange(target.started_before, true);
        settings.seed = this->random() | 1;
        settings.membership = {1500ms, 7, 5};
        auto opened = consensus::durable_log::open(settings, target.files, target, this->now);
        REQUIRE(opened);
        target.log = std::move(opened.value());
        control::control_settings core;
        core.name = name;
        target.core = std::make_unique<control::control_core>(core, target, *target.log);
        target.log->start(this->now);
    }

    void start_entry(std::string const& name)
    {
        auto& target = this->entries[name];
        this->reset(target, name);
        entry::entry_settings settings;
        settings.id = {name, this->random() | 1};
        settings.zone = "recife";
        settings.http_address = name + ":2";
        settings.link_address = name + ":1";
        settings.controls = this->configured_members;
        settings.share_by_demand = this->share_by_demand;
        settings.fair_accounts = this->fair_accounts;
        target.core = std::make_unique<entry::entry_core>(settings, target, this->now);
        target.core->control_group_changed.connect(
            [&target](auto const& group) { learn_addresses(target, group); });
    }

    /// Crashes a process: data that it has not synced is lost.
    void kill(std::string const& name)
    {
        if (auto const found = this->controls.find(name); found != this->controls.end()) {
            found->second.core.reset();
            found->second.log.reset();
            found->second.files.crash(this->random);
        } else
            this->entries.at(name).core.reset();
        this->disconnect(name);
    }

    void kill_all()
    {
        for (auto& [name, process] : this->controls) {
            if (process.log)
                this->kill(name);
        }
        for (auto& [name, _] : this->entries)
            this->kill(name);
    }

    void wipe_disk(std::string const& name) { this->controls.at(name).files.wipe(); }

    void start_all()
    {
        for (auto& [name, _] : this->controls)
            this->start_control(name);
        for (auto& [name, _] : this->entries)
            this->start_entry(name);
    }

    void freeze(std::string const& name) { this->controls.at(name).frozen = true; }
    void thaw(std::string const& name) { this->controls.at(name).frozen = false; }

    /// Peer name of the member that may grant leases; empty when there is none.
    std::string leader() const
    {
        for (auto const& [name, process] : this->controls) {
            if (process.log && !process.frozen && process.log->quorum_contact_recent(this->now))
                return name;
        }
        return {};
    }

    std::size_t voters() const
    {
        auto const list = this->controls.at(this->leader()).log->members();
        return static_cast<std::size_t>(std::count_if(
            list.begin(), list.end(), [](auto const& member) { return member.voter; }));
    }

    bool all_leased() const
    {
        return std::all_of(this->entries.begin(), this->entries.end(), [this](auto const& process) {
            return process.second.core && process.second.core->status(this->now).lease_valid;
        });
    }

    /// Stores a document through an entry. True when it is acknowledged within 3.1 s.
    bool store(std::string const& entry, std::uint64_t version)
    {
        bool stored = false;
        this->entries.at(entry).core->control(
            protocol::command_body {
                protocol::put_document {{version, "v" + std::to_string(version)}}},
            3s,
            [&stored](protocol::control_result const& result) {
                stored = std::holds_alternative<protocol::document_result>(result);
            },
            this->now);
        this->run_until([&stored] { return stored; }, 3100ms);
        return stored;
    }

    /// Version of the document in the view that the entry has applied.
    std::uint64_t version_at(std::string const& entry) const
    {
        return this->entries.at(entry).core->applied_view().routing.version;
    }

    bool share_by_demand = false; ///< As in entry_settings.
    bool fair_accounts = false; ///< As in entry_settings.
    std::set<std::string> isolated; ///< All messages to and from these processes are lost.
    std::map<std::string, control_process> controls;
    std::map<std::string, entry_process> entries;

private:
    struct delivery {
        std::string from;
        std::uint64_t from_incarnation;
        std::string to;
        protocol::message body;
    };

    void reset(simulated_process& target, std::string const& name)
    {
        target.simulation = this;
        target.name = name;
        target.frozen = false;
        ++target.incarnation;
        target.known_addresses.clear();
        for (auto const& member : this->configured_members) {
            if (member != name)
                target.known_addresses.insert(member);
        }
    }

    static void learn_addresses(simulated_process& from, protocol::control_group const& group)
    {
        for (auto const& member : group.members)
            from.known_addresses.insert(member.name);
        if (!group.leader.name.empty())
            from.known_addresses.insert(group.leader.name);
    }

    void disconnect(std::string const& name)
    {
        for (auto& [_, process] : this->controls) {
            process.connected_peers.erase(name);
            if (process.name == name)
                process.connected_peers.clear();
        }
        for (auto& [_, process] : this->entries) {
            if (process.connected_peers.erase(name) > 0 && process.core)
                process.core->peer_down(name, this->now);
            if (process.name == name)
                process.connected_peers.clear();
        }
    }

    /// Connects each two running processes of which one knows the address of the other.
    void connect_known_peers()
    {
        std::vector<simulated_process*> running;
        for (auto& [_, process] : this->controls) {
            if (process.log)
                running.push_back(&process);
        }
        for (auto& [_, process] : this->entries) {
            if (process.core)
                running.push_back(&process);
        }
        for (auto* from : running) {
            for (auto* to : running) {
                if (from != to && from->known_addresses.contains(to->name))
                    this->connect(*from, *to);
            }
        }
    }

    void connect(simulated_process& from, simulated_process& to)
    {
        for (auto const& [self, peer] : {std::pair {&from, &to}, std::pair {&to, &from}}) {
            auto const found = this->entries.find(self->name);
            if (self->connected_peers.insert(peer->name).second && found != this->entries.end())
                found->second.core->peer_up(peer->name, this->now);
        }
    }

    void enqueue(simulated_process const& from, std::string const& to,
                 protocol::message const& body)
    {
        if (!from.connected_peers.contains(to) || this->isolated.contains(from.name)
            || this->isolated.contains(to))
            return;
        auto const delay = std::chrono::milliseconds(1 + this->random() % 2);
        this->network.emplace(this->now + delay, delivery {from.name, from.incarnation, to, body});
    }

protected:
    void step() override
    {
        while (!this->network.empty() && this->network.begin()->first <= this->now) {
            auto const incoming = std::move(this->network.begin()->second);
            this->network.erase(this->network.begin());
            this->deliver(incoming);
        }
        auto const time
            = std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
        if (time % 10ms == 0ms)
            this->tick();
    }

private:
    void tick()
    {
        auto const wall
            = 1000h + std::chrono::duration_cast<protocol::wall_time>(this->now.time_since_epoch());
        for (auto& [_, process] : this->controls) {
            if (!process.log || process.frozen)
                continue;
            process.log->tick(this->now);
            process.core->tick(this->now, wall);
            process.log->flush(this->now);
            learn_addresses(process, process.log->group());
        }
        for (auto& [_, process] : this->entries) {
            if (process.core)
                process.core->tick(this->now);
        }
        this->connect_known_peers();
    }

    void deliver(delivery const& incoming)
    {
        if (auto const found = this->entries.find(incoming.to); found != this->entries.end()) {
            if (found->second.core && found->second.connected_peers.contains(incoming.from))
                found->second.core->receive(incoming.from, incoming.body, this->now);
            return;
        }
        auto const found = this->controls.find(incoming.to);
        if (found == this->controls.end() || !found->second.log || found->second.frozen
            || !found->second.connected_peers.contains(incoming.from))
            return;
        auto& target = found->second;
        if (auto const* message = std::get_if<protocol::raft_message>(&incoming.body))
            target.log->receive(incoming.from, *message, this->now);
        else
            target.core->receive(incoming.from, incoming.body, this->now);
        target.log->flush(this->now);
    }

    std::mt19937_64 random;
    std::vector<std::string> configured_members;
    std::multimap<base::steady_time, delivery> network;
};

} // namespace greengagehead::test
