// Slot counting.

#include "agent/endpoint_slots.h"

#include <algorithm>
#include <utility>

namespace greengagehead::agent {

endpoint_slots::endpoint_slots(announcement description, std::uint32_t queue_places,
                               base::steady_time now)
    : described(std::move(description)), queue_limit(queue_places), last_announced(now)
{
}

void endpoint_slots::refresh(announcement const& description, base::steady_time now)
{
    this->described = description;
    this->last_announced = now;
}

bool endpoint_slots::offers(std::string const& kind) const
{
    auto const& kinds = this->described.kinds;
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

std::uint32_t endpoint_slots::capacity() const
{
    auto const connections = this->described.connections;
    return connections == 0 ? this->described.slots : std::min(this->described.slots, connections);
}

bool endpoint_slots::has_room() const
{
    return this->running.size() + this->waiting.size()
        < std::size_t {this->capacity()} + this->queue_limit;
}

std::optional<attempt_key> endpoint_slots::take_next()
{
    if (this->full() || this->waiting.empty())
        return std::nullopt;
    auto key = std::move(this->waiting.front());
    this->waiting.pop_front();
    return key;
}

bool endpoint_slots::remove(attempt_key const& key)
{
    return std::erase(this->waiting, key) != 0;
}

} // namespace greengagehead::agent
