// Batches of commands to the control leader.

#include "entry/claim_client.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "entry/control_client.h"

namespace greengagehead::entry {

namespace {

/// Claims that arrive while this many batches are in flight wait for the next batch.
constexpr std::uint32_t max_batches = 4;
constexpr std::size_t max_batch_size = 256;
constexpr std::chrono::milliseconds retry_delay {100};
constexpr std::chrono::milliseconds no_timeout {0};

template <typename T> std::vector<T> take_batch(std::deque<T>& queue)
{
    auto const end
        = queue.begin() + static_cast<std::ptrdiff_t>(std::min(queue.size(), max_batch_size));
    std::vector<T> batch(std::make_move_iterator(queue.begin()), std::make_move_iterator(end));
    queue.erase(queue.begin(), end);
    return batch;
}

} // namespace

claim_client::claim_client(control_client& client) : control(client) { }

void claim_client::claim(protocol::job_claim claim)
{
    this->claims.push_back(std::move(claim));
}

void claim_client::finish(protocol::job_finish finish)
{
    this->finishes.push_back(std::move(finish));
}

void claim_client::join_agent(protocol::process_id const& agent, std::string const& zone,
                              base::steady_time now)
{
    this->control.request(
        protocol::command_body(protocol::join_agent {agent, zone}), no_timeout,
        [this, agent, zone](protocol::control_result const& result, base::steady_time later) {
            if (!std::holds_alternative<base::error>(result)) {
                this->agent_joined.emit(agent, later);
                return;
            }
            this->failed_joins.push_back({agent, zone});
            this->next_join_time = later + retry_delay;
        },
        now);
}

void claim_client::flush(base::steady_time now)
{
    while (!this->claims.empty() && this->claim_batches < max_batches)
        this->send_claims(now);
    while (!this->finishes.empty() && this->finish_batches < max_batches
           && now >= this->next_finish_time)
        this->send_finishes(now);
    if (this->failed_joins.empty() || now < this->next_join_time)
        return;
    for (auto const& join : std::exchange(this->failed_joins, {}))
        this->join_agent(join.agent, join.zone, now);
}

bool claim_client::idle() const
{
    return this->claims.empty() && this->finishes.empty() && this->claim_batches == 0
        && this->finish_batches == 0;
}

void claim_client::send_claims(base::steady_time now)
{
    auto batch = take_batch(this->claims);
    auto job_ids = std::make_shared<std::vector<std::string>>();
    for (auto const& item : batch)
        job_ids->push_back(item.job);
    ++this->claim_batches;
    this->control.request(
        protocol::command_body(protocol::claim_jobs {std::move(batch)}), no_timeout,
        [this, job_ids](protocol::control_result const& result, base::steady_time later) {
            --this->claim_batches;
            auto const* answers = std::get_if<protocol::claim_results>(&result);
            if (answers != nullptr && answers->claims.size() == job_ids->size()) {
                for (std::size_t i = 0; i < job_ids->size(); ++i)
                    this->claim_decided.emit((*job_ids)[i], answers->claims[i], later);
                return;
            }
            auto const* error = std::get_if<base::error>(&result);
            auto const failure = error != nullptr
                ? *error
                : base::error {base::error_code::malformed, base::error_step::claim,
                               this->control.target(), "unexpected answer to a claim"};
            for (auto const& job : *job_ids)
                this->claim_failed.emit(job, failure, later);
        },
        now);
}

void claim_client::send_finishes(base::steady_time now)
{
    auto batch = std::make_shared<std::vector<protocol::job_finish>>(take_batch(this->finishes));
    ++this->finish_batches;
    this->control.request(
        protocol::command_body(protocol::finish_jobs {*batch}), no_timeout,
        [this, batch](protocol::control_result const& result, base::steady_time later) {
            --this->finish_batches;
            if (std::holds_alternative<base::error>(result)) {
                this->finishes.insert(this->finishes.begin(), batch->begin(), batch->end());
                this->next_finish_time = later + retry_delay;
                return;
            }
            for (auto const& item : *batch)
                this->finish_committed.emit(item.job, later);
        },
        now);
}

} // namespace greengagehead::entry
