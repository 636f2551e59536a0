// Follows where the head and the body of an HTTP request end, without keeping them. It sees a body
// over the limit before the body is read; the request itself is parsed by evhttp.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace greengagehead::transport {

class request_framing {
public:
    enum class progress : std::uint8_t {
        head,
        body,
        complete,
        too_large, ///< The body is over the limit; no further bytes are followed.
        unknown, ///< Malformed: evhttp refuses the request itself.
    };

    explicit request_framing(std::size_t body_limit) : body_limit_bytes(body_limit) { }

    /// Follows the next bytes of the request. Bytes behind its end are ignored.
    progress feed(std::string_view bytes);
    /// Begins the next request.
    void reset();

    [[nodiscard]] progress state() const { return this->current; }
    /// Whether the head announces a body in chunks.
    [[nodiscard]] bool in_chunks() const { return this->chunked; }
    /// Lines of the head so far. Each header takes memory of its own once it is parsed.
    [[nodiscard]] std::size_t head_lines() const { return this->lines; }

private:
    enum class step : std::uint8_t { head_line, content, chunk_size, chunk_data, trailer };

    [[nodiscard]] bool is_over() const;
    void take_line_byte(char byte);
    void skip_content(std::string_view& bytes);
    void end_line();
    void end_head_line();
    void end_head();
    void end_chunk_size();
    void end_content();

    std::size_t body_limit_bytes;
    progress current = progress::head;
    step next = step::head_line;
    std::string line; // The beginning of the current line, at most max_kept_line_bytes.
    std::size_t line_bytes = 0;
    std::size_t lines = 0;
    std::uint64_t announced_bytes = 0; // By Content-Length.
    std::uint64_t remaining_bytes = 0; // Of the body, or of the current chunk with its line end.
    std::uint64_t body_bytes = 0; // Announced by the chunks so far.
    bool chunked = false;
};

} // namespace greengagehead::transport
