// One structured log line, built field by field and written when it goes out of scope.

#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

#include "base/log_event.h"

namespace greengagehead::base {

/// Usage: log_record(log_event::task_placed).with("job", id).with("endpoint", name);
/// When the level of the event is disabled, each field costs one comparison.
class log_record {
public:
    explicit log_record(log_event event);
    ~log_record();

    log_record(log_record const&) = delete;
    log_record& operator=(log_record const&) = delete;
    log_record(log_record&&) = delete;
    log_record& operator=(log_record&&) = delete;

    /// @param value any bytes: what is not valid UTF-8 is replaced by U+FFFD, control characters of
    /// quoted values by spaces, and a long value is cut.
    log_record& with(std::string_view key, std::string_view value);
    log_record& with(std::string_view key, std::chrono::microseconds value);

    template <std::integral T> log_record& with(std::string_view key, T value)
    {
        return this->enabled ? this->append(key, std::to_string(value)) : *this;
    }

private:
    log_record& append(std::string_view key, std::string_view value);

    event_description description;
    bool enabled;
    std::string line;
};

} // namespace greengagehead::base
