// Binary heap of timers.

#include "entry/timer_queue.h"

namespace greengagehead::entry {

void timer_queue::add(timer added)
{
    this->heap.push(added);
}

std::optional<timer> timer_queue::take_due(base::steady_time now)
{
    if (this->heap.empty() || this->heap.top().due_at > now)
        return std::nullopt;
    auto const due = this->heap.top();
    this->heap.pop();
    return due;
}

} // namespace greengagehead::entry
