// Event loop over libevent.

#include "transport/event_loop.h"

#include <utility>

#include <event2/event.h>
#include <event2/thread.h>

namespace greengagehead::transport {

namespace {

event_base* new_base()
{
    static int const threads_ready = evthread_use_pthreads();
    (void)threads_ready;
    return event_base_new();
}

timeval to_timeval(std::chrono::microseconds duration)
{
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {seconds.count(), (duration - seconds).count()};
}

} // namespace

loop_timer::loop_timer(event_loop& loop, std::chrono::microseconds interval, bool repeating,
                       std::function<void()> wanted)
    : action(std::move(wanted)),
      registration(event_new(loop.base(), -1, static_cast<short>(repeating ? EV_PERSIST : 0),
                             &loop_timer::fire, this))
{
    timeval const time = to_timeval(interval);
    event_add(this->registration, &time);
}

loop_timer::~loop_timer()
{
    event_free(this->registration);
}

void loop_timer::fire(int /*socket*/, short /*what*/, void* self)
{
    // The action may destroy the timer, so it runs from a copy.
    auto const action = static_cast<loop_timer*>(self)->action;
    action();
}

event_loop::event_loop()
    : handle(new_base()),
      wake_up(event_new(this->handle, -1, EV_PERSIST, &event_loop::run_posted, this))
{
}

event_loop::~event_loop()
{
    event_free(this->wake_up);
    event_base_free(this->handle);
}

void event_loop::run()
{
    event_base_loop(this->handle, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    this->post([this] { event_base_loopbreak(this->handle); });
}

void event_loop::post(std::function<void()> action)
{
    {
        std::scoped_lock const guard(this->posted_lock);
        this->posted.push_back(std::move(action));
    }
    event_active(this->wake_up, 0, 0);
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
    std::vector<std::function<void()>> ready;
    {
        std::scoped_lock const guard(loop.posted_lock);
        ready.swap(loop.posted);
    }
    for (auto const& action : ready)
        action();
}

} // namespace greengagehead::transport
