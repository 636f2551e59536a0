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
    /// @param base_url base URL of an entry, "http://IP:PORT".
    /// @param bearer_token sent with each request; none is sent when it is empty.
    api_client(std::string const& base_url, std::string bearer_token);

    struct request {
        transport::http_method method = transport::http_method::get;
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        std::chrono::milliseconds timeout {30'000};
    };

    /// Sends the request and blocks until the response or the timeout. The HTTP status is not
    /// checked.
    /// Errors: `invalid_argument` for a malformed URL, `unavailable` when the connection failed or
    /// no complete response arrived.
    base::result<transport::http_client_response> call(request const& api_request);

private:
    std::string url;
    std::string token;
    transport::event_loop loop;
    transport::http_client client;
};

/// Percent-encodes one path segment, including any slash in it.
[[nodiscard]] std::string percent_encode_segment(std::string const& text);

} // namespace greengagehead::cli
