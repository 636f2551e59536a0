// Timers and posted functions as libevent events.

#include "transport/event_loop.h"

#include <utility>

#include <event2/event.h>
#include <event2/thread.h>

#include "transport/connection_guard.h"
#include "transport/guarded_call.h"

namespace greengagehead::transport {

namespace {

event_base* new_base()
{
    // libevent needs its locks set up before the first base, since `post` runs on other threads.
    static int const threading_enabled = evthread_use_pthreads();
    (void)threading_enabled;
    return event_base_new();
}

timeval to_timeval(std::chrono::microseconds duration)
{
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {seconds.count(), (duration - seconds).count()};
}

} // namespace

loop_timer::loop_timer(event_loop& loop, std::chrono::microseconds interval, bool repeating,
                       std::function<void()> on_expiry)
    : action(std::move(on_expiry)),
      timer_event(event_new(loop.base(), -1, static_cast<short>(repeating ? EV_PERSIST : 0),
                            &loop_timer::on_timeout, this))
{
    timeval const time = to_timeval(interval);
    event_add(this->timer_event, &time);
}

loop_timer::~loop_timer()
{
    event_free(this->timer_event);
}

void loop_timer::on_timeout(int /*socket*/, short /*what*/, void* self)
{
    // Calls a copy, since the action may destroy the timer.
    auto const action = static_cast<loop_timer*>(self)->action;
    guarded_call("timer", action);
}

event_loop::event_loop(std::shared_ptr<connection_guard> process_connections)
    : shared_connections(std::move(process_connections)), libevent_base(new_base()),
      wake_up_event(event_new(this->libevent_base, -1, EV_PERSIST, &event_loop::run_posted, this))
{
    if (!this->shared_connections)
        this->shared_connections = std::make_shared<connection_guard>(policy::connection_limits {});
}

event_loop::~event_loop()
{
    event_free(this->wake_up_event);
    event_base_free(this->libevent_base);
}

void event_loop::run()
{
    event_base_loop(this->libevent_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    this->post([this] { event_base_loopbreak(this->libevent_base); });
}

void event_loop::post(std::function<void()> action)
{
    {
        std::scoped_lock const guard(this->posted_mutex);
        this->posted.push_back(std::move(action));
    }
    event_active(this->wake_up_event, 0, 0);
}

std::unique_ptr<loop_timer> event_loop::every(std::chrono::microseconds interval,
                                              std::function<void()> action)
{
    return std::make_unique<loop_timer>(*this, interval, true, std::move(action));
}

std::unique_ptr<loop_timer> event_loop::after(std::chrono::microseconds delay,
                                              std::function<void()> action)
{
    return std::make_unique<loop_timer>(*this, delay, false, std::move(action));
}

void event_loop::run_posted(int /*socket*/, short /*what*/, void* self)
{
    auto& loop = *static_cast<event_loop*>(self);
    std::vector<std::function<void()>> actions;
    {
        std::scoped_lock const guard(loop.posted_mutex);
        actions.swap(loop.posted);
    }
    for (auto const& action : actions)
        guarded_call("posted", action);
}

} // namespace greengagehead::transport
