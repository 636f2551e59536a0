// Agent role: agent_core joined to links, the endpoints' announcements and the endpoint runner.

#pragma once

#include <vector>

#include "agent/agent_core.h"
#include "agent/announce_routes.h"
#include "agent/http_endpoint_runner.h"
#include "app/role_task.h"
#include "settings/process_settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace greengagehead::app {

class agent_task : public role_task {
public:
    /// @param entries the entries to report to.
    agent_task(settings::process_settings const& settings,
               std::vector<settings::peer_settings> const& entries);
    ~agent_task() override;
    agent_task(agent_task const&) = delete;
    agent_task& operator=(agent_task const&) = delete;

    /// Opens the announcement listener. Errors: `error_step::listen`.
    base::result<transport::socket_address> open(settings::process_settings const& settings);

protected:
    void tick(base::steady_time now) override;
    void begin_shutdown(base::steady_time now) override;
    [[nodiscard]] bool idle() const override;

private:
    transport::http_client client;
    agent::http_endpoint_runner runner;
    agent::agent_core core;
    agent::announce_routes routes;
    transport::http_server server;
};

} // namespace greengagehead::app
