// Formatting of structured log lines.

#include "base/log_record.h"

#include <algorithm>

#include "base/log_sink.h"

namespace greengagehead::base {

namespace {

/// Length in bytes of one value, before quotes and backslashes are escaped. Values may quote
/// messages of other writers, which have up to megabytes.
constexpr std::size_t longest_value_bytes = 1'024;
/// Ends a value that was cut.
constexpr std::string_view cut_mark = "...";
/// U+FFFD, written for bytes that are not valid UTF-8.
constexpr std::string_view replacement_character = "\xef\xbf\xbd";

struct utf8_sequence {
    std::size_t length;
    bool valid;
};

/// The character at the start of `text`, or the longest start of a character there that is cut
/// short (Unicode 15, table 3-7). A byte that starts no character has a length of 1.
/// @param text not empty.
utf8_sequence first_sequence(std::string_view text)
{
    auto const byte_at
        = [text](std::size_t index) -> unsigned { return static_cast<unsigned char>(text[index]); };
    unsigned const lead = byte_at(0);
    if (lead < 0x80)
        return {1, true};
    if (lead < 0xc2 || lead > 0xf4)
        return {1, false};
    std::size_t length = 2;
    if (lead >= 0xf0)
        length = 4;
    else if (lead >= 0xe0)
        length = 3;
    // The second byte tells overlong forms, surrogates and values above 10FFFF.
    unsigned lowest = 0x80;
    unsigned highest = 0xbf;
    switch (lead) {
    case 0xe0:
        lowest = 0xa0;
        break;
    case 0xed:
        highest = 0x9f;
        break;
    case 0xf0:
        lowest = 0x90;
        break;
    case 0xf4:
        highest = 0x8f;
        break;
    default:
        break;
    }
    for (std::size_t index = 1; index < length; ++index) {
        if (index == text.size() || byte_at(index) < lowest || byte_at(index) > highest)
            return {index, false};
        lowest = 0x80;
        highest = 0xbf;
    }
    return {length, true};
}

bool is_short_ascii(std::string_view value)
{
    return value.size() <= longest_value_bytes
        && std::all_of(value.begin(), value.end(),
                       [](char character) { return static_cast<unsigned char>(character) < 0x80; });
}

/// `value` as valid UTF-8 of at most `longest_value_bytes`.
std::string to_log_text(std::string_view value)
{
    std::string text;
    while (!value.empty()) {
        auto const sequence = first_sequence(value);
        auto const character
            = sequence.valid ? value.substr(0, sequence.length) : replacement_character;
        if (text.size() + character.size() > longest_value_bytes - cut_mark.size())
            return text.append(cut_mark);
        text += character;
        value.remove_prefix(sequence.length);
    }
    return text;
}

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
    if (this->enabled)
        this->line = format_event(this->description);
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
    std::string replaced;
    if (!is_short_ascii(value)) {
        replaced = to_log_text(value);
        value = replaced;
    }
    if (json || needs_quotes(value))
        append_escaped(this->line, value);
    else
        this->line += value;
    return *this;
}

} // namespace greengagehead::base
