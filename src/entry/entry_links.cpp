// Links to the other entries, together with the entries of the view.

#include "entry/entry_links.h"

#include <string_view>

#include "entry/entry_components.h"

namespace greengagehead::entry {

namespace {

/// Names of entries as peers begin so.
constexpr std::string_view entry_peer_prefix = "entry.";

} // namespace

entry_links::entry_links(entry_components& shared) : components(shared) { }

bool entry_links::is_entry(std::string const& peer)
{
    return peer.starts_with(entry_peer_prefix);
}

void entry_links::record_connected(std::string const& entry)
{
    this->linked.insert(entry);
}

void entry_links::record_disconnected(std::string const& entry)
{
    this->linked.erase(entry);
    this->incarnations.erase(entry);
}

void entry_links::record_incarnation(protocol::process_id const& entry)
{
    this->incarnations[entry.name] = entry.incarnation;
}

bool entry_links::alone() const
{
    return this->linked.empty() && this->components.leases.applied().entries.size() < 2;
}

bool entry_links::may_be_linked(protocol::process_id const& entry) const
{
    return this->linked.contains(entry.name) && !this->is_replaced(entry);
}

bool entry_links::is_linked(protocol::process_id const& entry) const
{
    return entry == this->components.settings.id
        || (this->may_be_linked(entry) && this->incarnations.contains(entry.name));
}

bool entry_links::is_replaced(protocol::process_id const& entry) const
{
    auto const found = this->incarnations.find(entry.name);
    return found != this->incarnations.end() && found->second != entry.incarnation;
}

std::set<std::string> entry_links::others() const
{
    auto names = this->linked;
    for (auto const& entry : this->components.leases.applied().entries)
        names.insert(entry.id.name);
    names.erase(this->components.settings.id.name);
    return names;
}

void entry_links::send_to_others(protocol::message const& body) const
{
    for (auto const& receiver : this->others())
        this->components.sender.send(receiver, body);
}

} // namespace greengagehead::entry
