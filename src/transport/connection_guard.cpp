// Closing orders to the listeners, counters and log lines of closed connections.

#include "transport/connection_guard.h"

#include <chrono>
#include <utility>

#include "base/log_record.h"

namespace greengagehead::transport {

namespace {

using policy::close_reason;
using policy::connection_id;

/// At most one line for each reason in this time, whatever clients send.
constexpr std::chrono::milliseconds log_interval {1'000};
/// Short against all timeouts of connections.
constexpr std::chrono::milliseconds sweep_interval {200};

} // namespace

connection_guard::connection_guard(policy::connection_limits limits) : budget(limits) { }

connection_guard::owner_id connection_guard::add_owner(std::function<void()> wake)
{
    std::lock_guard const lock(this->mutex);
    this->owners[++this->last_id] = std::move(wake);
    return this->last_id;
}

void connection_guard::remove_owner(owner_id owner)
{
    std::lock_guard const lock(this->mutex);
    this->owners.erase(owner);
    this->pending.erase(owner);
    for (auto item = this->owner_of.begin(); item != this->owner_of.end();) {
        if (item->second != owner) {
            ++item;
            continue;
        }
        this->budget.close(item->first);
        item = this->owner_of.erase(item);
    }
}

std::optional<connection_id> connection_guard::open(owner_id owner, std::string const& address,
                                                    policy::connection_stage stage)
{
    std::lock_guard const lock(this->mutex);
    auto const id = ++this->last_id;
    auto const verdict = this->budget.open(id, address, stage, base::steady_now());
    if (verdict.victim)
        this->order_close(*verdict.victim);
    if (verdict.refused) {
        this->record(*verdict.refused);
        return std::nullopt;
    }
    this->owner_of[id] = owner;
    return id;
}

void connection_guard::enter(connection_id connection, policy::connection_stage stage)
{
    std::lock_guard const lock(this->mutex);
    this->budget.enter(connection, stage, base::steady_now());
}

void connection_guard::hold(connection_id connection, std::size_t bytes)
{
    std::lock_guard const lock(this->mutex);
    for (auto const& closed : this->budget.hold(connection, bytes, base::steady_now()))
        this->order_close(closed);
}

void connection_guard::close(connection_id connection)
{
    std::lock_guard const lock(this->mutex);
    this->budget.close(connection);
    this->owner_of.erase(connection);
}

std::vector<connection_id> connection_guard::take_closed(owner_id owner)
{
    std::lock_guard const lock(this->mutex);
    return std::exchange(this->pending[owner], {});
}

void connection_guard::sweep()
{
    std::lock_guard const lock(this->mutex);
    auto const now = base::steady_now();
    if (now - this->last_sweep < sweep_interval)
        return;
    this->last_sweep = now;
    for (auto const& closed : this->budget.overdue(now))
        this->order_close(closed);
    if (now - this->last_log >= log_interval)
        this->log_closed(now);
}

void connection_guard::count(close_reason reason)
{
    std::lock_guard const lock(this->mutex);
    this->record(reason);
}

connection_counts connection_guard::counts() const
{
    std::lock_guard const lock(this->mutex);
    auto result = this->totals;
    result.open = this->budget.size();
    result.held_bytes = this->budget.held_bytes();
    return result;
}

std::size_t connection_guard::receive_buffer_bytes() const
{
    std::lock_guard const lock(this->mutex);
    return this->budget.receive_buffer_bytes();
}

void connection_guard::order_close(policy::closed_connection const& closed)
{
    // A refused body was counted when it was refused.
    if (closed.reason != close_reason::body_bytes)
        this->record(closed.reason);
    auto const owner = this->owner_of.at(closed.id);
    this->pending[owner].push_back(closed.id);
    this->owners.at(owner)();
}

void connection_guard::record(close_reason reason)
{
    ++this->totals.closed.at(static_cast<std::size_t>(reason));
}

void connection_guard::log_closed(base::steady_time now)
{
    for (std::size_t index = 0; index < policy::close_reason_count; ++index) {
        auto const count = this->totals.closed.at(index) - this->logged.at(index);
        if (count == 0)
            continue;
        this->last_log = now;
        this->logged.at(index) = this->totals.closed.at(index);
        base::log_record(base::log_event::connections_closed)
            .with("reason", to_string(static_cast<close_reason>(index)))
            .with("count", count)
            .with("open", this->budget.size())
            .with("held_bytes", this->budget.held_bytes());
    }
}

} // namespace greengagehead::transport
