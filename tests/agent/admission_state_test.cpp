// Random sequences of messages, checked against an oracle that only tracks what was delivered and
// started.

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "agent/agent_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::agent::fakes;
using protocol::outcome_kind;

/// Identifies an attempt: index, epoch, attempt.
using attempt_id = std::tuple<std::uint32_t, protocol::job_epoch, std::uint32_t>;

template <typename T> attempt_id id_of(T const& item)
{
    return {item.task.index, item.epoch, item.attempt};
}

bool idempotent(std::uint32_t index)
{
    return index % 2 == 1;
}

/// The agent under test and the state of the oracle.
struct checked_agent : agent_fixture {
    struct view_content {
        bool zone_out = false;
        std::vector<protocol::process_id> live;
    };

    void deliver(std::size_t message)
    {
        auto const& batch = this->messages.at(message);
        this->highest_view = std::max(this->highest_view, batch.lease.view);
        this->stamps.push_back(batch.lease);
        if (batch.agent_incarnation == this->settings.id.incarnation)
            this->delivered.insert(id_of(batch.starts[0]));
        this->core.receive(batch.lease.entry.name, batch, this->now);
    }
    void record_view(protocol::process_id const& sender, protocol::view_number view)
    {
        this->highest_view = std::max(this->highest_view, view);
        this->stamps.push_back(this->stamp(sender, view));
    }
    /// True if a live entry holds a valid lease on the highest view and the agent's zone is in.
    [[nodiscard]] bool start_allowed() const
    {
        auto const content = this->views.at(this->highest_view);
        auto const current = [&](auto const& item) {
            auto const expires = base::from_reading(item.expires_at);
            return item.view == this->highest_view && expires > this->now
                && std::count(content.live.begin(), content.live.end(), item.entry) == 1;
        };
        return !content.zone_out && std::any_of(this->stamps.begin(), this->stamps.end(), current);
    }
    void check()
    {
        for (; this->checked_runs < this->runner.runs.size(); ++this->checked_runs) {
            auto const& task = this->runner.runs[this->checked_runs].request.task;
            RC_ASSERT(this->delivered.contains(id_of(task)));
            RC_ASSERT(this->start_allowed());
            RC_ASSERT(this->runner.runs[this->checked_runs].request.start_before > this->now);
            RC_ASSERT(task.epoch >= this->epoch);
            RC_ASSERT(!this->answered_not_run.contains(id_of(task)));
            RC_ASSERT(this->started.insert(id_of(task)).second);
            this->epoch = std::max(this->epoch, task.epoch);
            if (!idempotent(task.task.index))
                RC_ASSERT(this->may_have_run.insert(task.task.index).second);
        }
        for (; this->checked_messages < this->sender.sent.size(); ++this->checked_messages) {
            auto const& body = this->sender.sent[this->checked_messages].second;
            if (auto const* const batch = std::get_if<protocol::outcome_batch>(&body))
                this->check_not_run_answers(batch->outcomes);
            if (auto const* const report = std::get_if<protocol::outcome_report>(&body))
                this->check_not_run_answers(report->outcomes);
        }
    }
    void check_not_run_answers(std::vector<protocol::task_outcome> const& outcomes)
    {
        for (auto const& outcome : outcomes) {
            if (outcome.kind != outcome_kind::not_run)
                continue;
            RC_ASSERT(!this->started.contains(id_of(outcome))
                      || this->proven_not_run.contains(id_of(outcome)));
            this->answered_not_run.insert(id_of(outcome));
        }
    }

    std::vector<protocol::start_batch> messages; // All sent so far, delivered or not.
    std::map<protocol::view_number, view_content> views {{1, {false, {entry_a, entry_b}}}};
    protocol::view_number highest_view = 1; // Delivered to the agent.
    std::vector<protocol::lease_stamp> stamps {stamp(entry_a, 1), stamp(entry_b, 1)};
    protocol::job_epoch epoch = 1; // Highest one that the agent has seen.
    std::set<attempt_id> delivered; // Addressed to this incarnation.
    std::set<attempt_id> started;
    std::set<attempt_id> answered_not_run; // Answered "not run".
    std::set<attempt_id> proven_not_run; // By the endpoint.
    std::set<std::uint32_t> may_have_run; // Non-idempotent tasks.
    std::size_t checked_runs = 0;
    std::size_t checked_messages = 0;
};

struct no_model { };

struct random_step : rc::state::Command<no_model, checked_agent> {
    void run(no_model const& /*model*/, checked_agent& agent) const override
    {
        this->act(agent);
        agent.check();
    }
    virtual void act(checked_agent& agent) const = 0;
    void show(std::ostream& os) const override
    {
        os << typeid(*this).name() << '(' << this->a << ',' << this->b << ',' << this->c << ')';
    }
    [[nodiscard]] protocol::process_id const& entry(checked_agent const& agent) const
    {
        return this->a % 2 == 0 ? agent.entry_a : agent.entry_b;
    }

    unsigned a = *rc::gen::inRange(0U, 1000U);
    unsigned b = *rc::gen::inRange(0U, 1000U);
    unsigned c = *rc::gen::inRange(0U, 1000U);
};

struct send_start : random_step {
    void act(checked_agent& agent) const override
    {
        // Task indexes and epochs increase over time, so that long sequences still start new tasks.
        auto const index = static_cast<std::uint32_t>(agent.messages.size() / 8 * 4 + this->b % 8);
        auto const epoch = std::max<protocol::job_epoch>(
            1, agent.epoch + (this->b % 31 == 0 ? 1 : 0) - (this->b % 5 == 0 ? 1 : 0));
        auto batch = agent.batch(this->entry(agent),
                                 {make_start(index, idempotent(index), 1 + this->b / 8 % 3, epoch)},
                                 agent.highest_view + (this->c % 16 == 0 ? 1 : 0));
        agent.views.try_emplace(
            batch.lease.view, checked_agent::view_content {false, {agent.entry_a, agent.entry_b}});
        batch.agent_incarnation = this->c / 16 % 8 == 0 ? 76 : 77;
        batch.lease.expires_at -= milliseconds(this->c / 64 * 80);
        agent.messages.push_back(batch);
        // One in four is delayed: `repeat_start` may deliver it later.
        if (this->a % 4 != 3)
            agent.deliver(agent.messages.size() - 1);
    }
};

struct repeat_start : random_step {
    void act(checked_agent& agent) const override
    {
        if (!agent.messages.empty())
            agent.deliver(agent.messages.size() - 1 - this->a % agent.messages.size());
    }
};

struct renew_lease : random_step {
    void act(checked_agent& agent) const override
    {
        auto view = agent.highest_view;
        if (this->b % 8 == 0) {
            agent.views[++view] = {this->c % 3 == 0, {agent.entry_a, agent.entry_b}};
            if (this->c % 5 == 0)
                agent.views[view].live = {agent.entry_b};
        }
        agent.live = agent.views.at(view).live;
        agent.record_view(this->entry(agent), view);
        agent.update_lease(this->entry(agent), view,
                           agent.views.at(view).zone_out ? std::vector<std::string> {"recife"}
                                                         : std::vector<std::string>());
    }
};

struct query_outcomes : random_step {
    void act(checked_agent& agent) const override
    {
        agent.epoch += this->b % 8 == 0 ? 1 : 0;
        agent.core.receive(this->entry(agent).name,
                           protocol::outcome_query {this->a, {{job_id, agent.epoch}}}, agent.now);
    }
};

struct end_run : random_step {
    void act(checked_agent& agent) const override
    {
        for (std::size_t run = this->a % 3; run < agent.runner.runs.size(); ++run) {
            if (!agent.runner.runs[run].done)
                continue;
            auto const task = agent.runner.runs[run].request.task;
            auto const kind = std::array {outcome_kind::succeeded, outcome_kind::not_run,
                                          outcome_kind::failed, outcome_kind::unknown}[this->b % 4];
            if (kind == outcome_kind::not_run) {
                agent.proven_not_run.insert(id_of(task));
                agent.may_have_run.erase(task.task.index);
            }
            return agent.runner.end(run, {kind, "{}", {}}, agent.now);
        }
    }
};

struct advance_time : random_step {
    void act(checked_agent& agent) const override
    {
        milliseconds const duration(this->a % 7 == 0 ? 1600 : this->a % 300);
        // A suspended process sees the clock jump without a tick.
        if (this->b % 2 == 0)
            agent.now += duration;
        else
            agent.advance(duration);
    }
};

struct other_input : random_step {
    void act(checked_agent& agent) const override
    {
        auto const& peer = this->entry(agent).name;
        switch (this->b % 3) {
        case 0:
            return agent.core.receive(
                peer,
                protocol::cancel_batch {
                    {{{job_id, static_cast<std::uint32_t>(agent.messages.size() / 2) + this->c % 8},
                      1}}},
                agent.now);
        case 1:
            return agent.acknowledge_all(peer);
        default:
            (void)agent.core.leave("chairs-1", agent.now);
            agent.announces = !agent.announces;
        }
    }
};

} // namespace

// Guards, under any order of messages, against duplicate runs, against starts without a lease, in a
// zone that is out of service or for a previous owner, and against "not run" answers that are false
// or become false later.
TEST_CASE("Admission invariants hold under any order of messages")
{
    CHECK(rc::check("admission invariants hold", [] {
        checked_agent agent;
        auto const next
            = rc::state::gen::execOneOfWithArgs<send_start, send_start, send_start, repeat_start,
                                                renew_lease, renew_lease, query_outcomes, end_run,
                                                end_run, advance_time, other_input>();
        auto const steps = *rc::gen::scale(8.0, rc::state::gen::commands(no_model(), next));
        rc::state::runAll(steps, no_model(), agent);
        RC_CLASSIFY(agent.started.size() >= 10, "ten starts or more");
        RC_CLASSIFY(agent.answered_not_run.size() >= 10, "ten \"not run\" answers or more");
    }));
}
