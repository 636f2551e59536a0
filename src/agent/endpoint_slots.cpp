// Slot accounting and the queue of an endpoint.

#include "agent/endpoint_slots.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace greengagehead::agent {

namespace {

template <typename Attempts> std::uint32_t sum_slots(Attempts const& attempts)
{
    return std::accumulate(
        attempts.begin(), attempts.end(), std::uint32_t {0},
        [](std::uint32_t sum, attempt_slots const& attempt) { return sum + attempt.slots; });
}

} // namespace

endpoint_slots::endpoint_slots(announcement description, queue_limits endpoint_limits,
                               base::steady_time now)
    : announced(std::move(description)), limits(endpoint_limits), last_announced(now)
{
}

void endpoint_slots::refresh(announcement const& description, base::steady_time now)
{
    this->announced = description;
    this->last_announced = now;
}

bool endpoint_slots::offers(std::string const& kind) const
{
    auto const& kinds = this->announced.kinds;
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

std::uint32_t endpoint_slots::capacity() const
{
    auto const connections = this->announced.connections;
    return connections == 0 ? this->announced.slots : std::min(this->announced.slots, connections);
}

std::uint32_t endpoint_slots::used() const
{
    return sum_slots(this->running);
}

std::uint32_t endpoint_slots::queued() const
{
    return sum_slots(this->waiting);
}

bool endpoint_slots::can_admit(std::uint32_t slots, bool targeted) const
{
    if (slots > this->capacity())
        return false;
    bool const starts_now
        = this->waiting.empty() && this->used() + std::uint64_t {slots} <= this->capacity();
    auto const max_waiting = targeted ? this->limits.targeted : this->limits.untargeted;
    return starts_now || this->waiting.size() < max_waiting;
}

void endpoint_slots::enqueue(attempt_key const& key, std::uint32_t slots,
                             base::steady_time start_by)
{
    auto const later = std::upper_bound(this->waiting.begin(), this->waiting.end(), start_by,
                                        [](base::steady_time time, attempt_slots const& attempt) {
                                            return time < attempt.start_by;
                                        });
    this->waiting.insert(later, {key, slots, start_by});
}

std::optional<attempt_key> endpoint_slots::pop_startable()
{
    if (this->waiting.empty()
        || this->used() + std::uint64_t {this->waiting.front().slots} > this->capacity())
        return std::nullopt;
    auto key = std::move(this->waiting.front().key);
    this->waiting.pop_front();
    return key;
}

bool endpoint_slots::remove(attempt_key const& key)
{
    return std::erase_if(this->waiting, [&key](auto const& attempt) { return attempt.key == key; })
        != 0;
}

void endpoint_slots::release(attempt_key const& key)
{
    std::erase_if(this->running, [&key](auto const& attempt) { return attempt.key == key; });
}

} // namespace greengagehead::agent
