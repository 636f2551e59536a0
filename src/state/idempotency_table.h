// Results of recent changes by idempotency key, so that a resent change is not applied twice and
// gets its first result. A change resent late would otherwise undo one made in between.

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/command.h"

namespace greengagehead::state {

struct recorded_change {
    std::string key;
    std::string content; ///< Request in canonical form; tells whether a key was reused.
    protocol::change_result result;
};

class idempotency_table {
public:
    /// Maximum number of recorded changes. At 510 changes a day this covers about two days.
    static constexpr std::size_t limit = 1024;

    /// Recorded result of the change with this key. An `invalid` result when the key is too long
    /// or was used with other content; empty when the key is new or empty.
    [[nodiscard]] std::optional<protocol::change_result> find(std::string const& key,
                                                              std::string const& content) const;
    /// Records the result of a new key and drops the oldest change beyond the limit. An empty key
    /// is not recorded.
    void record_result(std::string const& key, std::string const& content,
                       protocol::change_result const& result);

    /// Oldest first.
    [[nodiscard]] std::vector<recorded_change> image() const;
    void restore(std::vector<recorded_change> const& image);

private:
    /// Invariant: `changes` and `order` hold the same keys.
    std::map<std::string, recorded_change> changes;
    std::deque<std::string> order;
};

} // namespace greengagehead::state
