// Connections between the parts of the agent role.

#include "app/agent_task.h"

#include <utility>
#include <variant>

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
    core.announcement_interval = settings.announcement_interval;
    // A task may run until the longest deadline, and its job may be queried until its claim
    // expires.
    core.outcome_retention = settings.limits.max_deadline + settings.timing.claim_retention;
    return core;
}

} // namespace

agent_task::agent_task(settings::process_settings const& initial_settings,
                       std::vector<settings::peer_settings> const& entries,
                       adapter_set const& adapters,
                       std::shared_ptr<transport::connection_guard> connections)
    : role_task({settings::peer_name(settings::role::agent, initial_settings.name),
                 initial_settings.fleet_key},
                std::move(connections)),
      settings(initial_settings), client(this->loop), runner(this->loop, this->client),
      adapter(adapters.agent ? adapters.agent(this->loop) : nullptr),
      core(core_settings(initial_settings), this->hub,
           this->adapter ? this->adapter->runner()
                         : static_cast<agent::endpoint_runner&>(this->runner),
           base::steady_now()),
      routes(this->core),
      server(this->loop, {initial_settings.limits.body_bytes, initial_settings.limits.header_bytes},
             [this](auto& request, auto const& exchange) { this->routes(request, exchange); })
{
    wire_core(this->hub, this->core);
    if (this->adapter)
        this->adapter->connect(this->core);
    this->connect(entries);
}

void agent_task::connect(std::vector<settings::peer_settings> const& entries)
{
    connect_peers(this->hub, settings::role::entry, entries);
    if (!entries.empty())
        return;
    auto const links = settings::control_links(this->settings);
    connect_peers(this->hub, settings::role::control, links);
    this->directory = std::make_unique<agent::entry_directory>(
        protocol::process_id {settings::peer_name(settings::role::agent, this->settings.name), 0},
        control_names(links), this->hub);
    this->directory->entry_found.connect(
        [this](std::string const& name, std::string const& address_text) {
            dial(this->hub, name, address_text);
        });
    this->directory->controls_changed.connect(
        [this](auto const& group) { dial_members(this->hub, group); });
    this->hub.message_received.connect(
        [this](std::string const& /*peer*/, protocol::message& body) { this->receive(body); });
    this->hub.peer_up.connect(
        [this](std::string const& peer) { this->directory->peer_up(peer, base::steady_now()); });
}

void agent_task::receive(protocol::message& body)
{
    if (auto const* const reply = std::get_if<protocol::directory>(&body))
        this->directory->receive(*reply, base::steady_now());
}

agent_task::~agent_task()
{
    this->stop();
}

base::result<transport::socket_address> agent_task::open(settings::process_settings const& settings)
{
    if (this->adapter) {
        BOOST_OUTCOME_TRYV(this->adapter->open());
    }
    BOOST_OUTCOME_TRY(address, transport::parse_address(settings.agent_announce));
    return this->server.listen(address);
}

void agent_task::controls_configured(std::vector<std::string> const& peers)
{
    if (this->directory)
        this->directory->set_configured(peers);
}

void agent_task::tick(base::steady_time now)
{
    if (this->adapter)
        this->adapter->tick(now);
    this->core.tick(now);
    // Entries must not learn of this agent before it can accept work.
    if (this->directory && (!this->adapter || this->adapter->ready()))
        this->directory->tick(now);
}

void agent_task::begin_shutdown(base::steady_time now)
{
    if (this->adapter)
        this->adapter->begin_shutdown(now);
    this->core.begin_shutdown(now);
}

bool agent_task::idle() const
{
    return this->core.idle();
}

} // namespace greengagehead::app
