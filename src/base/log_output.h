// Output of log lines to a descriptor that may not take them.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace greengagehead::base {

/// Writes whole lines without waiting for the reader of a pipe or socket. A line that cannot be
/// written at once is dropped; a notice before the next one that is written tells how many were.
/// Writes to files and terminals are plain ones. Only `dropped_lines` is thread-safe.
///
/// A pipe is opened a second time, non-blocking: O_NONBLOCK on the descriptor itself would also
/// apply to all who share its open file description, for example the parent process. A thread that
/// writes would cost two wake-ups for each line, and lines in its queue would be lost when the
/// process is killed.
class log_output {
public:
    /// Makes the line that tells the number of dropped lines, without its end.
    using drop_notice = std::function<std::string(std::uint64_t lines)>;

    /// @param descriptor stays open for longer than this object.
    log_output(int descriptor, drop_notice make_notice);
    ~log_output();

    log_output(log_output const&) = delete;
    log_output& operator=(log_output const&) = delete;
    log_output(log_output&&) = delete;
    log_output& operator=(log_output&&) = delete;

    /// Writes `line` and a newline, or drops it.
    void write(std::string_view line);
    /// From now on writes wait for the reader, `limit` in all. Further calls have no effect.
    void wait_at_most(std::chrono::milliseconds limit);
    /// Writes the rest of a line that is written in part, and the number of dropped lines if it has
    /// not been told.
    void flush();

    /// Number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped_lines() const { return this->dropped; }

private:
    enum class access : std::uint8_t {
        plain, // A file or a terminal.
        non_blocking, // A pipe, through an open file description of its own.
        polled, // A pipe that could not be opened a second time.
        socket,
    };

    void open_pipe();
    [[nodiscard]] std::string outstanding_notice() const;
    bool write_remainder();
    bool put(std::string_view text);
    [[nodiscard]] std::size_t write_some(std::string_view text) const;
    [[nodiscard]] std::int64_t write_once(std::string_view text) const;
    [[nodiscard]] bool wait_for_room(std::chrono::milliseconds limit) const;
    [[nodiscard]] std::chrono::milliseconds remaining_wait() const;

    int descriptor;
    access way = access::plain;
    int own_descriptor = -1; // Closed by the destructor unless -1.
    drop_notice make_notice;
    std::string remainder; // What is missing of the last write: a line, and a notice before it.
    std::uint64_t untold = 0; // Dropped lines that no notice has told.
    std::atomic<std::uint64_t> dropped = 0;
    std::optional<steady_time> waits_until; // Set by `wait_at_most`.
};

} // namespace greengagehead::base
