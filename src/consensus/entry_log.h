// Log entries in memory that follow the last snapshot, and the membership in force at each index.

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/replicated_log.h"
#include "protocol/raft_message.h"

namespace greengagehead::consensus {

class entry_log {
public:
    /// @param base last entry that is not in memory. @param members the membership at `base`.
    entry_log(log_position base, protocol::membership members);

    [[nodiscard]] log_position base() const { return this->base_position; }
    [[nodiscard]] log_position last() const;
    [[nodiscard]] bool empty() const { return this->last().index == 0; }
    /// Empty for an index before the base or after the last entry.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    /// `index` must be in memory.
    [[nodiscard]] protocol::log_entry const& at(std::uint64_t index) const;
    /// First index in memory whose entry has the same term as the entry at `index`.
    [[nodiscard]] std::uint64_t first_index_of_term(std::uint64_t index) const;
    /// Entries after `index` up to the last one.
    [[nodiscard]] std::vector<protocol::log_entry> entries_after(std::uint64_t index) const;

    /// The entry must follow the last one. A membership entry takes effect at once, committed or
    /// not.
    void append(protocol::log_entry entry);
    /// Removes the entry at `index` and all later ones.
    void erase_from(std::uint64_t index);
    /// Removes the entries up to `index`, which a snapshot contains.
    void compact(std::uint64_t index);
    /// Replaces the log by a snapshot. Later entries remain only when the log contains the last
    /// entry of the snapshot.
    void restore(log_position snapshot, protocol::membership members);
    /// Sets the membership of a group that has no log yet.
    void set_initial_members(protocol::membership members);

    /// Latest membership.
    [[nodiscard]] protocol::membership const& members() const
    {
        return this->memberships.back().second;
    }
    /// Index of the entry that holds the latest membership.
    [[nodiscard]] std::uint64_t members_index() const { return this->memberships.back().first; }
    [[nodiscard]] protocol::membership const& members_at(std::uint64_t index) const;
    /// Size of the data of all entries in memory, in bytes.
    [[nodiscard]] std::uint64_t bytes() const { return this->data_bytes; }

private:
    log_position base_position;
    std::deque<protocol::log_entry> entries;
    /// Memberships with the index from which each is in force. Invariant: ascending and never
    /// empty; the first one is in force at the base.
    std::vector<std::pair<std::uint64_t, protocol::membership>> memberships;
    std::uint64_t data_bytes = 0;
};

} // namespace greengagehead::consensus
