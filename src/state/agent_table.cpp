// Registration and retirement of agent incarnations.

#include "state/agent_table.h"

#include <algorithm>
#include <utility>

namespace greengagehead::state {

bool agent_table::join(protocol::join_agent const& request, protocol::wall_time at)
{
    auto const former = std::find_if(this->past.begin(), this->past.end(), [&](auto const& item) {
        return item.agent.id == request.agent;
    });
    if (former != this->past.end() && former->replaced)
        return false;
    auto joined_at = at;
    if (former != this->past.end()) {
        joined_at = former->agent.joined_at;
        this->past.erase(former);
    }
    // A removed incarnation must not displace its successor when one of its messages arrives late.
    for (auto& item : this->past)
        item.replaced = item.replaced || item.agent.id.name == request.agent.name;
    auto const known = this->registered.find(request.agent.name);
    if (known != this->registered.end()) {
        if (known->second.id == request.agent)
            joined_at = known->second.joined_at;
        else
            this->retire(known->second, true, at);
    }
    this->registered[request.agent.name]
        = {request.agent, request.zone, joined_at, protocol::wall_time(0)};
    return true;
}

void agent_table::remove(protocol::process_id const& id, protocol::wall_time at)
{
    auto const found = this->registered.find(id.name);
    if (found == this->registered.end() || found->second.id != id)
        return;
    auto const agent = found->second;
    this->registered.erase(found);
    this->retire(agent, false, at);
}

void agent_table::retire(protocol::registered_agent agent, bool replaced, protocol::wall_time at)
{
    agent.removed_at = at;
    this->past.push_back({std::move(agent), replaced});
}

void agent_table::forget(protocol::wall_time before)
{
    std::erase_if(this->past,
                  [before](past_agent const& item) { return item.agent.removed_at < before; });
}

bool agent_table::has_expired(protocol::wall_time before) const
{
    return std::any_of(this->past.begin(), this->past.end(),
                       [before](past_agent const& item) { return item.agent.removed_at < before; });
}

protocol::agent_list agent_table::list(protocol::wall_time since) const
{
    protocol::agent_list list;
    for (auto const& [name, agent] : this->registered)
        list.agents.push_back(agent);
    for (auto const& item : this->past)
        if (item.agent.removed_at >= since)
            list.agents.push_back(item.agent);
    return list;
}

bool agent_table::any_in_zone(std::string const& zone) const
{
    return std::any_of(this->registered.begin(), this->registered.end(),
                       [&zone](auto const& item) { return item.second.zone == zone; });
}

agent_image agent_table::image() const
{
    agent_image image {{}, this->past};
    for (auto const& [name, agent] : this->registered)
        image.registered.push_back(agent);
    return image;
}

void agent_table::restore(agent_image image)
{
    *this = {};
    for (auto& agent : image.registered)
        this->registered[agent.id.name] = std::move(agent);
    this->past = std::move(image.past);
}

} // namespace greengagehead::state
