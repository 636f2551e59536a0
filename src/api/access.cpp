// Token lookup.

#include "api/access.h"

#include <array>
#include <string_view>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "transport/http_server.h"

namespace greengagehead::api {

bool caller::may_use_team(std::string const& wanted) const
{
    return this->may_operate() || (this->what == kind::team && this->team == wanted);
}

bool caller::may_use_path(std::string const& path) const
{
    if (this->may_operate())
        return true;
    std::string const subtree = "/teams/" + this->team;
    return this->what == kind::team && (path == subtree || path.rfind(subtree + "/", 0) == 0);
}

access::access(std::vector<settings::token_settings> known) : tokens(std::move(known)) { }

caller access::identify(transport::http_request const& request) const
{
    if (this->tokens.empty())
        return {caller::kind::administrator, {}};
    static constexpr std::string_view scheme = "Bearer ";
    auto const header = request.headers.find("authorization");
    if (header == request.headers.end() || header->second.rfind(scheme, 0) != 0)
        return {};
    auto const digest = sha256_hex(header->second.substr(scheme.size()));
    caller found;
    for (auto const& token : this->tokens) {
        // Every token is compared, in constant time, so that timing tells nothing about them.
        bool const equal = token.sha256.size() == digest.size()
            && CRYPTO_memcmp(token.sha256.data(), digest.data(), digest.size()) == 0;
        if (equal)
            found = {token.team.empty() ? caller::kind::administrator : caller::kind::team,
                     token.team};
    }
    return found;
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
