// Entry role: entry_core joined to links and the HTTP interface.

#pragma once

#include <memory>
#include <vector>

#include "api/entry_routes.h"
#include "app/adapter.h"
#include "app/role_task.h"
#include "entry/entry_core.h"
#include "settings/process_settings.h"
#include "transport/http_server.h"

namespace greengagehead::app {

class entry_task : public role_task {
public:
    /// @param controls the control members.
    entry_task(settings::process_settings const& settings,
               std::vector<settings::peer_settings> const& controls, adapter_set const& adapters);
    ~entry_task() override;
    entry_task(entry_task const&) = delete;
    entry_task& operator=(entry_task const&) = delete;

    /// Address for links. Errors: `error_step::listen`.
    base::result<transport::socket_address> open_links();
    /// Address for callers. Errors: `error_step::listen`.
    base::result<transport::socket_address> open_http();

protected:
    void controls_configured(std::vector<std::string> const& peers) override;
    void tick(base::steady_time now) override;
    void begin_shutdown(base::steady_time now) override;
    [[nodiscard]] bool idle() const override;

private:
    settings::process_settings settings;
    entry::entry_core core;
    api::entry_routes routes;
    transport::http_server server;
    std::unique_ptr<role_adapter> adapter; // Null without a deployment adapter.
    std::unique_ptr<transport::loop_timer> leave_timer; // Runs while /readyz fails already.
    std::unique_ptr<transport::loop_timer> end_timer; // Runs until the last replies are due.
    bool leaving = false;
};

} // namespace greengagehead::app
