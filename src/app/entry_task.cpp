// Connections between the parts of the entry role.

#include "app/entry_task.h"

#include <algorithm>
#include <utility>

#include "api/json_replies.h"
#include "app/peer_wiring.h"
#include "base/random.h"

namespace greengagehead::app {

namespace {

/// Time before the shutdown limit that is left for the last replies. An entry with a twentieth of a
/// core needs about 1 ms for each.
constexpr std::chrono::milliseconds last_reply_time {300};
/// Time before the last replies in which the requests that were sent already are read and served.
constexpr std::chrono::milliseconds last_request_time {500};

entry::entry_settings core_settings(settings::process_settings const& settings,
                                    std::vector<settings::peer_settings> const& controls)
{
    entry::entry_settings core;
    core.id = {settings::peer_name(settings::role::entry, settings.name), base::random_number()};
    core.region = settings.region;
    core.zone = settings.zone;
    core.http_address = settings.entry_http;
    core.link_address = settings.entry_listen;
    core.controls = control_names(controls);
    core.placement = settings.placement;
    core.fair_accounts = settings.fair_accounts;
    core.share_by_demand = settings.share_by_demand;
    core.learn_speed = settings.learn_speed;
    core.max_loop_delay = settings.max_loop_delay;
    core.seed = core.id.incarnation;
    core.answer_retention = settings.timing.claim_retention;
    core.recovery_hold = {settings.recovery_hold, settings.recovery_hold_bytes};
    return core;
}

} // namespace

entry_task::entry_task(settings::process_settings const& initial_settings,
                       std::vector<settings::peer_settings> const& controls,
                       adapter_set const& adapters,
                       std::shared_ptr<transport::connection_guard> connections)
    : role_task({settings::peer_name(settings::role::entry, initial_settings.name),
                 initial_settings.fleet_key},
                std::move(connections)),
      settings(initial_settings),
      core(core_settings(initial_settings, controls), this->hub, base::steady_now()),
      routes(this->core, this->settings, this->hub.messages(), this->loop.connections()),
      server(
          this->loop, {initial_settings.limits.body_bytes, initial_settings.limits.header_bytes},
          [this](auto& request, auto const& exchange) { this->routes.handle(request, exchange); })
{
    wire_core(this->hub, this->core);
    connect_peers(this->hub, settings::role::control, controls);
    std::vector<settings::peer_settings> dialed_entries;
    for (auto const& peer : initial_settings.entries) {
        // One link per pair of entries is enough, so only the entry with the lower name dials.
        if (initial_settings.name < peer.name)
            dialed_entries.push_back(peer);
    }
    connect_peers(this->hub, settings::role::entry, dialed_entries);
    this->core.control_group_changed.connect(
        [this](auto const& group) { dial_members(this->hub, group); });
    this->core.view_applied.connect([this](auto const& view) { this->dial_entries(view); });
    if (adapters.entry)
        this->adapter = adapters.entry(this->loop, this->core);
}

entry_task::~entry_task()
{
    this->stop();
}

void entry_task::dial_entries(protocol::view const& view)
{
    auto const self = settings::peer_name(settings::role::entry, this->settings.name);
    std::set<std::string> configured;
    for (auto const& peer : this->settings.entries)
        configured.insert(settings::peer_name(settings::role::entry, peer.name));
    std::set<std::string> dialed;
    for (auto const& entry : view.entries) {
        // As in the constructor, only one entry of each pair dials.
        if (self >= entry.id.name || entry.link_address.empty()
            || configured.contains(entry.id.name))
            continue;
        dialed.insert(entry.id.name);
        dial(this->hub, entry.id.name, entry.link_address);
    }
    for (auto const& name : this->dialed_entries) {
        if (!dialed.contains(name))
            this->hub.stop_reconnecting(name);
    }
    this->dialed_entries = std::move(dialed);
}

base::result<transport::socket_address> entry_task::open_links()
{
    BOOST_OUTCOME_TRY(address, transport::parse_address(this->settings.entry_listen));
    return this->hub.listen(address);
}

base::result<transport::socket_address> entry_task::open_http()
{
    BOOST_OUTCOME_TRY(address, transport::parse_address(this->settings.entry_http));
    if (this->adapter) {
        BOOST_OUTCOME_TRYV(this->adapter->open());
    }
    return this->server.listen(address);
}

void entry_task::controls_configured(std::vector<std::string> const& peers)
{
    this->core.set_configured_controls(peers);
}

void entry_task::tick(base::steady_time now)
{
    this->core.tick(now);
    if (this->adapter)
        this->adapter->tick(now);
}

void entry_task::begin_shutdown(base::steady_time now)
{
    if (this->adapter)
        this->adapter->begin_shutdown(now);
    this->core.stop_holding(now);
    this->leave_pending = true;
    this->routes.begin_shutdown();
    auto const replies_at = this->settings.timing.shutdown_limit - last_reply_time;
    auto const leave_delay = std::min(this->settings.timing.leave_delay, replies_at);
    auto const intake_end = std::max(replies_at - last_request_time, leave_delay);
    this->intake_timer = this->loop.after(intake_end, [this] { this->close_intake(); });
    this->last_reply_timer
        = this->loop.after(replies_at, [this] { this->answer_all(base::steady_now()); });
    this->leave_timer = this->loop.after(leave_delay, [this, end = now + replies_at] {
        // The timer itself may be late.
        auto const later = base::steady_now();
        auto const left = std::chrono::floor<std::chrono::milliseconds>(end - later);
        this->core.begin_shutdown(later, std::max(left, std::chrono::milliseconds(0)));
        this->leave_pending = false;
    });
}

void entry_task::close_intake()
{
    this->server.finish_listening();
    if (this->adapter)
        this->adapter->close_intake();
}

bool entry_task::intake_closed() const
{
    return !this->server.listening()
        && (this->adapter == nullptr || this->adapter->intake_closed());
}

void entry_task::close_idle_connections()
{
    this->server.close_idle_connections();
    if (this->adapter)
        this->adapter->close_idle_connections();
}

void entry_task::answer_all(base::steady_time now)
{
    this->core.answer_all_waiters(now);
    // Requests to control may wait longer than this process lives.
    this->server.answer_open_requests(
        api::error_response({base::error_code::timeout,
                             base::error_step::replicate,
                             {},
                             "the entry is shutting down and has no answer from control"}));
}

bool entry_task::idle() const
{
    return !this->leave_pending && this->core.idle() && this->server.open_exchanges() == 0
        && (this->adapter == nullptr || this->adapter->idle());
}

std::size_t entry_task::open_requests() const
{
    return this->server.open_exchanges() + (this->adapter ? this->adapter->open_requests() : 0);
}

} // namespace greengagehead::app
