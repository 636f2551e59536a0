// A control member with a log that commits on request, a sender that records, and a virtual clock.

#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "consensus/replicated_log.h"
#include "control/control_core.h"
#include "protocol/message_sender.h"

namespace greengagehead::test {

using namespace std::chrono_literals;

/// Commits proposals at once unless held back. Terms and entries are shared through `entries`, so
/// that a second member can replay them.
class fake_log : public consensus::replicated_log {
public:
    base::result<consensus::log_position> propose(std::string data) override
    {
        if (!this->leads)
            return base::error {base::error_code::unavailable, base::error_step::replicate, {}, {}};
        this->entries.push_back({this->entries.size() + 1, this->current_term,
                                 protocol::log_entry_kind::command, std::move(data)});
        consensus::log_position const position {this->entries.size(), this->current_term};
        if (!this->hold)
            this->commit_all();
        return position;
    }
    base::result<void> change_members(protocol::change_members const& /*change*/) override
    {
        return boost::outcome_v2::success();
    }
    bool leading() const override { return this->leads; }
    std::string leader() const override { return this->leads ? "control.a" : "control.b"; }
    std::uint64_t term() const override { return this->current_term; }
    std::uint64_t commit_index() const override { return this->applied; }
    bool quorum_contact_recent(base::steady_time /*now*/) const override { return this->contact; }
    std::vector<protocol::control_member> members() const override { return {}; }
    protocol::control_group group() const override
    {
        return {this->current_term, 1, {this->leader(), "10.0.0.2:1"}, {}};
    }

    void commit_all()
    {
        while (this->applied < this->entries.size()) {
            auto const entry = this->entries[this->applied++];
            this->committed.emit(entry, this->now);
        }
    }
    void lead(bool leading_now)
    {
        this->leads = leading_now;
        this->current_term += leading_now ? 1 : 0;
        this->leadership_changed.emit(leading_now, this->now);
    }

    std::vector<protocol::log_entry> entries;
    std::uint64_t applied = 0;
    std::uint64_t current_term = 0;
    bool leads = false;
    bool contact = true;
    bool hold = false;
    base::steady_time now;
};

class recorder : public protocol::message_sender {
public:
    void send(std::string const& peer, protocol::message const& body) override
    {
        this->sent.emplace_back(peer, body);
    }
    /// Messages of one type to `peer`, taken out of the record.
    template <typename T> std::vector<T> take(std::string const& peer)
    {
        std::vector<T> taken;
        std::erase_if(this->sent, [&](auto const& item) {
            auto const* body = std::get_if<T>(&item.second);
            if (item.first != peer || body == nullptr)
                return false;
            taken.push_back(*body);
            return true;
        });
        return taken;
    }

    std::vector<std::pair<std::string, protocol::message>> sent;
};

/// An entry that renews as told.
struct fake_entry {
    protocol::process_id id;
    protocol::view_number applied = 0;
    protocol::view_number settled = 0;
    std::uint64_t seen_takeover = 0;
    std::chrono::microseconds clock_offset {0};
    bool cut_off = false;
};

/// One control member and some entries. Entries apply and settle pushed views unless told not to.
struct fleet {
    static constexpr auto start = base::steady_time(std::chrono::hours(1));

    fake_log log;
    recorder sender;
    control::control_core core {{"control.a"}, this->sender, this->log};
    base::steady_time now = start;
    std::uint64_t next_request = 1;

    fleet()
    {
        this->log.now = this->now;
        this->core.tick(this->now, this->wall());
        this->log.lead(true);
    }

    [[nodiscard]] protocol::wall_time wall() const
    {
        return std::chrono::hours(1000)
            + std::chrono::duration_cast<protocol::wall_time>(this->now - start);
    }
    [[nodiscard]] protocol::renew_lease renewal(fake_entry const& entry) const
    {
        return {entry.id,
                "recife",
                "127.0.0.1:8410",
                base::to_reading(this->now) + entry.clock_offset,
                entry.applied,
                entry.settled,
                entry.seen_takeover,
                "127.0.0.1:7000"};
    }
    void renew(fake_entry const& entry)
    {
        this->core.receive(entry.id.name, this->renewal(entry), this->now);
    }
    /// Lets `time` pass; entries that are not cut off renew every 100 ms and apply what they get.
    void pass(std::chrono::milliseconds time, std::vector<fake_entry*> const& entries = {})
    {
        for (auto const end = this->now + time; this->now < end;) {
            this->now += 10ms;
            this->log.now = this->now;
            this->core.tick(this->now, this->wall());
            if ((this->now - start) % 100ms == 0ms)
                for (auto* entry : entries)
                    if (!entry->cut_off)
                        this->exchange(*entry);
        }
    }
    void exchange(fake_entry& entry)
    {
        this->renew(entry);
        for (auto const& update : this->sender.take<protocol::view_update>(entry.id.name)) {
            entry.applied = std::max(entry.applied, update.current.number);
            entry.settled = entry.applied;
        }
        for (auto const& notice : this->sender.take<protocol::takeover_notice>(entry.id.name))
            entry.seen_takeover = std::max(entry.seen_takeover, notice.sequence);
    }
    std::uint64_t request(fake_entry const& entry, protocol::control_request_body body,
                          std::uint64_t id = 0)
    {
        id = id != 0 ? id : this->next_request++;
        this->core.receive(entry.id.name, protocol::control_request {id, entry.id, std::move(body)},
                           this->now);
        return id;
    }
    /// Result of the reply to `id`, if it has been sent; takes all replies out of the record.
    template <typename T> std::optional<T> reply(fake_entry const& entry, std::uint64_t id)
    {
        std::optional<T> found;
        for (auto const& reply : this->sender.take<protocol::control_reply>(entry.id.name))
            if (reply.request_id == id && std::holds_alternative<T>(reply.result))
                found = std::get<T>(reply.result);
        return found;
    }
    template <typename T>
    std::optional<T> ask(fake_entry const& entry, protocol::control_request_body body)
    {
        return this->reply<T>(entry, this->request(entry, std::move(body)));
    }
};

inline std::string job_id(std::uint32_t number)
{
    auto const digits = std::to_string(number);
    return std::string(32 - digits.size(), '0') + digits;
}

inline protocol::job_claim claim_of(std::uint32_t number, protocol::process_id const& owner,
                                    std::string const& backup = {}, char digest = 'a')
{
    protocol::job_claim claim;
    claim.job = job_id(number);
    claim.digest = std::string(64, digest);
    claim.team = "hospital";
    claim.submission = "s" + std::to_string(number);
    claim.owner = owner;
    claim.backup = backup;
    claim.deadline = 30s;
    return claim;
}

} // namespace greengagehead::test
