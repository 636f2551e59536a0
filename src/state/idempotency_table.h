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

struct remembered_change {
    std::string key;
    std::string content; ///< What the change asked for.
    protocol::change_result result;
};

class change_memory {
public:
    /// Changes kept. At 510 changes a day this covers about two days.
    static constexpr std::size_t limit = 1024;

    /// First result of the change with this key; an `invalid` result when the key was used for
    /// other content, or is too long. Empty for a new or empty key.
    [[nodiscard]] std::optional<protocol::change_result> find(std::string const& key,
                                                              std::string const& content) const;
    /// Drops the oldest change beyond the limit. An empty key is not remembered.
    void remember(std::string const& key, std::string const& content,
                  protocol::change_result const& result);

    /// Oldest first.
    [[nodiscard]] std::vector<remembered_change> image() const;
    void restore(std::vector<remembered_change> const& image);

private:
    /// Invariant: `changes` and `order` hold the same keys.
    std::map<std::string, remembered_change> changes;
    std::deque<std::string> order;
};

} // namespace greengagehead::state
