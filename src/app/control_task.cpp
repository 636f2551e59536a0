// Connections between the parts of the control role.

#include "app/control_task.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "app/peer_wiring.h"

namespace greengagehead::app {

namespace {

using settings::role;

/// A member that has just learned of the leader connects to it within this time.
constexpr std::chrono::milliseconds dial_interval {250};
/// Only a standby replaces a lost member, and a standby appears where a VM was replaced.
/// The group must be back at full size before the next loss, which may follow within a few seconds.
constexpr std::chrono::milliseconds replace_lost_member_after {1'500};

protocol::wall_time wall_now()
{
    return std::chrono::duration_cast<protocol::wall_time>(
        std::chrono::system_clock::now().time_since_epoch());
}

consensus::durable_log_settings log_settings(settings::process_settings const& settings,
                                             transport::socket_address const& address)
{
    consensus::durable_log_settings log;
    log.name = settings::peer_name(role::control, settings.name);
    log.address = address.to_string();
    log.folder = settings.data_folder;
    log.allow_bootstrap = settings.bootstrap;
    // With member discovery, the settings list only some of the members.
    if (settings.control_link_port != 0)
        log.membership = {replace_lost_member_after, settings.max_control_members,
                          2 * settings.tolerated_losses + 1};
    for (auto const& member : settings::control_links(settings))
        log.initial.push_back({settings::peer_name(role::control, member.name), member.address});
    if (log.initial.empty())
        log.initial.push_back({log.name, log.address});
    return log;
}

control::control_settings core_settings(settings::process_settings const& settings)
{
    control::control_settings core;
    core.name = settings::peer_name(role::control, settings.name);
    core.claim_retention = settings.timing.claim_retention;
    core.tombstone_retention = settings.timing.tombstone_retention;
    return core;
}

} // namespace

control_task::control_task(settings::process_settings const& settings, adapter_set const& adapters,
                           std::shared_ptr<transport::connection_guard> connections)
    : role_task({settings::peer_name(role::control, settings.name), settings.fleet_key},
                std::move(connections)),
      requests(this->hub)
{
    this->requests.connect([this](std::string const& peer, protocol::control_request const& request,
                                  base::steady_time now) {
        this->core->receive(peer, request, now);
        this->flush_later();
    });
    if (adapters.control)
        this->adapter = adapters.control(this->loop, this->requests);
}

control_task::~control_task()
{
    this->stop();
}

base::result<transport::socket_address>
control_task::open(settings::process_settings const& settings)
{
    BOOST_OUTCOME_TRY(listen_address, transport::parse_address(settings.control_listen));
    BOOST_OUTCOME_TRY(address, this->hub.listen(listen_address));
    BOOST_OUTCOME_TRYV(this->open_log(settings, address));
    this->configured_peers.insert(settings::peer_name(role::control, settings.name));
    for (auto const& member : settings::control_links(settings)) {
        this->configured_peers.insert(settings::peer_name(role::control, member.name));
        // One link per pair of members is enough, so only the member with the lower name dials. A
        // member that is not in the settings of the others dials all of them.
        bool const listed
            = std::any_of(settings.controls.begin(), settings.controls.end(),
                          [&settings](auto const& other) { return other.name == settings.name; });
        if (member.name != settings.name && (settings.name < member.name || !listed))
            dial(this->hub, settings::peer_name(role::control, member.name), member.address);
    }
    this->hub.message_received.connect(
        [this](std::string const& peer, protocol::message& body) { this->receive(peer, body); });
    if (this->adapter) {
        BOOST_OUTCOME_TRYV(this->adapter->open());
    }
    return address;
}

base::result<void> control_task::open_log(settings::process_settings const& settings,
                                          transport::socket_address const& address)
{
    auto const now = base::steady_now();
    BOOST_OUTCOME_TRY(
        opened,
        consensus::durable_log::open(log_settings(settings, address), this->files, this->hub, now));
    this->log = std::move(opened);
    this->core = std::make_unique<control::control_core>(core_settings(settings), this->requests,
                                                         *this->log);
    this->log->start(now);
    return boost::outcome_v2::success();
}

void control_task::receive(std::string const& peer, protocol::message const& body)
{
    auto const now = base::steady_now();
    if (auto const* const message = std::get_if<protocol::raft_message>(&body))
        this->log->receive(peer, *message, now);
    else
        this->core->receive(peer, body, now);
    this->flush_later();
}

void control_task::flush_later()
{
    // All records written in this turn of the event loop share one sync.
    if (this->flush_pending)
        return;
    this->flush_pending = true;
    this->loop.post([this] {
        this->flush_pending = false;
        this->log->flush(base::steady_now());
    });
}

void control_task::dial_new_members()
{
    for (auto const& member : this->log->group().members) {
        if (!this->configured_peers.contains(member.name))
            dial(this->hub, member.name, member.address);
    }
}

void control_task::controls_configured(std::vector<std::string> const& peers)
{
    this->log->set_configured(peers);
}

void control_task::tick(base::steady_time now)
{
    this->log->tick(now);
    this->core->tick(now, wall_now());
    this->log->flush(now);
    this->requests.tick(now);
    if (this->adapter)
        this->adapter->tick(now);
    if (now - this->last_dial >= dial_interval) {
        this->last_dial = now;
        this->dial_new_members();
    }
}

void control_task::begin_shutdown(base::steady_time now)
{
    if (this->adapter)
        this->adapter->begin_shutdown(now);
}

void control_task::close_intake()
{
    if (this->adapter)
        this->adapter->close_intake();
}

bool control_task::intake_closed() const
{
    return this->adapter == nullptr || this->adapter->intake_closed();
}

void control_task::close_idle_connections()
{
    if (this->adapter)
        this->adapter->close_idle_connections();
}

bool control_task::idle() const
{
    return this->adapter == nullptr || this->adapter->idle();
}

std::size_t control_task::open_requests() const
{
    return this->adapter ? this->adapter->open_requests() : 0;
}

} // namespace greengagehead::app
