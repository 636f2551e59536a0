// Setup of the Boost.Log sink and formatting of log lines.

#include "base/log_sink.h"

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <string_view>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

namespace greengagehead::base {

namespace {

using text_sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

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

} // namespace

void open_log(log_style new_style, severity min_severity)
{
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    // Each line is flushed, so that logged decisions are visible at once and survive a killed
    // process.
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(boost::make_shared<text_sink>(backend));
    style = new_style;
    min_level = min_severity;
    opened = true;
}

void flush_log()
{
    boost::log::core::get()->flush();
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

void write_log_line(severity level, std::string const& fields)
{
    thread_local boost::log::sources::logger logger;
    auto const name = level_names.at(static_cast<std::size_t>(level));
    if (log_format() == log_style::json) {
        BOOST_LOG(logger) << "{\"time\":\"" << current_time() << "\",\"level\":\"" << name << "\","
                          << fields << "}";
        return;
    }
    BOOST_LOG(logger) << "time=" << current_time() << " level=" << name << " " << fields;
}

} // namespace greengagehead::base
