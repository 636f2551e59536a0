// Appending, truncation and compaction of the log in memory.

#include "consensus/entry_log.h"

#include <cassert>

#include "consensus/encoding.h"

namespace greengagehead::consensus {

entry_log::entry_log(log_position base, protocol::membership members) : base_position(base)
{
    this->memberships.emplace_back(base.index, std::move(members));
}

log_position entry_log::last() const
{
    if (this->entries.empty())
        return this->base_position;
    return {this->entries.back().index, this->entries.back().term};
}

std::optional<std::uint64_t> entry_log::term_at(std::uint64_t index) const
{
    if (index == this->base_position.index)
        return this->base_position.term;
    if (index < this->base_position.index || index > this->last().index)
        return {};
    return this->at(index).term;
}

protocol::log_entry const& entry_log::at(std::uint64_t index) const
{
    assert(index > this->base_position.index && index <= this->last().index);
    return this->entries[index - this->base_position.index - 1];
}

std::uint64_t entry_log::first_index_of_term(std::uint64_t index) const
{
    auto const term = this->term_at(index);
    while (index > this->base_position.index + 1 && this->term_at(index - 1) == term)
        --index;
    return index;
}

std::vector<protocol::log_entry> entry_log::entries_after(std::uint64_t index) const
{
    if (index >= this->last().index)
        return {};
    assert(index >= this->base_position.index);
    auto const skipped = static_cast<std::ptrdiff_t>(index - this->base_position.index);
    return {this->entries.begin() + skipped, this->entries.end()};
}

void entry_log::append(protocol::log_entry entry)
{
    assert(entry.index == this->last().index + 1);
    if (entry.kind == protocol::log_entry_kind::membership) {
        auto members = decode_membership(entry.data);
        if (members)
            this->memberships.emplace_back(entry.index, std::move(members.value()));
    }
    this->data_bytes += entry.data.size();
    this->entries.push_back(std::move(entry));
}

void entry_log::erase_from(std::uint64_t index)
{
    while (!this->entries.empty() && this->entries.back().index >= index) {
        this->data_bytes -= this->entries.back().data.size();
        this->entries.pop_back();
    }
    while (this->memberships.size() > 1 && this->memberships.back().first >= index)
        this->memberships.pop_back();
}

void entry_log::compact(std::uint64_t index)
{
    if (index <= this->base_position.index)
        return;
    auto members = this->members_at(index);
    auto const term = this->term_at(index);
    if (!term)
        return;
    while (!this->entries.empty() && this->entries.front().index <= index) {
        this->data_bytes -= this->entries.front().data.size();
        this->entries.pop_front();
    }
    this->base_position = {index, *term};
    std::erase_if(this->memberships,
                  [index](auto const& membership) { return membership.first <= index; });
    this->memberships.insert(this->memberships.begin(), {index, std::move(members)});
}

void entry_log::restore(log_position snapshot, protocol::membership members)
{
    if (this->term_at(snapshot.index) == snapshot.term) {
        this->compact(snapshot.index);
        return;
    }
    this->entries.clear();
    this->data_bytes = 0;
    this->base_position = snapshot;
    this->memberships.assign(1, {snapshot.index, std::move(members)});
}

void entry_log::set_initial_members(protocol::membership members)
{
    assert(this->empty());
    this->memberships.assign(1, {0, std::move(members)});
}

protocol::membership const& entry_log::members_at(std::uint64_t index) const
{
    auto found = this->memberships.begin();
    for (auto next = found; next != this->memberships.end() && next->first <= index; ++next)
        found = next;
    return found->second;
}

} // namespace greengagehead::consensus
