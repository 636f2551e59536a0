// Detection of a closed socket with a one-shot read event, and with a timer while data is unread.

#include "transport/close_watch.h"

#include <cerrno>
#include <utility>

#include <event2/event.h>
#include <poll.h>
#include <sys/socket.h>

#include "transport/event_loop.h"

namespace greengagehead::transport {

namespace {

/// Interval of checks while data is unread. Far below the 1.3 s after which callers send a job to
/// another entry.
constexpr timeval unread_check_interval {0, 100'000};

/// Whether the call failed only for the moment and may be repeated.
bool is_transient(int error)
{
    return error == EAGAIN || error == EINTR;
}

} // namespace

close_watch::close_watch(event_loop& loop, int descriptor, std::function<void()> on_closed)
    : closed_callback(std::move(on_closed)),
      read_event(event_new(loop.base(), descriptor, EV_READ, &close_watch::on_readable, this)),
      unread_check_event(event_new(loop.base(), -1, 0, &close_watch::on_unread_check, this))
{
}

close_watch::~close_watch()
{
    event_free(this->read_event);
    event_free(this->unread_check_event);
}

void close_watch::arm()
{
    event_del(this->unread_check_event);
    event_add(this->read_event, nullptr);
}

bool close_watch::reset() const
{
    return peek(event_get_fd(this->read_event)) < 0 && !is_transient(errno);
}

bool close_watch::closed() const
{
    auto const size = peek(event_get_fd(this->read_event));
    if (size > 0) {
        pollfd watched {event_get_fd(this->read_event), POLLRDHUP, 0};
        return poll(&watched, 1, 0) > 0;
    }
    return size == 0 || !is_transient(errno);
}

ssize_t close_watch::peek(int descriptor)
{
    char next = 0;
    return recv(descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
}

void close_watch::on_readable(int descriptor, short /*what*/, void* self)
{
    auto& watch = *static_cast<close_watch*>(self);
    auto const size = peek(descriptor);
    if (size > 0)
        return watch.watch_unread();
    // The reader of the socket has already consumed the data that triggered the event.
    if (size < 0 && is_transient(errno))
        return watch.arm();
    // Calls a copy, since the callback may destroy the watch together with its functions.
    auto const callback = watch.closed_callback;
    callback();
}

void close_watch::watch_unread()
{
    event_add(this->unread_check_event, &unread_check_interval);
}

void close_watch::on_unread_check(int /*descriptor*/, short /*what*/, void* self)
{
    auto& watch = *static_cast<close_watch*>(self);
    if (!watch.closed()) {
        auto const unread = peek(event_get_fd(watch.read_event)) > 0;
        return unread ? watch.watch_unread() : watch.arm();
    }
    auto const callback = watch.closed_callback;
    callback();
}

} // namespace greengagehead::transport
