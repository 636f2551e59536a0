// Thread and shutdown of a role.

#include "app/role_task.h"

#include <utility>

#include "app/peer_wiring.h"

namespace greengagehead::app {

namespace {

constexpr std::chrono::milliseconds tick_interval {10};
/// A role ends only after it has been idle for this time, because a request that was sent before
/// its caller could know of the shutdown may still arrive.
constexpr std::chrono::milliseconds late_request_grace {100};

} // namespace

role_task::role_task(transport::link_identity identity,
                     std::shared_ptr<transport::connection_guard> connections)
    : loop(std::move(connections)), hub(this->loop, std::move(identity), transport::link_timing {})
{
}

role_task::~role_task()
{
    this->stop();
}

void role_task::start()
{
    this->tick_timer = this->loop.every(tick_interval, [this] {
        auto const now = base::steady_now();
        this->tick(now);
        this->check_shutdown(now);
    });
    this->thread = std::thread([this] { this->loop.run(); });
}

void role_task::shut_down(std::function<void()> done)
{
    this->loop.post([this, on_done = std::move(done)]() mutable {
        this->begin_shutdown(base::steady_now());
        this->on_shutdown_done = std::move(on_done);
    });
}

void role_task::set_controls(std::vector<settings::peer_settings> const& members,
                             std::string const& self)
{
    this->loop.post([this, members, self] {
        for (auto const& member : members) {
            auto const peer = settings::peer_name(settings::role::control, member.name);
            if (peer != self)
                dial(this->hub, peer, member.address);
        }
        this->controls_configured(control_names(members));
    });
}

void role_task::check_shutdown(base::steady_time now)
{
    if (!this->on_shutdown_done)
        return;
    if (!this->idle())
        return this->idle_since.reset();
    if (!this->idle_since)
        this->idle_since = now;
    if (now - *this->idle_since < late_request_grace)
        return;
    auto const done = std::move(this->on_shutdown_done);
    this->on_shutdown_done = nullptr;
    done();
}

void role_task::stop()
{
    if (!this->thread.joinable())
        return;
    this->loop.stop();
    this->thread.join();
}

} // namespace greengagehead::app
