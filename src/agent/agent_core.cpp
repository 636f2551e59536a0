// Inputs of the agent core.

#include "agent/agent_core.h"

#include <string_view>
#include <utility>

#include "agent/agent_parts.h"

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
    : own(std::make_shared<parts>(std::move(settings), sender, runner))
{
}

agent_core::~agent_core() = default;

base::result<void> agent_core::announce(announcement const& endpoint, base::steady_time now)
{
    BOOST_OUTCOME_TRYV(this->own->endpoints.announce(endpoint, now));
    this->own->settle(now);
    return boost::outcome_v2::success();
}

base::result<void> agent_core::leave(std::string const& endpoint, base::steady_time now)
{
    BOOST_OUTCOME_TRYV(this->own->endpoints.leave(endpoint));
    this->own->settle(now);
    return boost::outcome_v2::success();
}

void agent_core::receive(std::string const& peer, protocol::message const& body,
                         base::steady_time now)
{
    this->own->receive(peer, body, now);
    this->own->settle(now);
}

void agent_core::tick(base::steady_time now)
{
    this->own->endpoints.expire(now);
    this->own->deliveries.tick(now);
    this->own->outcomes.expire(now);
    this->own->cancellations.expire(now);
    this->own->stop_orphans(now);
    this->own->settle(now);
}

void agent_core::peer_up(std::string const& peer, base::steady_time now)
{
    if (!is_entry(peer))
        return;
    this->own->peer_up(peer, now);
    this->own->settle(now);
}

void agent_core::peer_down(std::string const& peer, base::steady_time now)
{
    this->own->owners.link_down(peer, now);
    this->own->reports.peer_down(peer);
    this->own->deliveries.peer_down(peer);
}

void agent_core::report_lag(protocol::attempt_ref const& run, std::chrono::milliseconds remaining)
{
    for (auto const& key : this->own->endpoints.unfinished()) {
        auto const* const record = this->own->outcomes.find(key);
        if (key.task == run.task && key.attempt == run.attempt && record != nullptr
            && record->details)
            this->own->sender.send(record->details->owner,
                                   protocol::lagging_run {this->own->settings.id, run, remaining});
    }
}

void agent_core::begin_shutdown(base::steady_time now)
{
    this->own->admission.begin_shutdown();
    this->own->settle(now);
}

bool agent_core::idle() const
{
    return this->own->outcomes.unfinished() == 0 && this->own->outcomes.unacknowledged() == 0;
}

} // namespace greengagehead::agent
