// Queue ordered by the latest start, and sums of waiting work.

#include "policy/target_queue.h"

#include <algorithm>
#include <utility>

namespace greengagehead::policy {

namespace {

constexpr std::chrono::milliseconds step_width {16};

std::int64_t step_of(base::steady_time time)
{
    return time.time_since_epoch() / step_width;
}

} // namespace

void target_queue::push(target_task task)
{
    if (this->positions.contains(task.task))
        return;
    auto& list = this->classes[task.placement_class];
    auto const id = task.task;
    this->work_by_step[step_of(task.latest_start)] += task.work;
    auto const latest_start = task.latest_start;
    this->positions[id] = {&list, list.emplace(latest_start, std::move(task))};
}

std::optional<target_task>
target_queue::take(std::function<bool(std::string const&)> const& placeable)
{
    // Whether a class is placeable costs a choice among endpoints, so the first one decides.
    std::vector<std::pair<std::string const, start_order>*> by_start;
    by_start.reserve(this->classes.size());
    for (auto& item : this->classes)
        by_start.push_back(&item);
    std::stable_sort(by_start.begin(), by_start.end(), [](auto const* a, auto const* b) {
        return a->second.begin()->first < b->second.begin()->first;
    });
    auto const found = std::find_if(by_start.begin(), by_start.end(),
                                    [&placeable](auto* item) { return placeable(item->first); });
    if (found == by_start.end())
        return std::nullopt;
    auto& list = (*found)->second;
    return this->extract({&list, list.begin()});
}

target_task target_queue::extract(queue_position const& position)
{
    auto task = std::move(position.item->second);
    position.list->erase(position.item);
    if (position.list->empty())
        this->classes.erase(task.placement_class);
    this->positions.erase(task.task);
    auto const step_work = this->work_by_step.find(step_of(task.latest_start));
    step_work->second -= task.work;
    if (step_work->second.count() == 0)
        this->work_by_step.erase(step_work);
    return task;
}

bool target_queue::remove(protocol::task_ref const& task)
{
    auto const found = this->positions.find(task);
    if (found == this->positions.end())
        return false;
    this->extract(queue_position(found->second));
    return true;
}

std::vector<protocol::task_ref> target_queue::overdue(base::steady_time time) const
{
    std::vector<protocol::task_ref> late;
    for (auto const& [name, list] : this->classes) {
        for (auto item = list.begin(); item != list.end() && item->first < time; ++item)
            late.push_back(item->second.task);
    }
    return late;
}

slot_time target_queue::work_before(base::steady_time latest_start) const
{
    slot_time sum {0};
    auto const last = step_of(latest_start);
    for (auto const& [step, work] : this->work_by_step) {
        if (step > last)
            break;
        sum += work;
    }
    return sum;
}

} // namespace greengagehead::policy
