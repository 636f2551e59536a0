// Sends the requests of a verb to an entry and prints failures in the same format for all verbs.

#pragma once

#include <iostream>
#include <optional>
#include <string>

#include "cli/api_client.h"
#include "cli/command_line.h"
#include "cli/verb_options.h"
#include "protocol/json_document.h"

namespace greengagehead::cli {

/// Connection settings of one verb: the entry, the token and the output format.
class entry_session {
public:
    explicit entry_session(cxxopts::ParseResult const& parsed)
        : client(parsed["entry"].as<std::string>(), parsed["token"].as<std::string>()),
          print_json(parsed.count("json") > 0)
    {
    }

    /// Sends a request and returns the JSON body of a successful response. When the request failed
    /// or was refused, prints the reason and returns nothing.
    std::optional<nlohmann::json> call(api_client::request const& request)
    {
        auto const response = this->client.call(request);
        if (!response) {
            std::cerr << base::describe(response.error()) << "\n";
            return std::nullopt;
        }
        auto body = protocol::parse_json_or(response.value().body,
                                            nlohmann::json(nlohmann::json::value_t::discarded),
                                            protocol::max_answer_depth);
        if (response.value().code >= 200 && response.value().code < 300 && !body.is_discarded())
            return body;
        this->print_failure(response.value().code, body, response.value().body);
        return std::nullopt;
    }

    /// Whether `--json` was given.
    [[nodiscard]] bool json() const { return this->print_json; }

private:
    void print_failure(int code, nlohmann::json const& body, std::string const& text) const
    {
        if (this->print_json && !body.is_discarded()) {
            std::cout << body.dump() << "\n";
            return;
        }
        std::cerr << "request refused with HTTP status " << code << ": ";
        if (body.is_object() && body.contains("error")) {
            auto const& error = body["error"];
            std::cerr << error.value("code", "") << ": " << error.value("message", "");
            if (error.contains("ran"))
                std::cerr << " (ran: " << error["ran"].get<std::string>() << ")";
            if (error.value("retry_after_ms", 0) > 0)
                std::cerr << ", retry after " << error["retry_after_ms"] << " ms";
            std::cerr << "\n";
            return;
        }
        std::cerr << text << "\n";
    }

    api_client client;
    bool print_json;
};

} // namespace greengagehead::cli
