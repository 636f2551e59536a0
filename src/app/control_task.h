// Control role: replicated log and control_core joined to links and the data folder.

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

class control_task : public role_task {
public:
    control_task(settings::process_settings const& settings, adapter_set const& adapters);
    ~control_task() override;
    control_task(control_task const&) = delete;
    control_task& operator=(control_task const&) = delete;

    /// Opens the links, then reads the data folder. Returns the address for links.
    /// Errors: `error_step::listen`, `error_step::recover`.
    base::result<transport::socket_address> open(settings::process_settings const& settings);

protected:
    void controls_configured(std::vector<std::string> const& peers) override;
    void tick(base::steady_time now) override;
    void begin_shutdown(base::steady_time now) override;
    [[nodiscard]] bool idle() const override;

private:
    base::result<void> open_log(settings::process_settings const& settings,
                                transport::socket_address const& address);
    void receive(std::string const& peer, protocol::message const& body);
    void flush_later();
    /// Links to members that joined after this member's settings were written.
    void dial_new_members();

    storage::posix_file_system files;
    std::unique_ptr<consensus::durable_log> log;
    control::local_requests requests;
    std::unique_ptr<control::control_core> core;
    std::unique_ptr<role_adapter> adapter; // Null without a deployment adapter.
    bool flush_pending = false;
    std::set<std::string> configured; // Peer names in the settings, this member included.
    base::steady_time last_dial;
};

} // namespace greengagehead::app
