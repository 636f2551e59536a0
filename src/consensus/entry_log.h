// Log entries in memory, from the last snapshot on, with the membership at every index.

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
    /// `base` is the last entry that is not in memory; `members` is the membership there.
    entry_log(log_position base, protocol::membership members);

    [[nodiscard]] log_position base() const { return this->before_first; }
    [[nodiscard]] log_position last() const;
    [[nodiscard]] bool empty() const { return this->last().index == 0; }
    /// Empty for an index before the base or after the last entry.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    /// `index` must be in memory.
    [[nodiscard]] protocol::log_entry const& at(std::uint64_t index) const;
    /// First index in memory that has the term of the entry at `index`.
    [[nodiscard]] std::uint64_t first_of_term(std::uint64_t index) const;
    /// Entries after `index` up to the last one.
    [[nodiscard]] std::vector<protocol::log_entry> after(std::uint64_t index) const;

    /// The entry must follow the last one. Its membership counts from now on, committed or not.
    void append(protocol::log_entry entry);
    /// Removes the entry at `index` and all later ones.
    void erase_from(std::uint64_t index);
    /// Drops entries up to `index` that are part of a snapshot.
    void compact(std::uint64_t index);
    /// Replaces the log by a snapshot. Later entries are kept only when they continue it.
    void restore(log_position snapshot, protocol::membership members);
    /// Membership of a group that has no log yet.
    void set_initial_members(protocol::membership members);

    /// Latest membership.
    [[nodiscard]] protocol::membership const& members() const
    {
        return this->history.back().second;
    }
    /// Index of the entry that holds the latest membership.
    [[nodiscard]] std::uint64_t members_index() const { return this->history.back().first; }
    [[nodiscard]] protocol::membership const& members_at(std::uint64_t index) const;
    /// Bytes of command data in memory after `index`.
    [[nodiscard]] std::uint64_t bytes() const { return this->data_bytes; }

private:
    log_position before_first;
    std::deque<protocol::log_entry> entries;
    /// Memberships with the index from which each counts, ascending; never empty. The first one
    /// counts at the base.
    std::vector<std::pair<std::uint64_t, protocol::membership>> history;
    std::uint64_t data_bytes = 0;
};

} // namespace greengagehead::consensus
