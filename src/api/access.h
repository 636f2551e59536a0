// Bearer tokens: which team or operator a request comes from, and what it may touch.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/process_settings.h"

namespace greengagehead::transport {
struct http_request;
}

namespace greengagehead::api {

/// Who sent a request.
struct caller {
    enum class kind : std::uint8_t { anonymous, team, administrator };
    kind what = kind::anonymous;
    std::string team; ///< Only for `kind::team`.

    /// A team may touch its own jobs and its own subtree of the settings, an operator everything.
    [[nodiscard]] bool may_use_team(std::string const& wanted) const;
    [[nodiscard]] bool may_use_path(std::string const& path) const;
    [[nodiscard]] bool may_operate() const { return this->what == kind::administrator; }
};

class access {
public:
    /// Without tokens every caller counts as an operator.
    explicit access(std::vector<settings::token_settings> tokens);

    [[nodiscard]] caller identify(transport::http_request const& request) const;

private:
    std::vector<settings::token_settings> tokens;
};

/// SHA-256 of `text` as lower-case hex digits.
[[nodiscard]] std::string sha256_hex(std::string const& text);

} // namespace greengagehead::api
