// Identification and liveness of agent incarnations.

#include "entry/agent_table.h"

#include <algorithm>

namespace greengagehead::entry {

report_kind agent_table::on_report(protocol::agent_report const& report, base::steady_time now)
{
    auto kind = report_kind::current;
    auto const current = this->current_slots.find(report.agent.name);
    if (current == this->current_slots.end()) {
        kind = report_kind::first;
    } else if (this->records[current->second].id != report.agent) {
        auto const slot = this->slot_of(report.agent);
        auto const& successor = this->records[current->second];
        // Reports may arrive out of order, so an incarnation that was replaced is not current
        // again while its successor is heard. Once that is lost, whoever goes on reporting is the
        // present one: a former incarnation may be heard for the first time after the present one.
        if (slot && this->records[*slot].replaced
            && (!successor.lost || report.agent_clock <= this->records[*slot].clock))
            return report_kind::outdated;
        this->records[current->second].replaced = true;
        kind = report_kind::replacement;
    }
    auto const slot = this->find_or_add(report.agent);
    this->current_slots[report.agent.name] = slot;

    auto& record = this->records[slot];
    record.replaced = false;
    if (record.silent && kind == report_kind::current)
        kind = report_kind::returned;
    if (kind == report_kind::first || kind == report_kind::replacement)
        record.current_since = now;
    record.zone = report.zone;
    record.connected = true;
    record.silent = false;
    record.lost = false;
    // Reports may arrive out of order: an older clock reading must not be paired with a later
    // arrival, which would only shorten stamps, and the seen view must not go back.
    if (report.agent_clock >= record.clock) {
        record.clock = report.agent_clock;
        record.last_report = now;
    }
    record.seen_view = std::max(record.seen_view, report.seen_view);
    return kind;
}

void agent_table::on_up(std::string const& peer, base::steady_time /*now*/)
{
    if (auto* record = this->find(peer))
        record->connected = true;
}

void agent_table::on_down(std::string const& peer)
{
    if (auto* record = this->find(peer))
        record->connected = false;
}

agent_record* agent_table::find(std::string const& name)
{
    auto const found = this->current_slots.find(name);
    return found == this->current_slots.end() ? nullptr : &this->records[found->second];
}

agent_record* agent_table::find(protocol::process_id const& id)
{
    auto const slot = this->slot_of(id);
    return slot ? &this->records[*slot] : nullptr;
}

std::optional<agent_slot> agent_table::slot_of(protocol::process_id const& id) const
{
    auto const current = this->current_slots.find(id.name);
    if (current != this->current_slots.end() && this->records[current->second].id == id)
        return current->second;
    auto const found = std::find_if(this->records.rbegin(), this->records.rend(),
                                    [&id](auto const& record) { return record.id == id; });
    if (found == this->records.rend())
        return std::nullopt;
    return static_cast<agent_slot>(std::distance(found, this->records.rend()) - 1);
}

agent_slot agent_table::find_or_add(protocol::process_id const& id)
{
    if (auto const slot = this->slot_of(id))
        return *slot;
    auto& added = this->records.emplace_back();
    added.id = id;
    auto const slot = static_cast<agent_slot>(this->records.size() - 1);
    // Named by control only: the next report of the agent shows which incarnation is current.
    added.replaced = false;
    return slot;
}

agent_table::liveness_changes agent_table::update_liveness(std::chrono::milliseconds silence,
                                                           base::steady_time now)
{
    liveness_changes found;
    for (auto const& [name, slot] : this->current_slots) {
        auto& record = this->records[slot];
        if (record.lost || now - record.last_report < silence)
            continue;
        if (!record.silent) {
            record.silent = true;
            found.silent.push_back(slot);
        }
        auto const has_valid_stamp
            = std::any_of(record.stamps.begin(), record.stamps.end(),
                          [now](auto const& stamp) { return stamp.expires_at > now; });
        if (has_valid_stamp)
            continue;
        record.lost = true;
        found.lost.push_back(slot);
    }
    return found;
}

} // namespace greengagehead::entry
