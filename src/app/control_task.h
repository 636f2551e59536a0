// Control role: connects the replicated log and control_core to the links and the data folder.

#pragma once

#include <memory>
#include <set>
#include <string>

#include "app/adapter.h"
#include "app/role_task.h"
#include "consensus/durable_log.h"
#include "control/control_core.h"
#include "control/local_requests.h"
#include "settings/process_settings.h"
#include "storage/posix_file_system.h"

namespace greengagehead::app {

/// Thread, links and stored log of the control role.
class control_task : public role_task {
public:
    control_task(settings::process_settings const& settings, adapter_set const& adapters,
                 std::shared_ptr<transport::connection_guard> connections);
    ~control_task() override;
    control_task(control_task const&) = delete;
    control_task& operator=(control_task const&) = delete;

    /// Opens the link listener, then recovers the log from the data folder. Returns the address of
    /// the listener.
    /// Errors: `error_step::listen`, `error_step::recover`.
    base::result<transport::socket_address> open(settings::process_settings const& settings);

protected:
    void controls_configured(std::vector<std::string> const& peers) override;
    void tick(base::steady_time now) override;
    void begin_shutdown(base::steady_time now) override;
    void close_intake() override;
    [[nodiscard]] bool intake_closed() const override;
    void close_idle_connections() override;
    [[nodiscard]] bool idle() const override;
    [[nodiscard]] std::size_t open_requests() const override;

private:
    base::result<void> open_log(settings::process_settings const& settings,
                                transport::socket_address const& address);
    void receive(std::string const& peer, protocol::message const& body);
    /// Schedules a flush of the log, unless one is already scheduled.
    void flush_later();
    /// Opens links to members of the control group that are missing from this member's settings
    /// because they joined later.
    void dial_new_members();

    storage::posix_file_system files;
    std::unique_ptr<consensus::durable_log> log;
    control::local_requests requests;
    std::unique_ptr<control::control_core> core;
    std::unique_ptr<role_adapter> adapter; // Null without an adapter.
    bool flush_pending = false;
    std::set<std::string> configured_peers; // Peer names in the settings, including this member.
    base::steady_time last_dial;
};

} // namespace greengagehead::app
