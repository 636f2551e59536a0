// Error callback and retry timer of a listener.

#include "transport/listener_pause.h"

#include <chrono>
#include <map>
#include <mutex>

#include <event2/listener.h>

#include "transport/connection_guard.h"
#include "transport/event_loop.h"

namespace greengagehead::transport {

namespace {

constexpr std::chrono::milliseconds retry_interval {100};

/// libevent passes the argument of the accept callback to the error callback, and that one belongs
/// to evhttp. So the pause of a listener is found by the listener.
struct pause_registry {
    std::mutex mutex;
    std::map<evconnlistener*, listener_pause*> pauses; // Guarded by mutex.
};

pause_registry& registry()
{
    static pause_registry instance;
    return instance;
}

} // namespace

listener_pause::listener_pause(event_loop& io_loop, evconnlistener* paused_listener)
    : loop(io_loop), listener(paused_listener)
{
    {
        std::lock_guard const lock(registry().mutex);
        registry().pauses[this->listener] = this;
    }
    evconnlistener_set_error_cb(this->listener, &listener_pause::on_error);
}

listener_pause::~listener_pause()
{
    std::lock_guard const lock(registry().mutex);
    registry().pauses.erase(this->listener);
}

void listener_pause::stop()
{
    evconnlistener_disable(this->listener);
}

void listener_pause::resume()
{
    if (!this->retry_timer)
        evconnlistener_enable(this->listener);
}

void listener_pause::begin_shortage()
{
    this->loop.connections().count(policy::close_reason::no_descriptors);
    evconnlistener_disable(this->listener);
    this->retry_timer = this->loop.after(retry_interval, [this] {
        this->retry_timer.reset();
        this->resume();
    });
}

void listener_pause::on_error(evconnlistener* listener, void* /*argument*/)
{
    listener_pause* pause = nullptr;
    {
        std::lock_guard const lock(registry().mutex);
        auto const found = registry().pauses.find(listener);
        if (found != registry().pauses.end())
            pause = found->second;
    }
    // The pause of a listener is destroyed on the thread that runs this callback.
    if (pause != nullptr)
        pause->begin_shortage();
}

} // namespace greengagehead::transport
