// Order in which connections are closed, and their time limits.

#include "policy/connection_budget.h"

#include <algorithm>
#include <utility>

namespace greengagehead::policy {

namespace {

using std::chrono::milliseconds;

/// After the budget was exceeded, connections are closed until this part of it is free, so that the
/// next bytes do not need another search.
constexpr std::size_t free_part = 8;
/// A refusal that the client does not read is given up after this time.
constexpr milliseconds refusal_timeout {1'000};
/// A client inside the limits sends its request right after it has connected, so a connection that
/// waited less than this is not closed to make room for another one.
constexpr milliseconds min_wait {100};

constexpr std::array<std::string_view, close_reason_count> reason_names {
    "budget",          "connection_bytes", "connections",    "address_connections",
    "request_timeout", "answer_timeout",   "idle_timeout",   "handshake_timeout",
    "handshake_bytes", "body_bytes",       "no_descriptors",
};

struct stage_limit {
    milliseconds connection_limits::*timeout;
    close_reason reason;
};

std::optional<stage_limit> limit_of(connection_stage stage)
{
    switch (stage) {
    case connection_stage::idle:
        return stage_limit {&connection_limits::idle_timeout, close_reason::idle_timeout};
    case connection_stage::reading:
        return stage_limit {&connection_limits::request_timeout, close_reason::request_timeout};
    case connection_stage::writing:
        return stage_limit {&connection_limits::answer_timeout, close_reason::answer_timeout};
    case connection_stage::handshake:
        return stage_limit {&connection_limits::handshake_timeout, close_reason::handshake_timeout};
    case connection_stage::answering:
    case connection_stage::refused:
    case connection_stage::established:
        break;
    }
    return std::nullopt;
}

/// Whether the connection waits for its client, so that closing it stops no work.
bool waits_for_client(connection_stage stage)
{
    return stage != connection_stage::answering && stage != connection_stage::established;
}

} // namespace

std::string_view to_string(close_reason reason)
{
    return reason_names.at(static_cast<std::size_t>(reason));
}

connection_verdict connection_budget::open(connection_id id, std::string const& address,
                                           connection_stage stage, base::steady_time now)
{
    connection_verdict verdict;
    if (this->reaches(most_open_connections(this->limits.connections))) {
        verdict.refused = close_reason::connections;
        return verdict;
    }
    auto const from_address = this->by_address.find(address);
    bool const address_full = this->limits.address_connections > 0
        && from_address != this->by_address.end()
        && from_address->second >= this->limits.address_connections;
    if (address_full || this->reaches(this->limits.connections)) {
        auto const reason
            = address_full ? close_reason::address_connections : close_reason::connections;
        auto const victim = this->longest_waiting(address_full ? &address : nullptr, now);
        if (!victim) {
            verdict.refused = reason;
            return verdict;
        }
        verdict.victim = closed_connection {*victim, reason};
        this->mark_closing(this->connections.at(*victim));
    }
    ++this->by_address[address];
    this->connections[id] = {address, stage, now, now, 0, false};
    return verdict;
}

void connection_budget::enter(connection_id id, connection_stage stage, base::steady_time now)
{
    auto const found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    found->second.stage = stage;
    found->second.stage_begin = now;
}

std::vector<closed_connection> connection_budget::hold(connection_id id, std::size_t bytes,
                                                       base::steady_time now)
{
    std::vector<closed_connection> closed;
    auto const found = this->connections.find(id);
    if (found == this->connections.end() || found->second.closing)
        return closed;
    this->set_bytes(found->second, bytes, now);
    if (this->limits.connection_bytes > 0 && bytes > this->limits.connection_bytes) {
        this->mark_closing(found->second);
        closed.push_back({id, close_reason::connection_bytes});
    }
    auto const budget = this->limits.budget_bytes;
    if (budget == 0 || this->total_bytes <= budget)
        return closed;
    while (this->total_bytes > budget - budget / free_part) {
        auto const victim = this->largest_holder(now);
        if (!victim)
            break;
        this->mark_closing(this->connections.at(*victim));
        closed.push_back({*victim, close_reason::budget});
    }
    return closed;
}

void connection_budget::close(connection_id id)
{
    auto const found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    if (!found->second.closing)
        this->total_bytes -= found->second.bytes;
    auto const count = this->by_address.find(found->second.address);
    if (--count->second == 0)
        this->by_address.erase(count);
    this->connections.erase(found);
}

std::vector<closed_connection> connection_budget::overdue(base::steady_time now)
{
    std::vector<closed_connection> closed;
    for (auto& [id, item] : this->connections) {
        if (item.closing)
            continue;
        auto const waited = now - item.stage_begin;
        if (item.stage == connection_stage::refused && waited > refusal_timeout) {
            this->mark_closing(item);
            closed.push_back({id, close_reason::body_bytes});
            continue;
        }
        auto const limit = limit_of(item.stage);
        if (!limit || waited <= this->limits.*(limit->timeout))
            continue;
        this->mark_closing(item);
        closed.push_back({id, limit->reason});
    }
    return closed;
}

std::optional<connection_id> connection_budget::longest_waiting(std::string const* address,
                                                                base::steady_time now) const
{
    std::optional<connection_id> longest;
    auto earliest = now - min_wait;
    for (auto const& [id, item] : this->connections) {
        bool const candidate = !item.closing && waits_for_client(item.stage)
            && (address == nullptr || item.address == *address);
        if (!candidate || item.stage_begin > earliest)
            continue;
        earliest = item.stage_begin;
        longest = id;
    }
    return longest;
}

std::optional<connection_id> connection_budget::largest_holder(base::steady_time now) const
{
    std::optional<connection_id> largest;
    double highest = 0;
    for (auto const& [id, item] : this->connections) {
        if (item.closing || item.bytes == 0)
            continue;
        // At least one millisecond, so that the size decides among connections of one instant.
        auto const held_for = std::max(
            std::chrono::duration<double, std::milli>(now - item.held_since).count(), 1.0);
        auto const weight = static_cast<double>(item.bytes) * held_for;
        if (weight <= highest)
            continue;
        highest = weight;
        largest = id;
    }
    return largest;
}

void connection_budget::mark_closing(connection& target)
{
    target.closing = true;
    this->total_bytes -= target.bytes;
}

void connection_budget::set_bytes(connection& target, std::size_t bytes, base::steady_time now)
{
    if (target.bytes == 0)
        target.held_since = now;
    this->total_bytes += bytes;
    this->total_bytes -= target.bytes;
    target.bytes = bytes;
}

} // namespace greengagehead::policy
