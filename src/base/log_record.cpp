// Formatting of structured log lines.

#include "base/log_record.h"

#include "base/log_sink.h"

namespace greengagehead::base {

namespace {

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

void append_escaped(std::string& line, std::string_view value)
{
    line += '"';
    for (char character : value) {
        if (static_cast<unsigned char>(character) < ' ') {
            line += ' ';
            continue;
        }
        if (character == '"' || character == '\\')
            line += '\\';
        line += character;
    }
    line += '"';
}

} // namespace

log_record::log_record(log_event event)
    : description(describe(event)), enabled(log_enabled(this->description.level))
{
    if (!this->enabled)
        return;
    if (log_format() == log_style::json) {
        this->line = "\"event\":" + std::to_string(static_cast<int>(event)) + ",\"name\":\"";
        this->line.append(this->description.name).append("\"");
        return;
    }
    this->line = "event=" + std::to_string(static_cast<int>(event)) + " name=";
    this->line += this->description.name;
}

log_record::~log_record()
{
    if (this->enabled)
        write_log_line(this->description.level, this->line);
}

log_record& log_record::with(std::string_view key, std::string_view value)
{
    return this->enabled ? this->append(key, value) : *this;
}

log_record& log_record::with(std::string_view key, std::chrono::microseconds value)
{
    return this->enabled ? this->append(key, std::to_string(value.count()) + "us") : *this;
}

log_record& log_record::append(std::string_view key, std::string_view value)
{
    bool const json = log_format() == log_style::json;
    this->line += json ? ",\"" : " ";
    this->line += key;
    this->line += json ? "\":" : "=";
    if (json || needs_quotes(value))
        append_escaped(this->line, value);
    else
        this->line += value;
    return *this;
}

} // namespace greengagehead::base
