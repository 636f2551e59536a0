// Wiring of the agent role.

#include "app/agent_task.h"

#include "app/peer_wiring.h"
#include "base/random.h"

namespace greengagehead::app {

namespace {

agent::agent_settings core_settings(settings::process_settings const& settings)
{
    agent::agent_settings core;
    core.id = {settings::peer_name(settings::role::agent, settings.name), base::random_number()};
    core.region = settings.region;
    core.zone = settings.zone;
    // A task may run until the longest deadline, and its job may be asked about until its claim
    // expires.
    core.outcome_retention = settings.limits.longest_deadline + settings.timing.claim_retention;
    return core;
}

} // namespace

agent_task::agent_task(settings::process_settings const& settings,
                       std::vector<settings::peer_settings> const& entries)
    : role_task({settings::peer_name(settings::role::agent, settings.name), settings.fleet_key}),
      client(this->loop), runner(this->loop, this->client),
      core(core_settings(settings), this->hub, this->runner, steady_now()), routes(this->core),
      server(this->loop, {settings.limits.body_bytes, settings.limits.header_bytes},
             [this](auto& request, auto const& exchange) { this->routes(request, exchange); })
{
    wire_core(this->hub, this->core);
    connect_peers(this->hub, settings::role::entry, entries);
}

agent_task::~agent_task()
{
    this->stop();
}

base::result<transport::socket_address> agent_task::open(settings::process_settings const& settings)
{
    BOOST_OUTCOME_TRY(address, transport::parse_address(settings.agent_announce));
    return this->server.listen(address);
}

void agent_task::tick(base::steady_time now)
{
    this->core.tick(now);
}

void agent_task::begin_shutdown(base::steady_time now)
{
    this->core.begin_shutdown(now);
}

bool agent_task::idle() const
{
    return this->core.idle();
}

} // namespace greengagehead::app
