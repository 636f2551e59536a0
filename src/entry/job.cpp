// Answers of a job, and how much of it has run.

#include "entry/job.h"

#include <algorithm>
#include <utility>

namespace greengagehead::entry {

attempt* task::find(std::uint32_t number, protocol::job_epoch epoch)
{
    auto const found
        = std::find_if(this->attempts.begin(), this->attempts.end(), [&](auto const& open) {
              return open.number == number && open.epoch == epoch;
          });
    return found == this->attempts.end() ? nullptr : &*found;
}

std::size_t task::awaited() const
{
    return static_cast<std::size_t>(
        std::count_if(this->attempts.begin(), this->attempts.end(),
                      [](auto const& open) { return !open.superseded; }));
}

bool job::nothing_started() const
{
    return std::all_of(this->tasks.begin(), this->tasks.end(),
                       [](auto const& item) { return item.last_attempt == 0; });
}

bool task::done() const
{
    return this->state != protocol::task_state::waiting
        && this->state != protocol::task_state::starting;
}

protocol::ran_extent ran_extent_of(job const& job)
{
    if (job.tasks_unknown)
        return protocol::ran_extent::unknown;
    std::size_t ran = 0;
    for (auto const& task : job.tasks) {
        if (task.ran)
            ++ran;
        else if (task.may_have_run())
            return protocol::ran_extent::unknown;
    }
    if (ran == 0)
        return job.may_have_run_before ? protocol::ran_extent::unknown : protocol::ran_extent::none;
    return ran == job.tasks.size() ? protocol::ran_extent::all : protocol::ran_extent::some;
}

namespace {

protocol::task_state visible_state(job const& job, task const& task, bool over)
{
    if (task.done())
        return task.state;
    if (task.may_have_run() || (over && job.may_have_run_before))
        return over ? protocol::task_state::may_have_run : protocol::task_state::starting;
    return over ? protocol::task_state::not_run : protocol::task_state::waiting;
}

protocol::job_answer answer_of(job const& job, bool over)
{
    protocol::job_answer answer;
    answer.job = job.id;
    answer.submission = job.submission;
    answer.team = job.team;
    answer.ran = ran_extent_of(job);
    answer.tasks.reserve(job.tasks.size());
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
        answer.tasks.push_back(
            {static_cast<std::uint32_t>(i), visible_state(job, job.tasks[i], over), {}});
    return answer;
}

} // namespace

protocol::job_answer current_answer(job const& job)
{
    return answer_of(job, false);
}

protocol::job_answer settled_answer(job const& job)
{
    auto answer = job.answer;
    if (!job.unconfirmed.empty())
        return answer;
    for (auto& task : answer.tasks) {
        if (task.state == protocol::task_state::may_have_run)
            task.state = protocol::task_state::cancelled;
    }
    return answer;
}

protocol::job_answer make_answer(job& job)
{
    auto answer = answer_of(job, true);
    answer.state = job.final_state;
    answer.failure = job.failure;
    if (job.final_state != protocol::job_state::complete)
        return answer;
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
        answer.tasks[i].result = std::move(job.tasks[i].result);
    return answer;
}

} // namespace greengagehead::entry
