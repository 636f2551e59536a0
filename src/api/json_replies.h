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

[[nodiscard]] int http_status(base::error_code code);

/// `{"error": {"code", "message", "step", "peer"}}` without any statement on what has run.
[[nodiscard]] transport::http_response error_response(base::error const& failure);
[[nodiscard]] transport::http_response error_response(int status, base::error const& failure);

/// Reply to a submission.
[[nodiscard]] transport::http_response submit_response(entry::submit_reply const& reply);

/// Reply to a query or a cancellation of a job.
[[nodiscard]] transport::http_response job_response(std::string const& job,
                                                    protocol::job_reply const& reply, bool explain);

/// Reply to a request that control handled.
[[nodiscard]] transport::http_response control_response(protocol::control_result const& result);

[[nodiscard]] nlohmann::json status_json(entry::entry_status const& status);
[[nodiscard]] nlohmann::json control_json(protocol::control_status const& status);

/// Dumps JSON, replacing invalid UTF-8.
[[nodiscard]] std::string dump(nlohmann::json const& value);

} // namespace greengagehead::api
