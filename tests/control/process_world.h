// Control members and entries as separate processes over a seeded network with a virtual clock. Two
// processes exchange messages only while one of them has the other's address, so that a test sees
// what a process can find out by itself.

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

class process_world : public virtual_time {
public:
    struct process : protocol::message_sender {
        process_world* world = nullptr;
        std::string name;
        /// Peers whose address this process has.
        std::set<std::string> dialled;
        /// Peers with which it has a link now.
        std::set<std::string> linked;
        std::uint64_t life = 0;
        bool frozen = false;

        void send(std::string const& peer, protocol::message const& body) override
        {
            this->world->post(*this, peer, body);
        }
    };
    struct control_process : process {
        storage::faulty_file_system files;
        std::unique_ptr<consensus::durable_log> log;
        std::unique_ptr<control::control_core> core;
        bool started_before = false;
    };
    struct entry_process : process {
        std::unique_ptr<entry::entry_core> core;
    };

    /// @param configured the control members that every settings file names.
    process_world(std::uint64_t seed, std::vector<std::string> configured)
        : random(seed), seeds(std::move(configured))
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
        for (auto const& member : this->seeds)
            settings.initial.push_back({member, member + ":1"});
        settings.may_found = !std::exchange(target.started_before, true);
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
        settings.controls = this->seeds;
        target.core = std::make_unique<entry::entry_core>(settings, target, this->now);
        target.core->control_group_changed.connect(
            [&target](auto const& group) { dial(target, group); });
    }

    /// Ends a process without a warning; what it had not synced is lost.
    void kill(std::string const& name)
    {
        if (auto const found = this->controls.find(name); found != this->controls.end()) {
            found->second.core.reset();
            found->second.log.reset();
            found->second.files.crash(this->random);
        } else
            this->entries.at(name).core.reset();
        this->unlink(name);
    }

    void kill_all()
    {
        for (auto& [name, item] : this->controls) {
            if (item.log)
                this->kill(name);
        }
        for (auto& [name, _] : this->entries)
            this->kill(name);
    }

    void wipe(std::string const& name) { this->controls.at(name).files.wipe(); }

    void start_all()
    {
        for (auto& [name, _] : this->controls)
            this->start_control(name);
        for (auto& [name, _] : this->entries)
            this->start_entry(name);
    }

    void freeze(std::string const& name) { this->controls.at(name).frozen = true; }
    void thaw(std::string const& name) { this->controls.at(name).frozen = false; }

    /// Peer name of the member that may grant leases; empty for none.
    std::string leader() const
    {
        for (auto const& [name, item] : this->controls) {
            if (item.log && !item.frozen && item.log->quorum_contact_recent(this->now))
                return name;
        }
        return {};
    }

    std::size_t voters() const
    {
        auto const list = this->controls.at(this->leader()).log->members();
        return static_cast<std::size_t>(
            std::count_if(list.begin(), list.end(), [](auto const& item) { return item.voter; }));
    }

    bool all_leased() const
    {
        return std::all_of(this->entries.begin(), this->entries.end(), [this](auto const& item) {
            return item.second.core && item.second.core->status(this->now).lease_valid;
        });
    }

    /// Stores a document through an entry. True when it was acknowledged.
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

    /// Version of the document by which the entry acts.
    std::uint64_t version_at(std::string const& entry) const
    {
        return this->entries.at(entry).core->applied_view().routing.version;
    }

    std::map<std::string, control_process> controls;
    std::map<std::string, entry_process> entries;

private:
    struct delivery {
        std::string from;
        std::uint64_t from_life;
        std::string to;
        protocol::message body;
    };

    void reset(process& target, std::string const& name)
    {
        target.world = this;
        target.name = name;
        target.frozen = false;
        ++target.life;
        target.dialled.clear();
        for (auto const& member : this->seeds) {
            if (member != name)
                target.dialled.insert(member);
        }
    }

    static void dial(process& from, protocol::control_group const& group)
    {
        for (auto const& member : group.members)
            from.dialled.insert(member.name);
        if (!group.leader.name.empty())
            from.dialled.insert(group.leader.name);
    }

    void unlink(std::string const& name)
    {
        for (auto& [_, item] : this->controls) {
            item.linked.erase(name);
            if (item.name == name)
                item.linked.clear();
        }
        for (auto& [_, item] : this->entries) {
            if (item.linked.erase(name) > 0 && item.core)
                item.core->peer_down(name, this->now);
            if (item.name == name)
                item.linked.clear();
        }
    }

    /// Sets up the links that one of two running processes can dial.
    void connect_links()
    {
        std::vector<process*> running;
        for (auto& [_, item] : this->controls) {
            if (item.log)
                running.push_back(&item);
        }
        for (auto& [_, item] : this->entries) {
            if (item.core)
                running.push_back(&item);
        }
        for (auto* from : running) {
            for (auto* to : running) {
                if (from != to && from->dialled.contains(to->name))
                    this->connect(*from, *to);
            }
        }
    }

    void connect(process& from, process& to)
    {
        for (auto const& [self, peer] : {std::pair {&from, &to}, std::pair {&to, &from}}) {
            auto const found = this->entries.find(self->name);
            if (self->linked.insert(peer->name).second && found != this->entries.end())
                found->second.core->peer_up(peer->name, this->now);
        }
    }

    void post(process const& from, std::string const& to, protocol::message const& body)
    {
        if (!from.linked.contains(to))
            return;
        auto const delay = std::chrono::milliseconds(1 + this->random() % 2);
        this->network.emplace(this->now + delay, delivery {from.name, from.life, to, body});
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
        if (time % 10ms == 0ms)
            this->tick();
    }

    void tick()
    {
        auto const wall
            = 1000h + std::chrono::duration_cast<protocol::wall_time>(this->now.time_since_epoch());
        for (auto& [_, item] : this->controls) {
            if (!item.log || item.frozen)
                continue;
            item.log->tick(this->now);
            item.core->tick(this->now, wall);
            item.log->flush(this->now);
            dial(item, item.log->group());
        }
        for (auto& [_, item] : this->entries) {
            if (item.core)
                item.core->tick(this->now);
        }
        this->connect_links();
    }

    void deliver(delivery const& item)
    {
        if (auto const found = this->entries.find(item.to); found != this->entries.end()) {
            if (found->second.core && found->second.linked.contains(item.from))
                found->second.core->receive(item.from, item.body, this->now);
            return;
        }
        auto const found = this->controls.find(item.to);
        if (found == this->controls.end() || !found->second.log || found->second.frozen
            || !found->second.linked.contains(item.from))
            return;
        auto& target = found->second;
        if (auto const* message = std::get_if<protocol::raft_message>(&item.body))
            target.log->receive(item.from, *message, this->now);
        else
            target.core->receive(item.from, item.body, this->now);
        target.log->flush(this->now);
    }

    std::mt19937_64 random;
    std::vector<std::string> seeds;
    std::multimap<base::steady_time, delivery> network;
};

} // namespace greengagehead::test
