// JSON bodies and HTTP status codes of the entry's replies. The table of codes is in docs/api.md.

#pragma once

#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "base/error.h"
#include "entry/entry_core.h"
#include "protocol/command.h"
#include "transport/http_server.h"

namespace greengagehead::api {

/// Status code of the reply to a request that failed with `code`.
[[nodiscard]] int http_status(base::error_code code);

/// `{"error": {"code", "message", "step", "peer"}}`. Does not state whether any task has run.
[[nodiscard]] transport::http_response error_response(base::error const& failure);
[[nodiscard]] transport::http_response error_response(int status, base::error const& failure);

/// Reply to a submission.
[[nodiscard]] transport::http_response submit_response(entry::submit_reply const& reply);

/// Reply to a query or a cancellation of a job.
[[nodiscard]] transport::http_response job_response(std::string const& job,
                                                    protocol::job_reply const& reply, bool explain);

/// Reply to a request that was forwarded to the control leader.
[[nodiscard]] transport::http_response control_response(protocol::control_result const& result);

[[nodiscard]] nlohmann::json status_json(entry::entry_status const& status);
[[nodiscard]] nlohmann::json control_json(protocol::control_status const& status);

/// Serializes JSON without line breaks; invalid UTF-8 is replaced.
[[nodiscard]] std::string dump(nlohmann::json const& value);

} // namespace greengagehead::api
