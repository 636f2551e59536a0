// Simulated fleet whose callers send ephemeral jobs to more than one entry.

#pragma once

#include <string>
#include <variant>

#include "entry/simulated_fleet.h"
#include "policy/remote_submissions.h"

namespace greengagehead::test {

/// Callers send a job again this long after they have got no answer.
constexpr milliseconds resend_delay {1300};

/// An entry takes part in decisions on submissions this long after its start.
constexpr milliseconds entry_start_time {500};

/// An ephemeral job whose tasks have the same names wherever it is sent.
inline protocol::job_request make_submission(std::string const& submission, std::size_t tasks)
{
    auto request = make_job(submission, tasks, false);
    request.ephemeral = true;
    for (std::size_t i = 0; i < tasks; ++i)
        request.tasks[i].name = submission + ".0.0." + std::to_string(i);
    return request;
}

/// Entries with links to each other, and two agents.
struct linked_fleet : simulated_fleet {
    explicit linked_fleet(std::vector<std::string> const& entry_names) : simulated_fleet(1)
    {
        for (auto const& name : entry_names)
            this->add_entry(name, "recife");
        this->connect_entries();
        this->add_agent("agent.1", "recife");
        this->add_agent("agent.2", "fortaleza");
        this->run(entry_start_time);
    }
    void connect_entries()
    {
        for (auto const& [name, core] : this->entries) {
            for (auto const& [other, other_core] : this->entries) {
                if (name != other)
                    core->peer_up(other, this->now);
            }
        }
    }
    void close_link(std::string const& a, std::string const& b)
    {
        this->entries.at(a)->peer_down(b, this->now);
        this->entries.at(b)->peer_down(a, this->now);
    }
    void set_run_time(milliseconds time)
    {
        for (auto& [name, agent] : this->agents)
            agent.run_time = time;
    }
    std::size_t running()
    {
        return this->agents.at("agent.1").running() + this->agents.at("agent.2").running();
    }
    /// Tells the entry that all callers of the submission have closed their connections.
    void leave(std::string const& at, std::string const& submission)
    {
        auto& entry = *this->entries.at(at);
        entry.abandon(entry.ephemeral_id("recife", submission), this->now);
    }
    bool cancel(std::string const& at, std::string const& submission)
    {
        return this->entries.at(at)->cancel_ephemeral("recife", submission, this->now);
    }
    /// Messages of this type are late by `time`.
    template <typename Message> void delay(milliseconds time)
    {
        this->extra_delay = [time](auto const&, auto const&, protocol::message const& body) {
            return std::holds_alternative<Message>(body) ? time : milliseconds(0);
        };
    }
};

} // namespace greengagehead::test
