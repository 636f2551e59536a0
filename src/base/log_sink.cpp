// Setup of the Boost.Log sink and formatting of log lines.

#include "base/log_sink.h"

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string_view>

#include <fcntl.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

#include "base/log_output.h"

namespace greengagehead::base {

namespace {

/// The platform ends a process six seconds after SIGTERM, and the shutdown limit of the deployment
/// leaves 500 ms of them.
constexpr std::chrono::milliseconds last_lines_limit {250};

constexpr std::array level_names {
    std::string_view {"debug"},
    std::string_view {"info"},
    std::string_view {"warning"},
    std::string_view {"error"},
};

std::atomic<bool> opened = false;
std::atomic<severity> min_level = severity::info;
std::atomic<log_style> style = log_style::text;

std::string current_time()
{
    auto const now = std::chrono::system_clock::now();
    auto const time = std::chrono::system_clock::to_time_t(now);
    auto const millis
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
        % 1000;
    std::tm utc_time {};
    gmtime_r(&time, &utc_time);
    std::array<char, 40> text {};
    std::size_t const length = std::strftime(text.data(), text.size(), "%FT%T", &utc_time);
    std::string date_time(text.data(), length);
    std::string const fraction = std::to_string(millis);
    return date_time + "." + std::string(3 - fraction.size(), '0') + fraction + "Z";
}

std::string format_line(severity level, std::string const& fields)
{
    std::string const name(level_names.at(static_cast<std::size_t>(level)));
    if (log_format() == log_style::json)
        return R"({"time":")" + current_time() + R"(","level":")" + name + "\"," + fields + "}";
    return "time=" + current_time() + " level=" + name + " " + fields;
}

/// The line of the event `log_lines_dropped`. A log record would not do, because it is written
/// while another one is.
std::string format_drop_notice(std::uint64_t lines)
{
    auto const event = describe(log_event::log_lines_dropped);
    bool const json = log_format() == log_style::json;
    return format_line(event.level,
                       format_event(event) + (json ? ",\"lines\":\"" : " lines=")
                           + std::to_string(lines) + (json ? "\"" : ""));
}

/// Writes the records of Boost.Log to standard output. The frontend calls it on one thread at a
/// time.
class output_backend final : public boost::log::sinks::basic_formatted_sink_backend<
                                 char, boost::log::sinks::synchronized_feeding> {
public:
    explicit output_backend(log_output& log) : output(log) { }

    void consume(boost::log::record_view const& /*record*/, std::string const& line)
    {
        this->output.write(line);
    }

private:
    log_output& output;
};

using output_sink = boost::log::sinks::synchronous_sink<output_backend>;

// Set by `open_log`, before other threads start. The output is used while the backend is locked.
std::unique_ptr<log_output> output;
boost::shared_ptr<output_sink> sink;

/// Opens /dev/null in place of standard descriptors that are closed. Otherwise the next socket or
/// file takes the place of standard output, and log lines are written to it.
void reserve_standard_descriptors()
{
    for (int const descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        // open() returns the lowest free descriptor, which is this one.
        if (fcntl(descriptor, F_GETFD) == -1)
            (void)open("/dev/null", O_RDWR);
    }
}

} // namespace

void open_log(log_style new_style, severity min_severity)
{
    reserve_standard_descriptors();
    output = std::make_unique<log_output>(STDOUT_FILENO, format_drop_notice);
    sink = boost::make_shared<output_sink>(boost::make_shared<output_backend>(*output));
    boost::log::core::get()->add_sink(sink);
    style = new_style;
    min_level = min_severity;
    opened = true;
}

void begin_last_lines()
{
    if (!sink)
        return;
    auto const locked = sink->locked_backend();
    output->wait_at_most(last_lines_limit);
}

void flush_log()
{
    if (!sink)
        return;
    auto const locked = sink->locked_backend();
    output->wait_at_most(last_lines_limit);
    output->flush();
}

std::uint64_t dropped_log_lines()
{
    return output ? output->dropped_lines() : 0;
}

bool log_enabled(severity level)
{
    return opened.load(std::memory_order_relaxed)
        && level >= min_level.load(std::memory_order_relaxed);
}

log_style log_format()
{
    return style.load(std::memory_order_relaxed);
}

std::string format_event(event_description const& event)
{
    auto const number = std::to_string(static_cast<int>(event.event));
    std::string const name(event.name);
    if (log_format() == log_style::json)
        return "\"event\":" + number + R"(,"name":")" + name + "\"";
    return "event=" + number + " name=" + name;
}

void write_log_line(severity level, std::string const& fields)
{
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << format_line(level, fields);
}

} // namespace greengagehead::base
