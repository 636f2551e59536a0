// Authentication by bearer token: identifies the team or operator that sent a request, and what it
// may access.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/process_settings.h"

namespace greengagehead::transport {
struct http_request;
}

namespace greengagehead::api {

/// Sender of a request.
struct caller {
    /// `administrator` stands for an operator's token.
    enum class access_level : std::uint8_t { anonymous, team, administrator };
    access_level level = access_level::anonymous;
    std::string team; ///< Only for `access_level::team`.

    /// True for the caller's own team and for operators. Covers the jobs of the team.
    [[nodiscard]] bool may_use_team(std::string const& team_name) const;
    /// True for `/teams/TEAM` of the caller's own team and the settings below it, and for
    /// operators.
    [[nodiscard]] bool may_use_path(std::string const& path) const;
    [[nodiscard]] bool may_operate() const { return this->level == access_level::administrator; }
};

/// Compares the bearer token of a request with the configured tokens.
class token_authenticator {
public:
    /// Without configured tokens every caller counts as an operator.
    explicit token_authenticator(std::vector<settings::token_settings> configured_tokens);

    /// An anonymous caller when the token is missing or unknown.
    [[nodiscard]] caller authenticate(transport::http_request const& request) const;

private:
    std::vector<settings::token_settings> tokens;
};

/// SHA-256 of `text` as lower-case hex digits.
[[nodiscard]] std::string sha256_hex(std::string const& text);

} // namespace greengagehead::api
