// Batches of messages to agents.

#include "entry/agent_outbox.h"

#include <utility>

#include "entry/lease_manager.h"

namespace greengagehead::entry {

namespace {

/// Reports for older queries are ignored, which bounds the number of stored queries.
constexpr std::chrono::seconds query_retention {10};

} // namespace

agent_outbox::agent_outbox(protocol::message_sender& output, lease_manager& lease_source,
                           agent_table& records)
    : sender(output), leases(lease_source), agents(records),
      last_query_id(protocol::request_number_base(lease_source.self().incarnation))
{
}

void agent_outbox::add_start(agent_slot agent, protocol::task_start start)
{
    this->starts[agent].push_back(std::move(start));
}

void agent_outbox::add_cancel(agent_slot agent, protocol::attempt_ref attempt)
{
    this->cancels[agent].push_back(std::move(attempt));
}

void agent_outbox::add_query(agent_slot agent, std::string const& job, protocol::job_epoch epoch)
{
    this->queries[agent][job] = epoch;
}

void agent_outbox::flush(base::steady_time now)
{
    for (auto& [slot, batch] : this->starts) {
        auto& agent = this->agents.at(slot);
        // Without a stamp the starts are dropped like lost messages; the attempt check sends them
        // again.
        auto stamp = this->leases.stamp(agent, now);
        if (!stamp) {
            std::erase_if(batch, [](auto const& start) { return !start.ephemeral; });
            stamp = this->leases.unleased_stamp(agent, now);
        }
        if (stamp && !batch.empty())
            this->sender.send(
                agent.id.name,
                protocol::start_batch {*stamp, agent.id.incarnation, std::move(batch)});
    }
    this->starts.clear();
    for (auto& [slot, batch] : this->cancels)
        this->sender.send(this->agents.at(slot).id.name, protocol::cancel_batch {std::move(batch)});
    this->cancels.clear();
    if (!this->queries.empty())
        this->send_queries(now);
}

void agent_outbox::send_queries(base::steady_time now)
{
    std::erase_if(this->sent_queries,
                  [now](auto const& item) { return now - item.second.sent > query_retention; });
    for (auto const& [slot, jobs] : this->queries) {
        protocol::outcome_query query;
        query.query_id = this->next_query_id();
        auto& record = this->sent_queries[query.query_id];
        record.agent = slot;
        record.sent = now;
        for (auto const& [job, epoch] : jobs) {
            query.jobs.push_back({job, epoch});
            record.jobs.insert(job);
        }
        this->sender.send(this->agents.at(slot).id.name, query);
    }
    this->queries.clear();
}

agent_outbox::sent_query const* agent_outbox::find_query(std::uint64_t query_id) const
{
    auto const found = this->sent_queries.find(query_id);
    return found == this->sent_queries.end() ? nullptr : &found->second;
}

} // namespace greengagehead::entry
