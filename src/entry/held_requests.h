// Requests of callers that wait while this entry recovers its configuration or its endpoints. Each
// is continued, refused or dropped, exactly once.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"
#include "policy/recovery_hold.h"

namespace greengagehead::entry {

struct entry_counters;

/// Why a held request is not continued.
enum class hold_end : std::uint8_t { expired, caller_left, shutting_down };

struct held_request {
    policy::hold_request needs;
    /// Whether the caller no longer waits.
    std::function<bool()> has_left;
    /// Continues the request if the state that it lacks is back; otherwise returns false and has no
    /// effect. Not called again after it has returned true.
    std::function<bool(base::steady_time)> try_resume;
    /// Ends the request. After `expired` it may still be served if it needs not wait.
    std::function<void(hold_end, base::steady_time)> end;
};

/// Owned by the entry; not thread-safe. Callbacks may hold further requests.
class held_requests {
public:
    held_requests(policy::recovery_hold_limits limits, entry_counters& counters);

    /// The entry has started.
    void set_started(base::steady_time now);
    /// Whether requests that lack state may be held now.
    [[nodiscard]] bool recovering(base::steady_time now) const;
    /// Holds the request, or leaves it unchanged and returns false.
    bool hold(held_request& request, base::steady_time now);
    /// Continues those whose state is back, in the order of their deadlines, and ends those whose
    /// time is up or whose callers have left.
    /// @param complete as in `policy::recovery_hold::record_state`.
    void tick(bool complete, base::steady_time now);
    /// Ends all requests, and holds none from now on.
    void close(base::steady_time now);

    [[nodiscard]] bool empty() const { return this->items.empty(); }
    [[nodiscard]] std::size_t size() const { return this->items.size(); }
    [[nodiscard]] std::size_t bytes() const { return this->bytes_held; }

private:
    struct item {
        held_request request;
        base::steady_time until;
    };
    /// Deadline, and a number that keeps the order of arrival among equal deadlines.
    using key = std::pair<base::steady_time, std::uint64_t>;
    using item_map = std::map<key, item>;

    /// Continues or ends the request if it is time. Returns whether it was continued or ended.
    bool proceed(item& waiting, bool may_resume, base::steady_time now);
    item_map::node_type take(item_map::iterator position);
    void put_back(item_map::node_type node);
    void log(base::steady_time now);

    policy::recovery_hold_limits limits;
    policy::recovery_hold policy;
    entry_counters& counters;
    item_map items;
    std::size_t bytes_held = 0; ///< Sum over `items`.
    std::uint64_t last_number = 0;
    bool closed = false;
    base::steady_time next_log;
    std::uint64_t logged_holds = 0; ///< Counter values when they were logged last.
    std::uint64_t logged_ends = 0;
    std::uint64_t logged_overflows = 0;
};

} // namespace greengagehead::entry
