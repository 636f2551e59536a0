// Output of log lines to a descriptor that may not take them.

#include "base/log_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace greengagehead::base {

log_output::log_output(int output_descriptor, drop_notice notice)
    : descriptor(output_descriptor), make_notice(std::move(notice))
{
    struct stat status { };
    if (fstat(output_descriptor, &status) != 0)
        return;
    if (S_ISSOCK(status.st_mode))
        this->way = access::socket;
    else if (S_ISFIFO(status.st_mode))
        this->open_pipe();
}

log_output::~log_output()
{
    if (this->own_descriptor != -1)
        close(this->own_descriptor);
}

/// Opens the pipe a second time. Where that is not allowed, its state is asked for before each
/// write; such a write can still wait if another writer fills the pipe in between.
void log_output::open_pipe()
{
    auto const path = "/proc/self/fd/" + std::to_string(this->descriptor);
    this->own_descriptor = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (this->own_descriptor == -1) {
        this->way = access::polled;
        return;
    }
    this->way = access::non_blocking;
    this->descriptor = this->own_descriptor;
}

void log_output::write(std::string_view line)
{
    if (this->write_remainder()) {
        // A notice of its own could take the room that the next line needs.
        auto text = this->outstanding_notice();
        if (this->put(text.append(line).append("\n"))) {
            this->untold = 0;
            return;
        }
    }
    ++this->dropped;
    ++this->untold;
}

void log_output::wait_at_most(std::chrono::milliseconds limit)
{
    if (!this->waits_until)
        this->waits_until = steady_now() + limit;
}

void log_output::flush()
{
    if (!this->write_remainder() || this->untold == 0)
        return;
    if (this->put(this->outstanding_notice()))
        this->untold = 0;
}

std::string log_output::outstanding_notice() const
{
    return this->untold == 0 ? "" : this->make_notice(this->untold) + "\n";
}

/// Returns true if no remainder is left.
bool log_output::write_remainder()
{
    if (!this->remainder.empty())
        this->remainder.erase(0, this->write_some(this->remainder));
    return this->remainder.empty();
}

/// Writes `text` and keeps what is missing of it as remainder. Returns false if nothing of it was
/// written.
bool log_output::put(std::string_view text)
{
    auto const written = this->write_some(text);
    this->remainder = text.substr(written == 0 ? text.size() : written);
    return written > 0;
}

/// Returns the number of bytes written.
std::size_t log_output::write_some(std::string_view text) const
{
    std::size_t written = 0;
    while (written < text.size()) {
        auto const count = this->write_once(text.substr(written));
        if (count > 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        bool const full = count == 0 || errno == EAGAIN;
        auto const limit = this->remaining_wait();
        if (!full || limit == limit.zero() || !this->wait_for_room(limit))
            break;
    }
    return written;
}

/// One write of at most `text`. Returns the number of bytes, or -1 with `errno`; EAGAIN if it would
/// have to wait.
std::int64_t log_output::write_once(std::string_view text) const
{
    if (this->way == access::polled) {
        if (!this->wait_for_room(std::chrono::milliseconds(0))) {
            errno = EAGAIN;
            return -1;
        }
        // A pipe with room takes this much without waiting.
        text = text.substr(0, PIPE_BUF);
    }
    std::int64_t count = -1;
    do {
        count = this->way == access::socket
            ? send(this->descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL)
            : ::write(this->descriptor, text.data(), text.size());
    } while (count == -1 && errno == EINTR);
    return count;
}

/// Returns false if there is no room within `limit`. An error counts as room, for the next write to
/// report it.
bool log_output::wait_for_room(std::chrono::milliseconds limit) const
{
    pollfd request {this->descriptor, POLLOUT, 0};
    return poll(&request, 1, static_cast<int>(limit.count())) != 0;
}

std::chrono::milliseconds log_output::remaining_wait() const
{
    if (!this->waits_until)
        return std::chrono::milliseconds(0);
    auto const remaining
        = std::chrono::ceil<std::chrono::milliseconds>(*this->waits_until - steady_now());
    return std::max(remaining, std::chrono::milliseconds(0));
}

} // namespace greengagehead::base
