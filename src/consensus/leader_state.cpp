// Replication to followers, snapshot transfer and quorum calculations.

#include "consensus/leader_state.h"

#include <algorithm>

#include "consensus/encoding.h"
#include "consensus/quorum.h"

namespace greengagehead::consensus {

namespace {

/// Bounds the time that a follower spends in one sync.
constexpr std::size_t max_entries_per_request = 512;
constexpr std::size_t max_bytes_per_request = 256 * 1024;
/// Unanswered entries per follower; bounds what is sent again after a message is lost.
constexpr std::uint64_t max_entries_in_flight = 2048;
constexpr std::size_t snapshot_chunk_bytes = 64 * 1024;

/// Highest value that at least `quorum` of the voters have reached.
template <typename T> T quorum_value(std::vector<T> values, std::size_t quorum)
{
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[quorum - 1];
}

// A request carries the time at which it was sent, and the reply returns it.

std::uint64_t to_sent_at(base::steady_time now)
{
    return static_cast<std::uint64_t>(base::to_reading(now).count());
}

base::steady_time from_sent_at(std::uint64_t sent_at)
{
    return base::from_reading(base::clock_reading(static_cast<std::int64_t>(sent_at)));
}

} // namespace

leader_state::leader_state(entry_log const& log, protocol::member_id self, base::steady_time now,
                           std::function<std::string()> const& load_snapshot)
    : log(log), self(self), election_time(now), load_snapshot(load_snapshot)
{
    this->update_members();
}

void leader_state::update_members()
{
    auto const& members = this->log.members();
    std::erase_if(this->followers, [&members](auto const& follower) {
        return find_member(members, follower.first) == nullptr;
    });
    for (auto const& member : members.members) {
        if (member.id == this->self || this->followers.contains(member.id))
            continue;
        this->followers[member.id].next = this->log.last().index + 1;
    }
}

void leader_state::replicate(base::steady_time now, std::chrono::milliseconds heartbeat,
                             std::uint64_t commit_index,
                             std::vector<protocol::raft_message>& outbox)
{
    for (auto& [id, progress] : this->followers) {
        bool const due = progress.last_send == base::steady_time::min()
            || now - progress.last_send >= heartbeat;
        bool const needs_snapshot
            = progress.snapshot != nullptr || progress.next <= this->log.base().index;
        if (!needs_snapshot) {
            this->send_entries(id, progress, now, due, commit_index, outbox);
        } else if ((due || !progress.chunk_pending) && this->begin_snapshot(progress)) {
            this->send_chunk(id, progress, now, outbox);
        }
    }
}

void leader_state::send_entries(protocol::member_id to, follower_progress& progress,
                                base::steady_time now, bool heartbeat_due,
                                std::uint64_t commit_index,
                                std::vector<protocol::raft_message>& outbox)
{
    auto const last = this->log.last().index;
    while (true) {
        bool const may_send
            = progress.next <= last && progress.next <= progress.match + max_entries_in_flight;
        if (!may_send && !heartbeat_due)
            return;
        protocol::append_request request;
        request.previous_index = progress.next - 1;
        request.previous_term = this->log.term_at(request.previous_index).value_or(0);
        request.commit_index = commit_index;
        request.sent_at = to_sent_at(now);
        std::size_t bytes = 0;
        while (may_send && progress.next <= last && bytes < max_bytes_per_request
               && request.entries.size() < max_entries_per_request) {
            request.entries.push_back(this->log.at(progress.next));
            bytes += request.entries.back().data.size();
            ++progress.next;
        }
        progress.record_send(now);
        heartbeat_due = false;
        outbox.push_back({this->self, to, 0, std::move(request)});
    }
}

bool leader_state::begin_snapshot(follower_progress& progress)
{
    if (progress.snapshot)
        return true;
    auto content = this->load_snapshot ? this->load_snapshot() : std::string();
    auto const decoded = decode_snapshot(content);
    if (!decoded)
        return false;
    progress.snapshot_position = decoded.value().last;
    progress.snapshot_offset = 0;
    progress.snapshot = std::make_shared<std::string const>(std::move(content));
    return true;
}

void leader_state::send_chunk(protocol::member_id to, follower_progress& progress,
                              base::steady_time now, std::vector<protocol::raft_message>& outbox)
{
    auto const& content = *progress.snapshot;
    protocol::snapshot_chunk chunk;
    chunk.last_index = progress.snapshot_position.index;
    chunk.last_term = progress.snapshot_position.term;
    chunk.offset = std::min<std::uint64_t>(progress.snapshot_offset, content.size());
    chunk.data = content.substr(chunk.offset, snapshot_chunk_bytes);
    chunk.done = chunk.offset + chunk.data.size() == content.size();
    chunk.sent_at = to_sent_at(now);
    progress.record_send(now);
    progress.chunk_pending = true;
    outbox.push_back({this->self, to, 0, std::move(chunk)});
}

follower_progress* leader_state::record_reply(protocol::member_id from, std::uint64_t sent_at,
                                              base::steady_time now)
{
    auto const found = this->followers.find(from);
    if (found == this->followers.end())
        return nullptr;
    auto const sent = from_sent_at(sent_at);
    if (sent <= now)
        found->second.last_contact = std::max(found->second.last_contact, sent);
    return &found->second;
}

void leader_state::handle(protocol::member_id from, protocol::append_reply const& reply,
                          base::steady_time now)
{
    auto* progress = this->record_reply(from, reply.sent_at, now);
    if (progress == nullptr || reply.match_index > this->log.last().index)
        return;
    if (!reply.success) {
        // A rejection below the synced index is outdated.
        if (reply.match_index >= progress->match)
            progress->next = std::min(progress->next, reply.match_index + 1);
        return;
    }
    progress->match = std::max(progress->match, reply.match_index);
    progress->next = std::max(progress->next, progress->match + 1);
    if (progress->snapshot && progress->match >= progress->snapshot_position.index)
        progress->snapshot = nullptr;
}

void leader_state::handle(protocol::member_id from, protocol::snapshot_reply const& reply,
                          base::steady_time now)
{
    auto* progress = this->record_reply(from, reply.sent_at, now);
    if (progress == nullptr || !progress->snapshot
        || reply.last_index != progress->snapshot_position.index)
        return;
    progress->snapshot_offset = reply.next_offset;
    progress->chunk_pending = false;
}

std::uint64_t leader_state::quorum_match(std::uint64_t local_match) const
{
    std::vector<std::uint64_t> values;
    for (auto const& member : this->log.members().members) {
        if (member.voter)
            values.push_back(member.id == this->self ? local_match
                                                     : this->followers.at(member.id).match);
    }
    return values.empty() ? 0 : quorum_value(values, quorum_size(this->log.members()));
}

base::steady_time leader_state::quorum_contact(base::steady_time now) const
{
    std::vector<base::steady_time> values;
    for (auto const& member : this->log.members().members) {
        if (member.voter)
            values.push_back(member.id == this->self ? now
                                                     : this->followers.at(member.id).last_contact);
    }
    return values.empty() ? base::steady_time::min()
                          : quorum_value(values, quorum_size(this->log.members()));
}

follower_progress const* leader_state::find(protocol::member_id id) const
{
    auto const found = this->followers.find(id);
    return found == this->followers.end() ? nullptr : &found->second;
}

} // namespace greengagehead::consensus
