// Judgement of answers by the start that they name and the id that their call named.

#include "agent/incarnation_tracker.h"

#include <string>

namespace greengagehead::agent {

worker_incarnation incarnation_tracker::addressed() const
{
    return this->denied ? worker_incarnation {{}, this->incarnation.born} : this->incarnation;
}

answer_origin incarnation_tracker::judge(worker_incarnation const& named, worker_reply const& reply)
{
    if (reply.answer == worker_answer::wrong_incarnation)
        return this->judge_denial(named);
    // While no incarnation is known, whichever answers is the present one.
    if (this->incarnation == worker_incarnation {})
        return named.id.empty() ? answer_origin::present : answer_origin::unknown;
    if (!this->is_present(named))
        return answer_origin::unknown;
    return this->judge_start(named, reply);
}

answer_origin incarnation_tracker::judge_denial(worker_incarnation const& named)
{
    // A call to an earlier incarnation, or by an earlier id, tells nothing about the present one.
    if (named.id.empty() || named != this->incarnation || this->denied)
        return answer_origin::unknown;
    this->denied = true;
    this->heard = false;
    return answer_origin::denied;
}

answer_origin incarnation_tracker::judge_start(worker_incarnation const& named,
                                               worker_reply const& reply)
{
    // A start is never 0. The call was sent after the present incarnation was heard, so it did not
    // reach a former one.
    auto const start = reply.born.value_or(0);
    if (start != 0 && this->incarnation.born != 0 && start != this->incarnation.born)
        return answer_origin::other_life;
    if (reply.answer == worker_answer::accepted) {
        // Without an id in the call and a start in the answer, a later one may have answered.
        this->heard = this->heard || !named.id.empty() || start != 0;
        if (named.id == this->incarnation.id)
            this->denied = false;
    }
    return answer_origin::present;
}

bool incarnation_tracker::is_present(worker_incarnation const& announced) const
{
    if (announced.born != this->incarnation.born)
        return false;
    return announced.born != 0 || announced.id == this->incarnation.id;
}

worker_incarnation incarnation_tracker::answering(std::string const& id, std::uint64_t born) const
{
    if (born != 0 && this->announced && this->announced->born == born)
        return *this->announced;
    return {id, born};
}

void incarnation_tracker::rename(std::string const& id)
{
    if (id == this->incarnation.id)
        return;
    this->incarnation.id = id;
    this->denied = false;
}

void incarnation_tracker::replace(worker_incarnation const& next)
{
    this->incarnation = next;
    this->denied = false;
    this->heard = false;
}

} // namespace greengagehead::agent
