// Thread and shutdown of a role.

#include "app/role_task.h"

#include <utility>

#include "app/peer_wiring.h"
#include "base/log_record.h"

namespace greengagehead::app {

namespace {

constexpr std::chrono::milliseconds tick_interval {10};
/// A role ends only after it has been idle for this time, because a request that was sent before
/// its caller could know of the shutdown may still arrive.
constexpr std::chrono::milliseconds late_request_grace {100};
constexpr std::chrono::milliseconds delay_log_interval {1'000};
/// Longest time for writing the last answers. The platform ends a process half a second after the
/// limit of its shutdown.
constexpr std::chrono::milliseconds last_write_time {250};

} // namespace

role_task::role_task(transport::link_identity identity,
                     std::shared_ptr<transport::connection_guard> connections)
    : loop(std::move(connections)), hub(this->loop, identity, transport::link_timing {}),
      name(std::move(identity.name)), delays(tick_interval)
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
        // First, so that an error in the rest of the tick does not keep the role from ending.
        this->check_stop(now);
        this->delays.record(now);
        this->log_delays(now);
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
    // What was accepted last needs the same time to be read. It counts from the first tick without
    // a listener, because one turn of a late loop may take longer.
    if (this->closing_intake && this->intake_closed()) {
        this->closing_intake = false;
        this->idle_since = now;
    }
    if (now - *this->idle_since < late_request_grace)
        return;
    if (!this->intake_closed()) {
        this->closing_intake = true;
        return this->close_intake();
    }
    this->close_idle_connections();
    auto const done = std::move(this->on_shutdown_done);
    this->on_shutdown_done = nullptr;
    done();
}

void role_task::log_delays(base::steady_time now)
{
    if (now - this->last_delay_log < delay_log_interval)
        return;
    this->last_delay_log = now;
    auto const late = this->delays.take();
    if (late.count == 0)
        return;
    base::log_record(base::log_event::event_loop_delayed)
        .with("role", this->name)
        .with("count", late.count)
        .with("longest_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(late.longest).count());
}

void role_task::stop()
{
    if (!this->thread.joinable())
        return;
    this->loop.post([this] { this->begin_stop(base::steady_now()); });
    this->thread.join();
    this->log_requests_cut();
}

void role_task::begin_stop(base::steady_time now)
{
    this->stop_limit = now + last_write_time;
    this->check_stop(now);
}

void role_task::check_stop(base::steady_time now)
{
    if (!this->stop_limit)
        return;
    if (now >= *this->stop_limit)
        return this->loop.stop();
    // A loop that was late may reach its limit before the timers that were due earlier, and a
    // client may have sent its next request before it got its last answer.
    this->answer_all(now);
    this->close_idle_connections();
    if (this->open_requests() == 0)
        this->loop.stop();
}

void role_task::log_requests_cut() const
{
    auto const count = this->open_requests();
    if (count > 0)
        base::log_record(base::log_event::requests_cut)
            .with("role", this->name)
            .with("count", count);
}

} // namespace greengagehead::app
