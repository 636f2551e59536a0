// Entry role: connects entry_core to the links and the HTTP interface.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "api/entry_routes.h"
#include "app/adapter.h"
#include "app/role_task.h"
#include "entry/entry_core.h"
#include "settings/process_settings.h"
#include "transport/http_server.h"

namespace greengagehead::app {

/// Thread, listeners and links of the entry role.
class entry_task : public role_task {
public:
    /// @param controls the control members to connect to.
    entry_task(settings::process_settings const& initial_settings,
               std::vector<settings::peer_settings> const& controls, adapter_set const& adapters,
               std::shared_ptr<transport::connection_guard> connections);
    ~entry_task() override;
    entry_task(entry_task const&) = delete;
    entry_task& operator=(entry_task const&) = delete;

    /// Opens the link listener and returns its address. Errors: `error_step::listen`.
    base::result<transport::socket_address> open_links();
    /// Opens the HTTP listener and returns its address. Errors: `error_step::listen`.
    base::result<transport::socket_address> open_http();

protected:
    void controls_configured(std::vector<std::string> const& peers) override;
    void tick(base::steady_time now) override;
    void begin_shutdown(base::steady_time now) override;
    void close_intake() override;
    [[nodiscard]] bool intake_closed() const override;
    void close_idle_connections() override;
    void answer_all(base::steady_time now) override;
    [[nodiscard]] bool idle() const override;
    [[nodiscard]] std::size_t open_requests() const override;

private:
    /// Keeps links to the entries of the view, also to those that no setting names.
    void dial_entries(protocol::view const& view);

    settings::process_settings settings;
    entry::entry_core core;
    api::entry_routes routes;
    transport::http_server server;
    std::unique_ptr<role_adapter> adapter; // Null without an adapter.
    // Set at shutdown: from the first failing /readyz until new jobs are refused.
    std::unique_ptr<transport::loop_timer> leave_timer;
    // Set at shutdown: expires when no further requests are accepted.
    std::unique_ptr<transport::loop_timer> intake_timer;
    // Set at shutdown: expires when all callers still waiting must be answered.
    std::unique_ptr<transport::loop_timer> last_reply_timer;
    std::set<std::string> dialed_entries; // Peer names of those that `dial_entries` dials.
    bool leave_pending = false; // Invariant: true while leave_timer runs.
};

} // namespace greengagehead::app
