// Bookkeeping of agent incarnations.

#include "entry/agent_table.h"

#include <algorithm>

namespace greengagehead::entry {

report_kind agent_table::on_report(protocol::agent_report const& report, base::steady_time now)
{
    auto kind = report_kind::known;
    auto const had = this->present.find(report.agent.name);
    if (had == this->present.end()) {
        kind = report_kind::first;
    } else if (this->records[had->second].id != report.agent) {
        auto const slot = this->slot_of(report.agent);
        // Reports may cross; an incarnation that was replaced once never comes back.
        if (slot && this->records[*slot].replaced)
            return report_kind::outdated;
        this->records[had->second].replaced = true;
        kind = report_kind::replacement;
    }
    auto const slot = this->add_known(report.agent);
    this->present[report.agent.name] = slot;

    auto& record = this->records[slot];
    if (record.silent && kind == report_kind::known)
        kind = report_kind::returned;
    record.zone = report.zone;
    record.connected = true;
    record.silent = false;
    record.lost = false;
    // Reports may overtake each other: an older clock reading must not be paired with a later
    // arrival, which would only shorten stamps, nor may the seen view go back.
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
    auto const found = this->present.find(name);
    return found == this->present.end() ? nullptr : &this->records[found->second];
}

agent_record* agent_table::find(protocol::process_id const& id)
{
    auto const slot = this->slot_of(id);
    return slot ? &this->records[*slot] : nullptr;
}

std::optional<agent_slot> agent_table::slot_of(protocol::process_id const& id) const
{
    auto const had = this->present.find(id.name);
    if (had != this->present.end() && this->records[had->second].id == id)
        return had->second;
    auto const found = std::find_if(this->records.rbegin(), this->records.rend(),
                                    [&id](auto const& record) { return record.id == id; });
    if (found == this->records.rend())
        return std::nullopt;
    return static_cast<agent_slot>(std::distance(found, this->records.rend()) - 1);
}

agent_slot agent_table::add_known(protocol::process_id const& id)
{
    if (auto const slot = this->slot_of(id))
        return *slot;
    auto& added = this->records.emplace_back();
    added.id = id;
    auto const slot = static_cast<agent_slot>(this->records.size() - 1);
    // An incarnation that only control has named counts as replaced when another one is present.
    added.replaced = false;
    return slot;
}

agent_table::changes agent_table::check(std::chrono::milliseconds silence, base::steady_time now)
{
    changes found;
    for (auto const& [name, slot] : this->present) {
        auto& record = this->records[slot];
        if (record.lost || now - record.last_report < silence)
            continue;
        if (!record.silent) {
            record.silent = true;
            found.silent.push_back(slot);
        }
        auto const holds = std::any_of(record.stamps.begin(), record.stamps.end(),
                                       [now](auto const& stamp) { return stamp.until > now; });
        if (holds)
            continue;
        record.lost = true;
        found.lost.push_back(slot);
    }
    return found;
}

} // namespace greengagehead::entry
