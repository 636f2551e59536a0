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

} // namespace

entry_directory::entry_directory(protocol::process_id agent, std::vector<std::string> members,
                                 protocol::message_sender& out)
    : self(std::move(agent)), controls(std::move(members)), sender(out)
{
    // Agents spread over the members.
    if (!this->controls.empty())
        this->next_member = std::hash<std::string> {}(this->self.name) % this->controls.size();
}

void entry_directory::receive(protocol::directory const& answer)
{
    // A member that is cut off from the others may name former members.
    if (answer.view < this->known_view)
        return;
    auto names = protocol::names_of(answer.controls);
    if (!names.empty() && names != this->controls) {
        this->controls = std::move(names);
        this->next_member %= this->controls.size();
        this->controls_known.emit(answer.controls);
    }
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
    auto const found = std::find(this->controls.begin(), this->controls.end(), peer);
    if (this->known_view > 0 || found == this->controls.end())
        return;
    this->next_member = static_cast<std::size_t>(found - this->controls.begin());
    this->next_question = now;
}

void entry_directory::tick(base::steady_time now)
{
    if (now >= this->next_question && !this->controls.empty())
        this->ask(now);
}

void entry_directory::ask(base::steady_time now)
{
    this->next_question
        = now + (this->known_view > 0 ? question_interval : first_question_interval);
    // Every question goes to another member, since one may be gone or lag behind the others.
    auto const& member = this->controls[this->next_member];
    this->next_member = (this->next_member + 1) % this->controls.size();
    this->sender.send(member, protocol::directory_request {this->self, this->known_view});
}

} // namespace greengagehead::agent
