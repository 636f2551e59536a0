// What each kind of trouble does.

#include "agent/simulation_troubles.h"

#include <algorithm>
#include <array>
#include <utility>

namespace greengagehead::agent::fakes {

namespace {

using std::chrono::milliseconds;

/// Troubles begin after this time.
constexpr std::uint64_t first_trouble_ms = 1'500;
constexpr std::uint64_t most_troubles = 14;
constexpr std::uint64_t most_trouble_kinds = 6;
constexpr std::uint64_t trouble_kind_count = 23;

} // namespace

simulation_troubles::simulation_troubles(simulated_machines& troubled, agent_processes allowed)
    : machines(troubled), world(troubled.world), oracle(troubled.oracle), worker(troubled.worker),
      processes(allowed)
{
    this->schedule_troubles();
}

void simulation_troubles::schedule_troubles()
{
    // Few kinds, so that the same ones overlap in different ways.
    auto const kinds = this->world.draw(1, most_trouble_kinds);
    for (std::uint64_t kind = 0; kind < kinds; ++kind)
        this->trouble_kinds.push_back(
            static_cast<trouble_kind>(this->world.draw(0, trouble_kind_count - 1)));
    if (this->processes == agent_processes::overlapping)
        this->trouble_kinds.push_back(trouble_kind::agent_overlap);
    auto const count = this->world.draw(0, most_troubles);
    for (std::uint64_t trouble = 0; trouble < count; ++trouble) {
        auto const begin = this->world.draw_time(
            first_trouble_ms, static_cast<std::uint64_t>(milliseconds(last_begin).count()));
        this->world.after(begin, [this] { this->begin_trouble(); });
    }
}

void simulation_troubles::begin_trouble()
{
    auto const target = this->world.draw(0, this->machines.entries.size() - 1);
    auto& entry = *this->machines.entries.at(target);
    auto const kind = this->world.draw(0, this->trouble_kinds.size() - 1);
    switch (this->trouble_kinds.at(kind)) {
    case trouble_kind::calls:
        return this->break_calls();
    case trouble_kind::agent_frozen:
        return this->freeze_agent(100, 3000);
    case trouble_kind::agent_paused:
        return this->freeze_agent(20, 700);
    case trouble_kind::agent_overlap:
        if (this->processes == agent_processes::overlapping)
            this->overlap_agents();
        return;
    case trouble_kind::worker_silent:
        return this->silence_worker();
    case trouble_kind::tasks_stand_still:
        return this->let_tasks_stand_still();
    case trouble_kind::rows_left_out:
        return this->leave_out_rows();
    case trouble_kind::worker_restart_after_late_answers:
        return this->restart_worker_after_late_answers();
    case trouble_kind::calls_denied:
        return this->deny_calls();
    case trouble_kind::worker_renamed:
        return this->rename_worker();
    case trouble_kind::born_misstated:
        return this->misstate_born();
    case trouble_kind::other_writers:
        return this->let_others_announce();
    case trouble_kind::machine_frozen:
        return this->freeze_machine();
    case trouble_kind::agent_restart:
        return this->restart_agent();
    case trouble_kind::worker_restart:
        return this->restart_worker();
    case trouble_kind::worker_restart_after_calls: {
        // The next life may carry out what was sent to the former one.
        auto const duration = this->world.draw_time(500, 4000);
        auto const restart = this->world.draw_time(20, 3000);
        auto const other_kinds = this->world.draw(0, 3);
        this->break_calls_of(1 + 2 * other_kinds, duration);
        return this->world.after(restart, [this] { this->restart_worker(); });
    }
    case trouble_kind::entry_frozen:
        return this->freeze_entry(entry);
    case trouble_kind::entry_end:
        return this->end_entry(entry);
    case trouble_kind::entry_end_without_stops: {
        auto const duration = this->world.draw_time(300, 3000);
        this->break_calls_of(2, duration);
        return this->end_entry(entry);
    }
    case trouble_kind::entry_end_after_late_messages: {
        auto const late = this->world.draw_time(400, 900);
        auto const end = this->world.draw_time(1, 300);
        auto const duration = this->world.draw_time(1000, 3000);
        this->break_calls_of(2, duration);
        this->oracle.on_entry_trouble(entry.name, this->world.now + late);
        entry.link.to_agent_held = std::max(entry.link.to_agent_held, this->world.now + late);
        return this->world.after(end, [this, &entry] { this->end_entry(entry); });
    }
    case trouble_kind::agent_frozen_without_starts: {
        auto const duration = this->world.draw_time(100, 1000);
        auto const freeze = this->world.draw_time(10, 500);
        this->break_calls_of(1, duration);
        return this->world.after(freeze, [this] { this->freeze_agent(100, 3000); });
    }
    case trouble_kind::agent_and_worker_restart: {
        auto const restart = this->world.draw_time(1, 2500);
        this->restart_agent();
        return this->world.after(restart, [this] { this->restart_worker(); });
    }
    case trouble_kind::link:
        return this->break_link(entry);
    }
}

void simulation_troubles::break_calls()
{
    auto const duration = this->world.draw_time(200, 3000);
    auto const kinds = this->world.draw(1, 7);
    this->break_calls_of(kinds, duration);
}

void simulation_troubles::break_calls_of(std::uint64_t kinds, milliseconds duration)
{
    auto const until = this->world.now + duration;
    constexpr std::array<call_kind, 3> all {call_kind::start, call_kind::stop, call_kind::report};
    for (std::size_t index = 0; index < all.size(); ++index) {
        auto const percent = static_cast<std::uint32_t>(this->world.draw(5, 150));
        auto const mode = static_cast<fault_mode>(this->world.draw(0, fault_mode_count - 1));
        if ((kinds >> index & 1U) != 0)
            this->worker.set_faults(all.at(index), {until, percent, mode});
    }
    this->world.note("trouble: calls of kinds " + std::to_string(kinds) + " for "
                     + std::to_string(duration.count()) + " ms");
    this->oracle.on_trouble(until);
}

void simulation_troubles::freeze_agent_until(agent_process& agent, base::steady_time time)
{
    agent.frozen_until = std::max(agent.frozen_until, time);
    agent.was_frozen = true;
    this->oracle.on_trouble(agent.frozen_until);
}

void simulation_troubles::freeze_agent(std::uint64_t shortest_ms, std::uint64_t longest_ms)
{
    if (this->machines.agents.empty())
        return;
    auto const duration = this->world.draw_time(shortest_ms, longest_ms);
    auto const frozen = this->world.draw(0, this->machines.agents.size() - 1);
    auto& agent = *this->machines.agents.at(frozen);
    this->world.note("trouble: agent " + std::to_string(agent.number) + " is frozen for "
                     + std::to_string(duration.count()) + " ms");
    this->freeze_agent_until(agent, this->world.now + duration);
}

void simulation_troubles::overlap_agents()
{
    if (this->machines.agents.size() != 1)
        return;
    auto const duration = this->world.draw_time(0, 2000);
    this->world.note("trouble: two processes of the agent overlap for "
                     + std::to_string(duration.count()) + " ms");
    this->oracle.on_trouble(this->world.now + duration);
    auto const former = this->machines.agents.back()->number;
    this->machines.start_agent();
    this->world.after(duration, [this, former] { this->machines.end_agent(former); });
}

void simulation_troubles::silence_worker()
{
    auto const duration = this->world.draw_time(100, 2500);
    auto const until = this->world.now + duration;
    auto const mode = static_cast<fault_mode>(this->world.draw(1, fault_mode_count - 1));
    this->world.note("trouble: the worker is silent for " + std::to_string(duration.count())
                     + " ms");
    constexpr std::uint32_t all = 100;
    for (auto const kind : {call_kind::start, call_kind::stop, call_kind::report})
        this->worker.set_faults(kind, {until, all, mode});
    this->oracle.on_trouble(until);
}

void simulation_troubles::let_tasks_stand_still()
{
    auto const duration = this->world.draw_time(100, 2500);
    auto const share = this->world.draw(1, 3);
    this->world.note("trouble: one task in " + std::to_string(share) + " stands still for "
                     + std::to_string(duration.count()) + " ms");
    // Ends no run, unless an entry cancels it.
    this->worker.stand_still_until(this->world.now + duration, share);
}

void simulation_troubles::leave_out_rows()
{
    auto const duration = this->world.draw_time(100, 3000);
    this->world.note("trouble: lists leave out rows for " + std::to_string(duration.count())
                     + " ms");
    // Ends no run, because rows return in time.
    this->worker.leave_out_rows_until(this->world.now + duration);
}

void simulation_troubles::freeze_machine()
{
    auto const duration = this->world.draw_time(100, 3000);
    this->world.note("trouble: the machine is frozen for " + std::to_string(duration.count())
                     + " ms");
    for (auto& agent : this->machines.agents)
        this->freeze_agent_until(*agent, this->world.now + duration);
    this->oracle.on_trouble(this->world.now + duration);
    this->worker.freeze_until(this->world.now + duration);
}

void simulation_troubles::restart_agent()
{
    if (this->machines.agents.empty())
        return;
    auto const duration = this->world.draw_time(20, 2000);
    this->world.note("trouble: the agent ends for " + std::to_string(duration.count()) + " ms");
    this->oracle.on_trouble(this->world.now + duration);
    while (!this->machines.agents.empty())
        this->machines.end_agent(this->machines.agents.back()->number);
    this->world.after(duration, [this] { this->machines.start_agent(); });
}

void simulation_troubles::restart_worker()
{
    if (!this->worker.up() || this->worker.frozen())
        return;
    bool const soon = this->world.chance(50);
    auto const duration = this->world.draw_time(5, soon ? 60 : 2500);
    auto const announced = this->world.draw_time(5, 2000);
    bool const same_id = this->world.chance(75);
    bool const set_back = this->world.chance(20);
    this->oracle.on_trouble(this->world.now + duration + announced + milliseconds(3000));
    this->worker.crash();
    this->world.after(duration, [this, same_id, set_back, announced] {
        this->worker_ids += same_id ? 0 : 1;
        this->worker.begin_life("i-" + std::to_string(this->worker_ids), set_back);
        auto const late_for = this->world.draw_time(0, 1500);
        this->machines.delay_announcements(announced, late_for);
    });
}

void simulation_troubles::restart_worker_after_late_answers()
{
    auto const duration = this->world.draw_time(100, 1000);
    auto const restart = this->world.draw_time(20, 500);
    auto const until = this->world.now + duration;
    auto const percent = static_cast<std::uint32_t>(this->world.draw(20, 100));
    this->world.note("trouble: answers are late for " + std::to_string(duration.count()) + " ms");
    for (auto const kind : {call_kind::start, call_kind::stop, call_kind::report})
        this->worker.set_faults(kind, {until, percent, fault_mode::answered_late});
    this->oracle.on_trouble(until);
    this->world.after(restart, [this] { this->restart_worker(); });
}

void simulation_troubles::deny_calls()
{
    auto const duration = this->world.draw_time(5, 200);
    auto const calls = this->world.draw(0, denied_calls_count - 1);
    this->world.note("trouble: calls are denied for " + std::to_string(duration.count())
                     + " ms, kind " + std::to_string(calls));
    this->oracle.on_starts_refused(this->world.now + duration);
    this->worker.identity.deny(static_cast<denied_calls>(calls), this->world.now + duration);
}

void simulation_troubles::rename_worker()
{
    if (!this->worker.up())
        return;
    bool const at_once = this->world.chance(50);
    auto const former_id_for = this->world.draw_time(0, at_once ? 0 : 1000);
    auto const announced = this->world.draw_time(0, 2000);
    auto const late_for = this->world.chance(50) ? this->world.draw_time(0, 1500) : milliseconds(0);
    this->world.note("trouble: the worker gets another id, and answers to the former one for "
                     + std::to_string(former_id_for.count()) + " ms");
    // The longest delay of an announcement is 3 s.
    this->oracle.on_starts_refused(this->world.now + announced + late_for + milliseconds(3000));
    ++this->worker_ids;
    this->worker.rename("i-" + std::to_string(this->worker_ids), this->world.now + former_id_for);
    this->machines.delay_announcements(announced, late_for);
}

void simulation_troubles::misstate_born()
{
    auto const duration = this->world.draw_time(5, 1000);
    auto const percent = static_cast<std::uint32_t>(this->world.draw(5, 100));
    auto const fault = this->world.draw(0, born_fault_count - 1);
    this->world.note("trouble: answers misstate the start of the worker for "
                     + std::to_string(duration.count()) + " ms, kind " + std::to_string(fault));
    this->oracle.on_trouble(this->world.now + duration);
    this->worker.identity.misstate_born(static_cast<born_fault>(fault), percent,
                                        this->world.now + duration);
}

void simulation_troubles::let_others_announce()
{
    auto const count = this->world.draw(1, 5);
    this->world.note("trouble: " + std::to_string(count) + " announcements of other writers");
    for (std::uint64_t number = 0; number < count; ++number) {
        auto const delay = this->world.draw_time(0, 500);
        bool const other_id = this->world.chance(50);
        auto const offset = this->world.draw(1, 2000);
        bool const later = this->world.chance(50);
        auto const clock = this->world.draw_time(0, 20'000);
        this->world.after(delay, [this, other_id, offset, later, clock] {
            auto const& model = this->worker.model();
            if (other_id)
                return this->machines.announce({"i-other", model.born}, clock);
            this->machines.announce({model.id, later ? model.born + offset : model.born - offset},
                                    clock);
        });
    }
}

void simulation_troubles::freeze_entry(entry_machine& entry)
{
    if (!entry.process)
        return;
    auto const duration = this->world.draw_time(100, 5000);
    this->world.note("trouble: " + entry.name + " is frozen for " + std::to_string(duration.count())
                     + " ms");
    entry.frozen_until = std::max(entry.frozen_until, this->world.now + duration);
    this->oracle.on_entry_trouble(entry.name, entry.frozen_until);
    if (duration > run_oracle::resubmission_delay)
        this->world.after(run_oracle::resubmission_delay,
                          [this, attempts = entry.process->open_attempts()] {
                              this->machines.resubmit(attempts);
                          });
}

void simulation_troubles::end_entry(entry_machine& entry)
{
    if (!entry.process)
        return;
    auto const duration = this->world.draw_time(50, 5000);
    this->world.note("trouble: " + entry.name + " ends for " + std::to_string(duration.count())
                     + " ms");
    this->oracle.on_entry_trouble(entry.name, this->world.now + duration + milliseconds(500));
    this->world.after(
        run_oracle::resubmission_delay,
        [this, attempts = entry.process->open_attempts()] { this->machines.resubmit(attempts); });
    entry.process.reset();
    entry.unread.clear();
    entry.frozen_until = {};
    entry.link.entry_up = false;
    // The machine may have ended too, and the agent then learns it from a time-out.
    auto const notice
        = this->world.chance(50) ? this->world.draw_time(0, 5) : this->world.draw_time(200, 3000);
    this->world.after(notice, [this, &entry, number = entry.link.number] {
        if (entry.link.number == number)
            this->machines.close_agent_side(entry);
    });
    this->world.after(duration, [this, &entry] {
        if (entry.process)
            return;
        this->machines.close_agent_side(entry);
        this->machines.start_entry(entry);
        entry.link.number = 0;
    });
}

void simulation_troubles::break_link(entry_machine& entry)
{
    if (!entry.process || entry.link.number == 0)
        return;
    auto const duration = this->world.draw_time(50, 3000);
    bool const to_agent = this->world.chance(50);
    bool const closes = this->world.chance(60);
    this->world.note("trouble: the link of " + entry.name + " breaks " + (to_agent ? "to" : "from")
                     + " the agent for " + std::to_string(duration.count()) + " ms"
                     + (closes ? ", and closes" : ""));
    this->oracle.on_entry_trouble(entry.name, this->world.now + duration + milliseconds(500));
    auto& held = to_agent ? entry.link.to_agent_held : entry.link.to_entry_held;
    held = std::max(held, this->world.now + duration);
    if (!closes)
        return;
    auto const number = entry.link.number;
    auto const agent_notice
        = this->world.draw_time(1, static_cast<std::uint64_t>(duration.count()));
    auto const entry_notice
        = this->world.draw_time(1, static_cast<std::uint64_t>(duration.count()));
    this->world.after(agent_notice, [this, &entry, number] {
        if (entry.link.number == number)
            this->machines.close_agent_side(entry);
    });
    this->world.after(entry_notice, [this, &entry, number] {
        if (entry.link.number != number || !std::exchange(entry.link.entry_up, false))
            return;
        this->machines.deliver_to_entry(entry, [&entry] { entry.process->link_down(); });
    });
    this->world.after(duration, [&entry, number] {
        if (entry.link.number == number)
            entry.link.number = 0;
    });
}

} // namespace greengagehead::agent::fakes
