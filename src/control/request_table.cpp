// Request table: requests from acceptance through commit to the answer.

#include "control/request_table.h"

namespace greengagehead::control {

bool request_table::accept(request_origin const& origin)
{
    return this->in_progress.insert(origin).second;
}

void request_table::finish(request_origin const& origin)
{
    this->in_progress.erase(origin);
}

void request_table::await_commit(consensus::log_position const& position,
                                 request_origin const& origin)
{
    this->proposals.insert_or_assign(position.index, std::pair(position.term, origin));
}

std::optional<request_origin> request_table::take_committed(consensus::log_position const& position)
{
    auto const found = this->proposals.find(position.index);
    if (found == this->proposals.end() || found->second.first != position.term)
        return std::nullopt;
    auto origin = found->second.second;
    this->proposals.erase(found);
    return origin;
}

std::vector<request_origin> request_table::take_overwritten(consensus::log_position const& position)
{
    std::vector<request_origin> lost;
    while (!this->proposals.empty() && this->proposals.begin()->first <= position.index) {
        lost.push_back(this->proposals.begin()->second.second);
        this->proposals.erase(this->proposals.begin());
    }
    return lost;
}

void request_table::await_view(protocol::view_number view, request_origin const& origin,
                               protocol::control_result result)
{
    this->delayed_answers.emplace(view, delayed_answer {origin, std::move(result)});
}

std::vector<request_table::delayed_answer> request_table::release(protocol::view_number in_force)
{
    std::vector<delayed_answer> released;
    auto const end = this->delayed_answers.upper_bound(in_force);
    for (auto answer = this->delayed_answers.begin(); answer != end; ++answer)
        released.push_back(std::move(answer->second));
    this->delayed_answers.erase(this->delayed_answers.begin(), end);
    return released;
}

std::vector<request_origin> request_table::clear()
{
    std::vector<request_origin> unanswered(this->in_progress.begin(), this->in_progress.end());
    *this = {};
    return unanswered;
}

} // namespace greengagehead::control
