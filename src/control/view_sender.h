// Sends views to entries, with the routing document only where the entry lacks it.
//
// The document may have several hundred kilobytes, and every entry that joins or leaves creates a
// view for all entries. With the document in each of them, the views that wait for the entries'
// links exceed the memory of a control VM when all entries join after a power loss.

#pragma once

#include <chrono>
#include <map>

#include "base/clock.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::control {

/// Owned by the leader's control_core; the other members forget what it holds.
class view_sender {
public:
    explicit view_sender(protocol::message_sender& sender);

    /// Forgets what the entries have, for example when this member becomes the leader.
    void reset();
    /// Records the view that an entry acts on, as named in its renewal.
    void record_applied(protocol::process_id const& entry, protocol::view_number view);
    /// Removes an entry that has left.
    void forget(protocol::process_id const& entry);

    /// Sends `current` to the entry `peer`, without the text of the document if the entry has it.
    void send(protocol::process_id const& entry, std::string const& peer,
              protocol::view const& current, base::steady_time now);
    /// Sends `current` to all entries in it.
    void send_to_all(protocol::view const& current, base::steady_time now);

private:
    struct receiver {
        protocol::view_number applied_view = 0;
        std::uint64_t sent_version = 0; ///< Version of the document last sent with its text.
        base::steady_time sent_at;
    };

    /// Notes the view in which the document of `current` appeared first.
    void record_document(protocol::view const& current);
    [[nodiscard]] bool has_document(receiver const& target, base::steady_time now) const;

    protocol::message_sender& sender;
    std::map<protocol::process_id, receiver> receivers;
    std::uint64_t document_version = 0;
    /// An entry that acts on this view or a later one has the document.
    protocol::view_number document_view = 0;
};

} // namespace greengagehead::control
