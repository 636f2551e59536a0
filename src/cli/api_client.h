// Blocking client of an entry's HTTP interface, for the command line.

#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace greengagehead::cli {

class api_client {
public:
    /// @param url base URL of an entry, "http://IP:PORT".
    api_client(std::string const& url, std::string token);

    struct request {
        transport::http_method method = transport::http_method::get;
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        std::chrono::milliseconds timeout {30'000};
    };

    /// Errors: `invalid_argument` for a malformed URL, `unavailable` when no whole answer came.
    base::result<transport::http_client_response> call(request const& wanted);

private:
    std::string url;
    std::string token;
    transport::event_loop loop;
    transport::http_client client;
};

/// Percent-encodes a path segment.
[[nodiscard]] std::string encode_segment(std::string const& text);

} // namespace greengagehead::cli
