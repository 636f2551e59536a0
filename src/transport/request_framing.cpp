// Lines, lengths and chunks of an HTTP request.

#include "transport/request_framing.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>

namespace greengagehead::transport {

namespace {

/// Enough for the headers that frame a body, with some spaces before the value.
constexpr std::size_t max_kept_line_bytes = 128;
constexpr std::size_t chunk_end_bytes = 2;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::string_view trim_left(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
    return text;
}

/// The number at the beginning of `text`; the largest one if it is out of range.
std::optional<std::uint64_t> read_number(std::string_view text, int base)
{
    std::uint64_t number = 0;
    auto const read = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (read.ec == std::errc::result_out_of_range)
        return std::numeric_limits<std::uint64_t>::max();
    if (read.ec != std::errc())
        return std::nullopt;
    return number;
}

} // namespace

request_framing::progress request_framing::feed(std::string_view bytes)
{
    while (!bytes.empty() && !this->is_over()) {
        if (this->next == step::content || this->next == step::chunk_data) {
            this->skip_content(bytes);
            continue;
        }
        this->take_line_byte(bytes.front());
        bytes.remove_prefix(1);
    }
    return this->current;
}

void request_framing::reset()
{
    *this = request_framing(this->body_limit_bytes);
}

bool request_framing::is_over() const
{
    return this->current != progress::head && this->current != progress::body;
}

void request_framing::take_line_byte(char byte)
{
    if (byte == '\n')
        return this->end_line();
    ++this->line_bytes;
    if (this->line.size() < max_kept_line_bytes)
        this->line += byte;
}

void request_framing::skip_content(std::string_view& bytes)
{
    auto const size = std::min<std::uint64_t>(this->remaining_bytes, bytes.size());
    bytes.remove_prefix(size);
    this->remaining_bytes -= size;
    if (this->remaining_bytes == 0)
        this->end_content();
}

void request_framing::end_line()
{
    if (!this->line.empty() && this->line.back() == '\r' && this->line_bytes == this->line.size()) {
        this->line.pop_back();
        --this->line_bytes;
    }
    switch (this->next) {
    case step::head_line:
        this->end_head_line();
        break;
    case step::chunk_size:
        this->end_chunk_size();
        break;
    case step::trailer:
        if (this->line_bytes == 0)
            this->current = progress::complete;
        break;
    case step::content:
    case step::chunk_data:
        break;
    }
    this->line.clear();
    this->line_bytes = 0;
}

void request_framing::end_head_line()
{
    if (this->line_bytes == 0 && this->lines == 0) {
        this->current = progress::unknown;
        return;
    }
    if (this->line_bytes == 0) {
        this->current = progress::body;
        return this->end_head();
    }
    ++this->lines;
    auto const colon = this->line.find(':');
    if (colon == std::string::npos)
        return;
    auto const name = to_lower(this->line.substr(0, colon));
    auto const value = std::string(trim_left(std::string_view(this->line).substr(colon + 1)));
    if (name == "content-length") {
        auto const number = read_number(value, decimal);
        this->announced_bytes = std::max(this->announced_bytes, number.value_or(0));
    }
    if (name == "transfer-encoding")
        this->chunked = this->chunked || to_lower(value).starts_with("chunked");
}

void request_framing::end_head()
{
    if (this->chunked) {
        this->next = step::chunk_size;
        return;
    }
    if (this->announced_bytes > this->body_limit_bytes) {
        this->current = progress::too_large;
        return;
    }
    this->remaining_bytes = this->announced_bytes;
    this->next = step::content;
    if (this->remaining_bytes == 0)
        this->current = progress::complete;
}

void request_framing::end_chunk_size()
{
    auto const size = read_number(trim_left(this->line), hexadecimal);
    if (!size) {
        this->current = progress::unknown;
        return;
    }
    if (*size == 0) {
        this->next = step::trailer;
        return;
    }
    if (*size > this->body_limit_bytes - this->body_bytes) {
        this->current = progress::too_large;
        return;
    }
    this->body_bytes += *size;
    this->remaining_bytes = *size + chunk_end_bytes;
    this->next = step::chunk_data;
}

void request_framing::end_content()
{
    if (this->next == step::content)
        this->current = progress::complete;
    else
        this->next = step::chunk_size;
}

} // namespace greengagehead::transport
