// Requests to control members and the evaluation of their answers.

#include "agent/entry_directory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace greengagehead::agent {

namespace {

/// Interval of requests. A new entry is found within this time once the asked member lists it.
constexpr std::chrono::milliseconds request_interval {500};
/// Interval before the first answer with a view. A member that has lost its disk or is cut off has
/// none.
constexpr std::chrono::milliseconds empty_directory_interval {50};
/// After this time without any answer, all configured members are asked, too.
constexpr std::chrono::milliseconds answer_timeout {2000};

} // namespace

entry_directory::entry_directory(protocol::process_id agent, std::vector<std::string> members,
                                 protocol::message_sender& messages)
    : self(std::move(agent)), controls(std::move(members)),
      // Spreads the first requests of the agents over the members.
      next_member(std::hash<std::string> {}(this->self.name)), sender(messages)
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
        this->controls_changed.emit(this->controls.latest());
    // A member that is cut off from the others may list outdated entries.
    if (answer.view <= this->latest_view)
        return;
    // A member leaves the entries out when the view in the request is up to date. This answer is to
    // the request of another process under the same name, whose link to the member is older.
    if (answer.entries.empty())
        return;
    this->latest_view = answer.view;
    for (auto const& entry : answer.entries) {
        auto& address = this->addresses[entry.id.name];
        if (std::exchange(address, entry.link_address) != entry.link_address)
            this->entry_found.emit(entry.id.name, entry.link_address);
    }
}

void entry_directory::peer_up(std::string const& peer, base::steady_time now)
{
    auto const& candidates = this->candidates(now);
    auto const found = std::find(candidates.begin(), candidates.end(), peer);
    if (this->latest_view > 0 || found == candidates.end())
        return;
    this->next_member = static_cast<std::size_t>(found - candidates.begin());
    this->next_request_at = now;
}

void entry_directory::tick(base::steady_time now)
{
    if (now >= this->next_request_at && !this->controls.all().empty())
        this->send_request(now);
}

std::vector<std::string> const& entry_directory::candidates(base::steady_time now) const
{
    bool const unanswered = now - this->last_answer >= answer_timeout;
    return unanswered ? this->controls.all() : this->controls.members();
}

void entry_directory::send_request(base::steady_time now)
{
    if (this->last_answer == base::steady_time {})
        this->last_answer = now;
    this->next_request_at
        = now + (this->latest_view > 0 ? request_interval : empty_directory_interval);
    // Rotates over the members, since one may have failed or lag behind the others.
    auto const& candidates = this->candidates(now);
    auto const& member = candidates[this->next_member++ % candidates.size()];
    this->sender.send(member, protocol::directory_request {this->self, this->latest_view});
}

} // namespace greengagehead::agent
