// Questions to the worker about announced incarnations.

#include "agent/incarnation_verifier.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace greengagehead::agent {

incarnation_verifier::incarnation_verifier(question asks_worker)
    : ask_worker(std::move(asks_worker)), alive(std::make_shared<bool>(true))
{
}

void incarnation_verifier::verify(worker_incarnation const& announced, base::steady_time now,
                                  callback done)
{
    if (this->pending.size() >= max_pending)
        return done(incarnation_verdict::unanswered);
    this->pending.push_back(
        {++this->last_number, announced, now + max_duration, false, std::move(done)});
    this->ask(this->pending.back());
}

void incarnation_verifier::tick(base::steady_time now)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& each : this->pending)
        numbers.push_back(each.number);
    for (auto const number : numbers) {
        auto const found = this->find(number);
        if (found == this->pending.end())
            continue;
        if (now >= found->give_up_at)
            this->finish(found, incarnation_verdict::unanswered);
        else if (!found->question_in_flight)
            this->ask(*found);
    }
}

void incarnation_verifier::ask(verification& pending_one)
{
    pending_one.question_in_flight = true;
    this->ask_worker(pending_one.announced,
                     [this, weak = std::weak_ptr(this->alive),
                      number = pending_one.number](incarnation_answer answer) {
                         if (!weak.expired())
                             this->on_answer(number, answer);
                     });
}

void incarnation_verifier::on_answer(std::uint64_t number, incarnation_answer answer)
{
    auto const found = this->find(number);
    if (found == this->pending.end())
        return;
    found->question_in_flight = false;
    switch (answer) {
    case incarnation_answer::confirmed:
        // Answers may overtake each other, so this one may be from a process that has ended since.
        if (number < this->last_confirmed)
            return this->finish(found, incarnation_verdict::superseded);
        this->last_confirmed = number;
        return this->finish(found, incarnation_verdict::confirmed);
    case incarnation_answer::refuted:
        return this->finish(found, incarnation_verdict::refuted);
    case incarnation_answer::unanswered:
        return;
    }
}

void incarnation_verifier::finish(std::list<verification>::iterator finished,
                                  incarnation_verdict verdict)
{
    auto const done = std::move(finished->done);
    this->pending.erase(finished);
    done(verdict);
}

std::list<incarnation_verifier::verification>::iterator
incarnation_verifier::find(std::uint64_t number)
{
    return std::find_if(this->pending.begin(), this->pending.end(),
                        [number](auto const& each) { return each.number == number; });
}

} // namespace greengagehead::agent
