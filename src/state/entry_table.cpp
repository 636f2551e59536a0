// Joining, replacement and removal of entries.

#include "state/entry_table.h"

#include <algorithm>
#include <utility>

namespace greengagehead::state {

entry_table::join_outcome entry_table::join(protocol::join_entry const& request,
                                            protocol::view_number next_view)
{
    auto const* former = this->find_retired(request.entry);
    if (former != nullptr && former->replaced)
        return join_outcome::refused;
    auto const found = this->entries.find(request.entry.name);
    if (found != this->entries.end()) {
        auto const& current = found->second;
        if (current.id == request.entry && current.zone == request.zone
            && current.http_address == request.http_address
            && current.link_address == request.link_address)
            return join_outcome::unchanged;
        if (current.id != request.entry)
            this->retire(current.id, true, next_view);
    }
    std::erase_if(this->retired,
                  [&](retired_entry const& candidate) { return candidate.id == request.entry; });
    // A delayed join of a removed incarnation must not displace its successor.
    for (auto& other : this->retired)
        other.replaced = other.replaced || other.id.name == request.entry.name;
    this->entries[request.entry.name]
        = {request.entry, request.zone, request.http_address, request.link_address};
    return join_outcome::changed;
}

bool entry_table::remove(protocol::process_id const& id, protocol::view_number next_view)
{
    if (!this->live(id))
        return false;
    this->entries.erase(id.name);
    this->retire(id, false, next_view);
    return true;
}

void entry_table::retire(protocol::process_id const& id, bool replaced,
                         protocol::view_number next_view)
{
    this->retired.push_back({id, replaced, next_view});
    if (this->retired.size() > retired_limit)
        this->retired.pop_front();
}

bool entry_table::live(protocol::process_id const& id) const
{
    auto const* found = this->find(id.name);
    return found != nullptr && found->id == id;
}

protocol::live_entry const* entry_table::find(std::string const& name) const
{
    auto const found = this->entries.find(name);
    return found == this->entries.end() ? nullptr : &found->second;
}

retired_entry const* entry_table::find_retired(protocol::process_id const& id) const
{
    auto const found
        = std::find_if(this->retired.begin(), this->retired.end(),
                       [&id](retired_entry const& candidate) { return candidate.id == id; });
    return found == this->retired.end() ? nullptr : &*found;
}

std::vector<protocol::live_entry> entry_table::list() const
{
    std::vector<protocol::live_entry> list;
    for (auto const& [name, entry] : this->entries)
        list.push_back(entry);
    return list;
}

entry_image entry_table::image() const
{
    return {this->list(), {this->retired.begin(), this->retired.end()}};
}

void entry_table::restore(entry_image image)
{
    *this = {};
    for (auto& entry : image.live)
        this->entries[entry.id.name] = std::move(entry);
    this->retired = {image.retired.begin(), image.retired.end()};
}

} // namespace greengagehead::state
