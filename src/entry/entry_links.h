// The other entries: which of them have a link to this one, and which incarnation is heard.

#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "protocol/identity.h"
#include "protocol/message.h"

namespace greengagehead::entry {

struct entry_components;

class entry_links {
public:
    explicit entry_links(entry_components& components);

    /// Whether the peer of this name is an entry.
    [[nodiscard]] static bool is_entry(std::string const& peer);

    void record_connected(std::string const& entry);
    void record_disconnected(std::string const& entry);
    /// The incarnation has sent a message through the present link.
    void record_incarnation(protocol::process_id const& entry);

    /// Whether there is no other entry, as far as this one knows.
    [[nodiscard]] bool alone() const;
    /// Whether an entry of this name has a link, and no other incarnation of it has been heard.
    [[nodiscard]] bool may_be_linked(protocol::process_id const& entry) const;
    /// Whether this incarnation has been heard through the present link, or is this entry.
    [[nodiscard]] bool is_linked(protocol::process_id const& entry) const;
    /// Whether another incarnation has been heard through the present link.
    [[nodiscard]] bool is_replaced(protocol::process_id const& entry) const;

    /// Names of the other entries. One may serve callers without being in the view, and be in it
    /// without a link.
    [[nodiscard]] std::set<std::string> others() const;
    void send_to_others(protocol::message const& body) const;

private:
    entry_components& components;
    std::set<std::string> linked; ///< Names of the other entries with a link.
    /// The incarnation that was heard last through a present link, by name.
    std::unordered_map<std::string, protocol::incarnation_number> incarnations;
};

} // namespace greengagehead::entry
