// Collects messages to agents while one input is handled and sends them in batches per agent.

#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "entry/agent_table.h"
#include "protocol/message.h"
#include "protocol/message_sender.h"

namespace greengagehead::entry {

class lease_manager;

class agent_outbox {
public:
    agent_outbox(protocol::message_sender& sender, lease_manager& leases, agent_table& agents);

    void add_start(agent_slot agent, protocol::task_start start);
    void add_cancel(agent_slot agent, protocol::attempt_ref attempt);
    void add_query(agent_slot agent, std::string const& job, protocol::job_epoch epoch);
    void flush(base::steady_time now);

    /// The jobs that a query asked about, and when it was sent.
    struct sent_query {
        agent_slot agent = 0;
        base::steady_time sent;
        std::set<std::string> jobs;
    };
    /// Null for an unknown query, and for one that is no longer stored.
    [[nodiscard]] sent_query const* find_query(std::uint64_t query_id) const;
    [[nodiscard]] std::uint64_t next_query_id() { return ++this->last_query_id; }

private:
    void send_queries(base::steady_time now);

    protocol::message_sender& sender;
    lease_manager& leases;
    agent_table& agents;
    std::unordered_map<agent_slot, std::vector<protocol::task_start>> starts;
    std::unordered_map<agent_slot, std::vector<protocol::attempt_ref>> cancels;
    std::unordered_map<agent_slot, std::unordered_map<std::string, protocol::job_epoch>> queries;
    std::unordered_map<std::uint64_t, sent_query> sent_queries;
    std::uint64_t last_query_id;
};

} // namespace greengagehead::entry
