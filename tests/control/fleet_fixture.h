// Fixture with one control member: a fake log with controllable commits, a recording sender and a
// virtual clock.

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

/// Commits proposals immediately unless `hold_commits` is set. `entries` is public, so that a
/// second member can replay it.
class fake_log : public consensus::replicated_log {
public:
    base::result<consensus::log_position> propose(std::string data) override
    {
        if (!this->leads)
            return base::error {base::error_code::unavailable, base::error_step::replicate, {}, {}};
        this->entries.push_back({this->entries.size() + 1, this->current_term,
                                 protocol::log_entry_kind::command, std::move(data)});
        consensus::log_position const position {this->entries.size(), this->current_term};
        if (!this->hold_commits)
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
    bool quorum_contact_recent(base::steady_time /*now*/) const override
    {
        return this->quorum_contact;
    }
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
    void set_leading(bool is_leading)
    {
        this->leads = is_leading;
        this->current_term += is_leading ? 1 : 0;
        this->leadership_changed.emit(is_leading, this->now);
    }

    std::vector<protocol::log_entry> entries;
    std::uint64_t applied = 0;
    std::uint64_t current_term = 0;
    bool leads = false;
    bool quorum_contact = true;
    bool hold_commits = false;
    base::steady_time now;
};

class recording_sender : public protocol::message_sender {
public:
    void send(std::string const& peer, protocol::message const& body) override
    {
        this->sent.emplace_back(peer, body);
    }
    /// Removes and returns the recorded messages of type `T` to `peer`.
    template <typename T> std::vector<T> take(std::string const& peer)
    {
        std::vector<T> taken;
        std::erase_if(this->sent, [&](auto const& message) {
            auto const* body = std::get_if<T>(&message.second);
            if (message.first != peer || body == nullptr)
                return false;
            taken.push_back(*body);
            return true;
        });
        return taken;
    }

    std::vector<std::pair<std::string, protocol::message>> sent;
};

/// State of an entry whose renewals the test sends.
struct fake_entry {
    protocol::process_id id;
    protocol::view_number applied = 0;
    protocol::view_number settled = 0;
    std::uint64_t seen_takeover = 0;
    std::chrono::microseconds clock_offset {0};
    bool disconnected = false;
};

/// One control member and the entries that a test passes in.
struct fleet {
    static constexpr auto start_time = base::steady_time(std::chrono::hours(1));

    fake_log log;
    recording_sender sender;
    control::control_core core {{"control.a"}, this->sender, this->log};
    base::steady_time now = start_time;
    std::uint64_t next_request = 1;

    fleet()
    {
        this->log.now = this->now;
        this->core.tick(this->now, this->wall());
        this->log.set_leading(true);
    }

    [[nodiscard]] protocol::wall_time wall() const
    {
        return std::chrono::hours(1000)
            + std::chrono::duration_cast<protocol::wall_time>(this->now - start_time);
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
    /// Advances the clock by `time`. Entries that are not disconnected renew every 100 ms, apply
    /// and settle the views that they receive, and acknowledge takeover notices.
    void advance(std::chrono::milliseconds time, std::vector<fake_entry*> const& entries = {})
    {
        for (auto const end = this->now + time; this->now < end;) {
            this->now += 10ms;
            this->log.now = this->now;
            this->core.tick(this->now, this->wall());
            if ((this->now - start_time) % 100ms == 0ms)
                for (auto* entry : entries)
                    if (!entry->disconnected)
                        this->renew_and_apply(*entry);
        }
    }
    void renew_and_apply(fake_entry& entry)
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
    /// Result of the reply to `id`; empty when it has not been sent or has another type. Removes
    /// all recorded replies to the entry.
    template <typename T> std::optional<T> reply(fake_entry const& entry, std::uint64_t id)
    {
        std::optional<T> found;
        for (auto const& reply : this->sender.take<protocol::control_reply>(entry.id.name))
            if (reply.request_id == id && std::holds_alternative<T>(reply.result))
                found = std::get<T>(reply.result);
        return found;
    }
    template <typename T>
    std::optional<T> request_reply(fake_entry const& entry, protocol::control_request_body body)
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
