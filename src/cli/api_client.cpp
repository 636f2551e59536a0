// Blocking HTTP calls. Each client runs its own event loop.

#include "cli/api_client.h"

#include <cctype>
#include <optional>
#include <string_view>

namespace greengagehead::cli {

api_client::api_client(std::string const& base_url, std::string bearer_token)
    : url(base_url), token(std::move(bearer_token)), client(this->loop)
{
}

base::result<transport::http_client_response> api_client::call(request const& api_request)
{
    BOOST_OUTCOME_TRY(target, transport::parse_http_url(this->url));
    transport::http_client_request http_request;
    http_request.method = api_request.method;
    http_request.address = target.first;
    http_request.path = target.second + api_request.path;
    http_request.headers = api_request.headers;
    if (!this->token.empty())
        http_request.headers.emplace_back("Authorization", "Bearer " + this->token);
    http_request.body = api_request.body;
    http_request.timeout = api_request.timeout;

    transport::http_client_response response;
    this->client.send(http_request, [&](transport::http_client_response&& received) {
        response = std::move(received);
        this->loop.stop();
    });
    this->loop.run();
    if (response.status == transport::http_client_status::not_sent)
        return base::error {base::error_code::unavailable, base::error_step::connect, this->url,
                            "cannot connect to " + this->url};
    if (response.status == transport::http_client_status::no_answer)
        return base::error {base::error_code::unavailable, base::error_step::run, this->url,
                            "no complete response from " + this->url};
    return response;
}

std::string percent_encode_segment(std::string const& text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char const character : text) {
        auto const byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0
            || std::string_view("-._~").find(character) != std::string::npos) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace greengagehead::cli
