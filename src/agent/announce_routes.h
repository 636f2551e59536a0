// HTTP interface of the agent on the loopback address, through which endpoints announce themselves.

#pragma once

#include <memory>

#include "transport/http_server.h"

namespace greengagehead::agent {

class agent_core;

/// Handler for `transport::http_server`:
/// - `POST /v1/announce` with an announcement, repeated as a heartbeat: 200 `{}`.
/// - `DELETE /v1/announce/NAME`: 200 `{}`, or 404.
/// - `GET /healthz`: 200.
/// Errors are answered with status 4xx and `{"error":{"code","message"}}`.
class announce_routes {
public:
    explicit announce_routes(agent_core& core) : core(core) { }

    void operator()(transport::http_request& request,
                    std::shared_ptr<transport::http_exchange> const& exchange);

private:
    [[nodiscard]] transport::http_response answer(transport::http_request const& request);
    [[nodiscard]] transport::http_response announce(transport::http_request const& request);
    [[nodiscard]] transport::http_response leave(transport::http_request const& request);

    agent_core& core;
};

} // namespace greengagehead::agent
