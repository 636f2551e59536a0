// Watch for a closed socket by a one-shot read event.

#include "transport/close_watch.h"

#include <cerrno>
#include <utility>

#include <event2/event.h>
#include <sys/socket.h>

#include "transport/event_loop.h"

namespace greengagehead::transport {

namespace {

bool would_wait(int error)
{
    return error == EAGAIN || error == EINTR;
}

} // namespace

close_watch::close_watch(event_loop& loop, int descriptor, std::function<void()> on_closed)
    : closed(std::move(on_closed)),
      readable(event_new(loop.base(), descriptor, EV_READ, &close_watch::check, this))
{
}

close_watch::~close_watch()
{
    event_free(this->readable);
}

void close_watch::arm()
{
    event_add(this->readable, nullptr);
}

bool close_watch::reset() const
{
    return peek(event_get_fd(this->readable)) < 0 && !would_wait(errno);
}

ssize_t close_watch::peek(int descriptor)
{
    char next = 0;
    return recv(descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
}

void close_watch::check(int descriptor, short /*what*/, void* self)
{
    auto& watch = *static_cast<close_watch*>(self);
    auto const size = peek(descriptor);
    // The peer has sent more without waiting for the reply, so it is present.
    if (size > 0)
        return;
    // The reader of the socket has taken what made it readable.
    if (size < 0 && would_wait(errno))
        return watch.arm();
    // A copy, since the action may destroy the watch and its functions.
    auto const action = watch.closed;
    action();
}

} // namespace greengagehead::transport
