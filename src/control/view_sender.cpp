// Tracks which entries have the current document.

#include "control/view_sender.h"

#include <algorithm>

namespace greengagehead::control {

namespace {

/// A document that was sent arrives before later views on the same link. When the link broke
/// meanwhile, the entry is sent the document again after this time.
constexpr std::chrono::milliseconds resend_document_after {1000};

} // namespace

view_sender::view_sender(protocol::message_sender& sender) : sender(sender) { }

void view_sender::reset()
{
    this->receivers.clear();
    this->document_version = 0;
    this->document_view = 0;
}

void view_sender::record_applied(protocol::process_id const& entry, protocol::view_number view)
{
    auto& applied = this->receivers[entry].applied_view;
    applied = std::max(applied, view);
}

void view_sender::forget(protocol::process_id const& entry)
{
    this->receivers.erase(entry);
}

void view_sender::record_document(protocol::view const& current)
{
    if (this->document_version == current.routing.version)
        return;
    this->document_version = current.routing.version;
    this->document_view = current.number;
}

bool view_sender::has_document(receiver const& target, base::steady_time now) const
{
    return target.applied_view >= this->document_view
        || (target.sent_version == this->document_version
            && now - target.sent_at < resend_document_after);
}

void view_sender::send(protocol::process_id const& entry, std::string const& peer,
                       protocol::view const& current, base::steady_time now)
{
    this->record_document(current);
    protocol::view_update update {current};
    auto& target = this->receivers[entry];
    if (this->has_document(target, now)) {
        update.current.routing.text.clear();
    } else {
        target.sent_version = this->document_version;
        target.sent_at = now;
    }
    this->sender.send(peer, update);
}

void view_sender::send_to_all(protocol::view const& current, base::steady_time now)
{
    for (auto const& entry : current.entries)
        this->send(entry.id, entry.id.name, current, now);
}

} // namespace greengagehead::control
