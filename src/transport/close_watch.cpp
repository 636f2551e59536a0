// Detection of a closed socket with a one-shot read event.

#include "transport/close_watch.h"

#include <cerrno>
#include <utility>

#include <event2/event.h>
#include <poll.h>
#include <sys/socket.h>

#include "transport/event_loop.h"

namespace greengagehead::transport {

namespace {

/// Whether the call failed only for the moment and may be repeated.
bool is_transient(int error)
{
    return error == EAGAIN || error == EINTR;
}

} // namespace

close_watch::close_watch(event_loop& loop, int descriptor, std::function<void()> on_closed)
    : closed_callback(std::move(on_closed)),
      read_event(event_new(loop.base(), descriptor, EV_READ, &close_watch::on_readable, this))
{
}

close_watch::~close_watch()
{
    event_free(this->read_event);
}

void close_watch::arm()
{
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
    // The peer has sent more data without waiting for the reply, so it has not closed.
    if (size > 0)
        return;
    // The reader of the socket has already consumed the data that triggered the event.
    if (size < 0 && is_transient(errno))
        return watch.arm();
    // Calls a copy, since the callback may destroy the watch together with its functions.
    auto const callback = watch.closed_callback;
    callback();
}

} // namespace greengagehead::transport
