// Questions to control members, and the entries that their answers name.

#include "agent/entry_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace greengagehead::agent {

namespace {

/// An entry that starts is found within this time at each member.
constexpr std::chrono::milliseconds question_interval {500};
/// Pace while no entry is known: a member that has lost its disk or is cut off knows none.
constexpr std::chrono::milliseconds first_question_interval {100};
/// After this time without any answer the configured members are asked again, too.
constexpr std::chrono::milliseconds answer_timeout {2000};

} // namespace

entry_directory::entry_directory(protocol::process_id agent, std::vector<std::string> members,
                                 protocol::message_sender& out)
    : self(std::move(agent)), controls(std::move(members)),
      // Agents spread over the members.
      next_member(std::hash<std::string> {}(this->self.name)), sender(out)
{
}

void entry_directory::set_configured(std::vector<std::string> members)
{
    this->controls.set_configured(std::move(members));
}

void entry_directory::receive(protocol::directory const& answer, base::steady_time now)
{
    this->last_answer = now;
    if (this->controls.update_group(answer.group))
        this->controls_known.emit(this->controls.latest());
    // A member that is cut off from the others may name former entries.
    if (answer.view <= this->known_view)
        return;
    this->known_view = answer.view;
    for (auto const& entry : answer.entries) {
        auto& address = this->addresses[entry.id.name];
        if (std::exchange(address, entry.link_address) != entry.link_address)
            this->entry_found.emit(entry.id.name, entry.link_address);
    }
}

void entry_directory::peer_up(std::string const& peer, base::steady_time now)
{
    auto const& names = this->names(now);
    auto const found = std::find(names.begin(), names.end(), peer);
    if (this->known_view > 0 || found == names.end())
        return;
    this->next_member = static_cast<std::size_t>(found - names.begin());
    this->next_question = now;
}

void entry_directory::tick(base::steady_time now)
{
    if (now >= this->next_question && !this->controls.all().empty())
        this->ask(now);
}

std::vector<std::string> const& entry_directory::names(base::steady_time now) const
{
    bool const unanswered = now - this->last_answer >= answer_timeout;
    return unanswered ? this->controls.all() : this->controls.members();
}

void entry_directory::ask(base::steady_time now)
{
    if (this->last_answer == base::steady_time {})
        this->last_answer = now;
    this->next_question
        = now + (this->known_view > 0 ? question_interval : first_question_interval);
    // Every question goes to another member, since one may be gone or lag behind the others.
    auto const& names = this->names(now);
    auto const& member = names[this->next_member++ % names.size()];
    this->sender.send(member, protocol::directory_request {this->self, this->known_view});
}

} // namespace greengagehead::agent
