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
    auto const known = this->entries.find(request.entry.name);
    if (known != this->entries.end()) {
        auto const& current = known->second;
        if (current.id == request.entry && current.zone == request.zone
            && current.http_address == request.http_address
            && current.link_address == request.link_address)
            return join_outcome::unchanged;
        if (current.id != request.entry)
            this->retire(current.id, true, next_view);
    }
    std::erase_if(this->past, [&](past_entry const& item) { return item.id == request.entry; });
    // A removed incarnation must not displace its successor when one of its messages arrives late.
    for (auto& item : this->past)
        item.replaced = item.replaced || item.id.name == request.entry.name;
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
    this->past.push_back({id, replaced, next_view});
    if (this->past.size() > past_limit)
        this->past.pop_front();
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

past_entry const* entry_table::find_retired(protocol::process_id const& id) const
{
    auto const found = std::find_if(this->past.begin(), this->past.end(),
                                    [&id](past_entry const& item) { return item.id == id; });
    return found == this->past.end() ? nullptr : &*found;
}

std::vector<protocol::live_entry> entry_table::list() const
{
    std::vector<protocol::live_entry> list;
    for (auto const& [name, item] : this->entries)
        list.push_back(item);
    return list;
}

entry_image entry_table::image() const
{
    return {this->list(), {this->past.begin(), this->past.end()}};
}

void entry_table::restore(entry_image image)
{
    *this = {};
    for (auto& item : image.live)
        this->entries[item.id.name] = std::move(item);
    this->past = {image.past.begin(), image.past.end()};
}

} // namespace greengagehead::state
