// Agent role: connects agent_core to the links, the announcements of endpoints and the endpoint
// runner.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "agent/agent_core.h"
#include "agent/announce_routes.h"
#include "agent/entry_directory.h"
#include "agent/http_endpoint_runner.h"
#include "app/adapter.h"
#include "app/role_task.h"
#include "settings/process_settings.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace greengagehead::app {

/// Thread, listener and links of the agent role.
class agent_task : public role_task {
public:
    /// @param entries the entries to connect to. When empty, the agent asks the control members
    /// for the entries.
    agent_task(settings::process_settings const& initial_settings,
               std::vector<settings::peer_settings> const& entries, adapter_set const& adapters,
               std::shared_ptr<transport::connection_guard> connections);
    ~agent_task() override;
    agent_task(agent_task const&) = delete;
    agent_task& operator=(agent_task const&) = delete;

    /// Opens the announcement listener. Errors: `error_step::listen`.
    base::result<transport::socket_address> open(settings::process_settings const& settings);

protected:
    void controls_configured(std::vector<std::string> const& peers) override;
    void tick(base::steady_time now) override;
    void begin_shutdown(base::steady_time now) override;
    [[nodiscard]] bool idle() const override;

private:
    void connect(std::vector<settings::peer_settings> const& entries);
    void receive(protocol::message& body);

    settings::process_settings settings;
    transport::http_client client;
    agent::http_endpoint_runner runner;
    std::unique_ptr<agent_adapter> adapter; // Null without an adapter.
    agent::agent_core core;
    agent::announce_routes routes;
    transport::http_server server;
    std::unique_ptr<agent::entry_directory> directory; // Null when the settings name the entries.
};

} // namespace greengagehead::app
