// How the parts of a simulation of an agent exchange messages, and how its processes start and end.

#include "agent/simulated_machines.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace greengagehead::agent::fakes {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds agent_tick {10};
constexpr milliseconds announcement_interval {400};
constexpr std::uint64_t shortest_run_ms = 50;
constexpr std::uint64_t longest_run_ms = 3600;

} // namespace

simulated_machines::simulated_machines(std::uint64_t seed)
    : world(seed), oracle(this->world), worker(this->world, this->oracle)
{
    this->start_agent();
    constexpr std::array<char const*, 3> names {"entry.a", "entry.b", "entry.c"};
    auto const count = this->world.draw(2, names.size());
    for (std::size_t index = 0; index < count; ++index) {
        this->entries.push_back(std::make_unique<entry_machine>());
        this->entries.back()->name = names.at(index);
        this->start_entry(*this->entries.back());
    }
}

void simulated_machines::send_to_entry(protocol::incarnation_number from, std::string const& peer,
                                       protocol::message const& body)
{
    if (auto const* const batch = std::get_if<protocol::outcome_batch>(&body)) {
        for (auto const& outcome : batch->outcomes)
            this->oracle.on_outcome(outcome);
    }
    if (auto const* const report = std::get_if<protocol::outcome_report>(&body)) {
        for (auto const& outcome : report->outcomes) {
            if (outcome.kind != protocol::outcome_kind::running)
                this->oracle.on_outcome(outcome);
        }
    }
    auto const found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&peer](auto const& entry) { return entry->name == peer; });
    if (found == this->entries.end() || !(*found)->link.agent_up || (*found)->link.agent != from)
        return;
    auto& entry = **found;
    auto const delay = this->world.draw_time(0, 3);
    auto& link = entry.link;
    link.last_to_entry
        = std::max({this->world.now + delay, link.last_to_entry, link.to_entry_held});
    this->world.at(link.last_to_entry, [this, &entry, number = link.number, body] {
        if (!entry.link.entry_up || entry.link.number != number)
            return;
        this->deliver_to_entry(entry, [&entry, body] { entry.process->receive(body); });
    });
}

void simulated_machines::send_to_agent(entry_machine& entry, protocol::message const& body)
{
    auto& link = entry.link;
    if (!link.entry_up)
        return;
    auto const delay = this->world.draw_time(0, 3);
    link.last_to_agent
        = std::max({this->world.now + delay, link.last_to_agent, link.to_agent_held});
    this->world.at(link.last_to_agent, [this, &entry, number = link.number, body] {
        if (!entry.link.agent_up || entry.link.number != number)
            return;
        this->deliver_to_agent(entry.link.agent, [this, peer = entry.name, body](auto& agent) {
            agent.core.receive(peer, body, this->world.now);
        });
    });
}

agent_process* simulated_machines::find_agent(protocol::incarnation_number number)
{
    auto const found
        = std::find_if(this->agents.begin(), this->agents.end(),
                       [number](auto const& agent) { return agent->number == number; });
    return found == this->agents.end() ? nullptr : found->get();
}

void simulated_machines::deliver_to_agent(protocol::incarnation_number number,
                                          std::function<void(agent_process&)> const& action)
{
    auto* const agent = this->find_agent(number);
    if (agent == nullptr)
        return;
    if (this->world.now < agent->frozen_until || !agent->unread.empty())
        agent->unread.push_back([agent, action] { action(*agent); });
    else
        action(*agent);
}

void simulated_machines::deliver_to_entry(entry_machine& entry, std::function<void()> action)
{
    if (!entry.process)
        return;
    if (this->world.now < entry.frozen_until || !entry.unread.empty())
        entry.unread.push_back(std::move(action));
    else
        action();
}

void simulated_machines::step()
{
    this->worker.advance();
    this->world.run_due();
    this->worker.advance();
    this->announce_worker();
    for (auto& agent : this->agents)
        this->step_agent(*agent);
    for (auto& entry : this->entries)
        this->step_entry(*entry);
    this->oracle.check(this->worker.frozen());
    this->world.now += milliseconds(1);
}

void simulated_machines::step_agent(agent_process& agent)
{
    if (this->world.now < agent.frozen_until)
        return;
    auto const tick = [this, &agent] {
        agent.announcements.tick();
        agent.runner.tick();
        agent.core.tick(this->world.now);
    };
    if (std::exchange(agent.was_frozen, false)) {
        // The order of a timer and of unread messages is not defined.
        if (this->world.chance(50))
            tick();
        while (!agent.unread.empty()) {
            auto const action = std::move(agent.unread.front());
            agent.unread.pop_front();
            action();
        }
    }
    if (this->world.now < agent.next_tick)
        return;
    agent.next_tick = this->world.now + agent_tick;
    tick();
    if (!agent.runner.settled())
        return;
    for (auto& entry : this->entries) {
        bool const replaces = entry->link.agent < agent.number;
        if (entry->process && (entry->link.number == 0 || replaces))
            this->connect(agent, *entry);
    }
}

void simulated_machines::step_entry(entry_machine& entry)
{
    if (!entry.process || this->world.now < entry.frozen_until)
        return;
    while (!entry.unread.empty()) {
        auto const action = std::move(entry.unread.front());
        entry.unread.pop_front();
        action();
    }
    entry.process->tick();
    this->start_tasks(entry);
}

void simulated_machines::start_tasks(entry_machine& entry)
{
    if (this->world.now < entry.next_start
        || this->world.now > this->oracle.last_trouble() + calm_end)
        return;
    entry.next_start = this->world.now + this->world.draw_time(50, 500);
    auto const work = this->world.draw_time(shortest_run_ms, longest_run_ms);
    (void)entry.process->start("t" + std::to_string(++this->last_task) + ".0.0.0", work);
}

void simulated_machines::announce_worker()
{
    if (!this->worker.up() || this->worker.frozen() || this->world.now < this->next_announcement)
        return;
    this->next_announcement = this->world.now + announcement_interval;
    auto delay = this->world.draw_time(0, 3);
    if (this->world.now < this->announcements_late_until)
        delay += this->world.draw_time(0, 3000);
    auto const& state = this->worker.model();
    this->world.after(delay,
                      [this, incarnation = worker_incarnation {state.id, state.born},
                       clock = state.clock] { this->announce(incarnation, clock); });
}

void simulated_machines::announce(worker_incarnation const& incarnation, worker_clock clock)
{
    if (this->agents.empty())
        return;
    auto const receiver = this->world.draw(0, this->agents.size() - 1);
    this->deliver_to_agent(this->agents.at(receiver)->number, [incarnation, clock](auto& agent) {
        agent.announcements.handle(incarnation, clock);
    });
}

void simulated_machines::start_agent()
{
    auto const number = ++this->agent_incarnation;
    this->world.note("agent starts as " + std::to_string(number));
    auto connection = this->worker.connect([this, number](std::function<void()> const& action) {
        this->deliver_to_agent(number, [action](auto& /*agent*/) { action(); });
    });
    this->agents.push_back(std::make_unique<agent_process>(
        this->world, number,
        [this, number](std::string const& entry, protocol::message const& body) {
            this->send_to_entry(number, entry, body);
        },
        std::move(connection)));
}

void simulated_machines::end_agent(protocol::incarnation_number number)
{
    if (this->find_agent(number) == nullptr)
        return;
    this->world.note("agent " + std::to_string(number) + " ends");
    std::erase_if(this->agents, [number](auto const& agent) { return agent->number == number; });
    for (auto& entry : this->entries) {
        if (entry->link.agent != number)
            continue;
        entry->link.agent_up = false;
        auto const notice = this->world.draw_time(1, 500);
        this->world.after(notice, [this, &entry = *entry, number = entry->link.number] {
            if (entry.link.number != number)
                return;
            entry.link.entry_up = false;
            entry.link.number = 0;
            this->deliver_to_entry(entry, [&entry] { entry.process->link_down(); });
        });
    }
}

void simulated_machines::start_entry(entry_machine& entry)
{
    ++entry.incarnation;
    this->world.note(entry.name + " starts");
    entry.process = std::make_unique<simulated_entry>(
        this->world, this->oracle, protocol::process_id {entry.name, entry.incarnation},
        [this, &entry](protocol::message const& body) { this->send_to_agent(entry, body); });
    entry.next_start = this->world.now;
}

void simulated_machines::connect(agent_process& agent, entry_machine& entry)
{
    auto& link = entry.link;
    // To a former process.
    this->close_agent_side(entry);
    link = {true, true, ++this->last_connection, agent.number, {}, {}, {}, {}};
    this->deliver_to_entry(entry, [&entry] { entry.process->link_up(); });
    agent.core.peer_up(entry.name, this->world.now);
}

void simulated_machines::close_agent_side(entry_machine& entry)
{
    if (!std::exchange(entry.link.agent_up, false))
        return;
    this->deliver_to_agent(entry.link.agent, [this, name = entry.name](auto& agent) {
        agent.core.peer_down(name, this->world.now);
    });
}

void simulated_machines::resubmit(std::vector<simulated_entry::open_attempt> const& attempts)
{
    for (auto const& attempt : attempts) {
        bool const sent = this->world.chance(60);
        auto const other = this->world.draw(0, this->entries.size() - 1);
        auto& entry = *this->entries.at(other);
        if (sent && entry.process && this->world.now >= entry.frozen_until)
            (void)entry.process->start(
                attempt.task.name,
                attempt.task.expected.count() > 0
                    ? std::chrono::duration_cast<milliseconds>(attempt.task.expected)
                    : milliseconds(shortest_run_ms));
    }
}

void simulated_machines::delay_announcements(milliseconds first, milliseconds late_for)
{
    this->next_announcement = this->world.now + first;
    this->announcements_late_until = this->next_announcement + late_for;
}

std::set<std::string> simulated_machines::present_entries() const
{
    std::set<std::string> present;
    for (auto const& entry : this->entries) {
        if (entry->process)
            present.insert(entry->name + "/" + std::to_string(entry->incarnation));
    }
    return present;
}

} // namespace greengagehead::agent::fakes
