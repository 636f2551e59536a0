// Early cancellations.

#include "agent/cancellation_book.h"

#include <algorithm>

namespace greengagehead::agent {

void cancellation_book::add(std::string const& peer, protocol::attempt_ref const& attempt,
                            base::steady_time now)
{
    if (this->contains(peer, attempt.task, attempt.attempt))
        return;
    this->by_job[attempt.task.job].push_back({peer, attempt.task.index, attempt.attempt});
    this->order.emplace_back(now, attempt.task.job);
}

bool cancellation_book::contains(std::string const& peer, protocol::task_ref const& task,
                                 std::uint32_t attempt) const
{
    auto const found = this->by_job.find(task.job);
    if (found == this->by_job.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](auto const& item) {
        return item.index == task.index && item.attempt == attempt && item.peer == peer;
    });
}

void cancellation_book::expire(base::steady_time now)
{
    while (!this->order.empty() && this->order.front().first + this->retention < now) {
        auto const found = this->by_job.find(this->order.front().second);
        found->second.erase(found->second.begin());
        if (found->second.empty())
            this->by_job.erase(found);
        this->order.pop_front();
    }
}

} // namespace greengagehead::agent
