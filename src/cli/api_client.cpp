// Blocking HTTP calls on a private event loop.

#include "cli/api_client.h"

#include <cctype>
#include <optional>
#include <string_view>

namespace greengagehead::cli {

api_client::api_client(std::string const& base_url, std::string bearer)
    : url(base_url), token(std::move(bearer)), client(this->loop)
{
}

base::result<transport::http_client_response> api_client::call(request const& wanted)
{
    BOOST_OUTCOME_TRY(target, transport::parse_http_url(this->url));
    transport::http_client_request outgoing;
    outgoing.method = wanted.method;
    outgoing.address = target.first;
    outgoing.path = target.second + wanted.path;
    outgoing.headers = wanted.headers;
    if (!this->token.empty())
        outgoing.headers.emplace_back("Authorization", "Bearer " + this->token);
    outgoing.body = wanted.body;
    outgoing.timeout = wanted.timeout;

    transport::http_client_response response;
    this->client.send(outgoing, [&](transport::http_client_response&& received) {
        response = std::move(received);
        this->loop.stop();
    });
    this->loop.run();
    if (response.status == transport::http_client_status::not_sent)
        return base::error {base::error_code::unavailable, base::error_step::connect, this->url,
                            "cannot connect to " + this->url};
    if (response.status == transport::http_client_status::no_answer)
        return base::error {base::error_code::unavailable, base::error_step::run, this->url,
                            "no whole answer from " + this->url};
    return response;
}

std::string encode_segment(std::string const& text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char const letter : text) {
        auto const byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || std::string_view("-._~").find(letter) != std::string::npos) {
            encoded += letter;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace greengagehead::cli
