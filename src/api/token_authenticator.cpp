// Token comparison and access checks.

#include "api/token_authenticator.h"

#include <array>
#include <string_view>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "transport/http_server.h"

namespace greengagehead::api {

bool caller::may_use_team(std::string const& team_name) const
{
    return this->may_operate() || (this->level == access_level::team && this->team == team_name);
}

bool caller::may_use_path(std::string const& path) const
{
    if (this->may_operate())
        return true;
    std::string const subtree = "/teams/" + this->team;
    return this->level == access_level::team
        && (path == subtree || path.rfind(subtree + "/", 0) == 0);
}

token_authenticator::token_authenticator(std::vector<settings::token_settings> configured_tokens)
    : tokens(std::move(configured_tokens))
{
}

caller token_authenticator::authenticate(transport::http_request const& request) const
{
    if (this->tokens.empty())
        return {caller::access_level::administrator, {}};
    static constexpr std::string_view scheme = "Bearer ";
    auto const header = request.headers.find("authorization");
    if (header == request.headers.end() || header->second.rfind(scheme, 0) != 0)
        return {};
    auto const digest = sha256_hex(header->second.substr(scheme.size()));
    caller authenticated;
    for (auto const& token : this->tokens) {
        // All tokens are compared, each in constant time, so that response times reveal nothing
        // about them.
        bool const equal = token.sha256.size() == digest.size()
            && CRYPTO_memcmp(token.sha256.data(), digest.data(), digest.size()) == 0;
        if (equal)
            authenticated = {token.team.empty() ? caller::access_level::administrator
                                                : caller::access_level::team,
                             token.team};
    }
    return authenticated;
}

std::string sha256_hex(std::string const& text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int index = 0; index < size; ++index) {
        hex += digits[digest.at(index) >> 4U];
        hex += digits[digest.at(index) & 15U];
    }
    return hex;
}

} // namespace greengagehead::api
