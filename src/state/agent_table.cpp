// Registration, replacement and removal of agent incarnations.

#include "state/agent_table.h"

#include <algorithm>
#include <utility>

namespace greengagehead::state {

bool agent_table::join(protocol::join_agent const& request, protocol::wall_time applied_at)
{
    auto const former
        = std::find_if(this->retired.begin(), this->retired.end(),
                       [&](auto const& candidate) { return candidate.agent.id == request.agent; });
    if (former != this->retired.end() && former->replaced)
        return false;
    auto joined_at = applied_at;
    if (former != this->retired.end()) {
        joined_at = former->agent.joined_at;
        this->retired.erase(former);
    }
    // A delayed registration of a removed incarnation must not displace its successor.
    for (auto& other : this->retired)
        other.replaced = other.replaced || other.agent.id.name == request.agent.name;
    auto const current = this->registered.find(request.agent.name);
    if (current != this->registered.end()) {
        if (current->second.id == request.agent)
            joined_at = current->second.joined_at;
        else
            this->retire(current->second, true, applied_at);
    }
    this->registered[request.agent.name]
        = {request.agent, request.zone, joined_at, protocol::wall_time(0)};
    return true;
}

void agent_table::remove(protocol::process_id const& id, protocol::wall_time applied_at)
{
    auto const found = this->registered.find(id.name);
    if (found == this->registered.end() || found->second.id != id)
        return;
    auto const agent = found->second;
    this->registered.erase(found);
    this->retire(agent, false, applied_at);
}

void agent_table::retire(protocol::registered_agent agent, bool replaced,
                         protocol::wall_time applied_at)
{
    agent.removed_at = applied_at;
    this->retired.push_back({std::move(agent), replaced});
}

void agent_table::drop_expired(protocol::wall_time before)
{
    std::erase_if(this->retired, [before](retired_agent const& candidate) {
        return candidate.agent.removed_at < before;
    });
}

bool agent_table::has_expired(protocol::wall_time before) const
{
    return std::any_of(
        this->retired.begin(), this->retired.end(),
        [before](retired_agent const& candidate) { return candidate.agent.removed_at < before; });
}

protocol::agent_list agent_table::list(protocol::wall_time since) const
{
    protocol::agent_list list;
    for (auto const& [name, agent] : this->registered)
        list.agents.push_back(agent);
    for (auto const& candidate : this->retired)
        if (candidate.agent.removed_at >= since)
            list.agents.push_back(candidate.agent);
    return list;
}

bool agent_table::any_in_zone(std::string const& zone) const
{
    return std::any_of(this->registered.begin(), this->registered.end(),
                       [&zone](auto const& candidate) { return candidate.second.zone == zone; });
}

agent_image agent_table::image() const
{
    agent_image image {{}, this->retired};
    for (auto const& [name, agent] : this->registered)
        image.registered.push_back(agent);
    return image;
}

void agent_table::restore(agent_image image)
{
    *this = {};
    for (auto& agent : image.registered)
        this->registered[agent.id.name] = std::move(agent);
    this->retired = std::move(image.retired);
}

} // namespace greengagehead::state
