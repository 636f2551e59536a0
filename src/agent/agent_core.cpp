// Forwards the inputs of the agent core to its implementation.

#include "agent/agent_core.h"

#include <string_view>
#include <utility>

#include "agent/agent_core_impl.h"

namespace greengagehead::agent {

namespace {

constexpr std::string_view entry_prefix = "entry.";

bool is_entry(std::string const& peer)
{
    return peer.starts_with(entry_prefix);
}

} // namespace

agent_core::agent_core(agent_settings settings, protocol::message_sender& sender,
                       endpoint_runner& runner, base::steady_time /*now*/)
    : impl(std::make_shared<implementation>(std::move(settings), sender, runner))
{
}

agent_core::~agent_core() = default;

base::result<void> agent_core::announce(announcement const& endpoint, base::steady_time now)
{
    BOOST_OUTCOME_TRYV(this->impl->endpoints.announce(endpoint, now));
    this->impl->run_due_work(now);
    return boost::outcome_v2::success();
}

base::result<void> agent_core::leave(std::string const& endpoint, base::steady_time now)
{
    BOOST_OUTCOME_TRYV(this->impl->endpoints.leave(endpoint));
    this->impl->run_due_work(now);
    return boost::outcome_v2::success();
}

void agent_core::receive(std::string const& peer, protocol::message const& body,
                         base::steady_time now)
{
    this->impl->receive(peer, body, now);
    this->impl->run_due_work(now);
}

void agent_core::tick(base::steady_time now)
{
    this->impl->endpoints.expire(now);
    this->impl->outcome_delivery.tick(now);
    this->impl->outcomes.expire(now);
    this->impl->cancellations.expire(now);
    this->impl->stop_orphaned_runs(now);
    this->impl->run_due_work(now);
}

void agent_core::peer_up(std::string const& peer, base::steady_time now)
{
    if (!is_entry(peer))
        return;
    this->impl->peer_up(peer, now);
    this->impl->run_due_work(now);
}

void agent_core::peer_down(std::string const& peer, base::steady_time now)
{
    this->impl->liveness.link_down(peer, now);
    this->impl->reports.peer_down(peer);
    this->impl->outcome_delivery.peer_down(peer);
}

void agent_core::report_lag(protocol::attempt_ref const& run, std::chrono::milliseconds remaining)
{
    for (auto const& key : this->impl->endpoints.unfinished()) {
        auto const* const record = this->impl->outcomes.find(key);
        if (key.task == run.task && key.attempt == run.attempt && record != nullptr
            && record->details)
            this->impl->sender.send(
                record->details->owner,
                protocol::lagging_run {this->impl->settings.id, run, remaining});
    }
}

void agent_core::begin_shutdown(base::steady_time now)
{
    this->impl->admission.begin_shutdown();
    this->impl->run_due_work(now);
}

std::chrono::milliseconds agent_core::announcement_interval() const
{
    return this->impl->settings.announcement_interval;
}

bool agent_core::idle() const
{
    return this->impl->outcomes.unfinished() == 0 && this->impl->outcomes.unacknowledged() == 0;
}

} // namespace greengagehead::agent
