// Start, reload and shutdown of the roles of one process.

#include "app/process.h"

#include <csignal>
#include <memory>
#include <optional>
#include <utility>

#include <event2/event.h>

#include "app/agent_task.h"
#include "app/connection_settings.h"
#include "app/control_task.h"
#include "app/entry_task.h"
#include "base/log_record.h"
#include "base/log_sink.h"
#include "transport/connection_guard.h"
#include "transport/event_loop.h"

namespace greengagehead::app {

namespace {

using settings::role;

void log_listening(std::string_view listener, transport::socket_address const& address)
{
    base::log_record(base::log_event::listening)
        .with("what", listener)
        .with("address", address.to_string());
}

/// The roles of one process. Members are destroyed in reverse order: agent, entry, control.
class role_set {
public:
    role_set(settings::process_settings initial_settings, adapter_set adapter_factories)
        : settings(std::move(initial_settings)), adapters(std::move(adapter_factories)),
          connections(std::make_shared<transport::connection_guard>(
              connection_limits(this->settings.limits, descriptor_limit())))
    {
    }

    base::result<void> open()
    {
        if (this->settings.has(role::control)) {
            BOOST_OUTCOME_TRYV(this->open_control());
        }
        if (this->settings.has(role::entry)) {
            BOOST_OUTCOME_TRYV(this->open_entry());
        }
        if (this->settings.has(role::agent)) {
            BOOST_OUTCOME_TRYV(this->open_agent());
        }
        return boost::outcome_v2::success();
    }

    /// Applies the one setting that can change without a restart: the control members to connect
    /// to.
    void apply(settings::process_settings const& new_settings)
    {
        base::log_record(base::log_event::settings_reloaded)
            .with("process", new_settings.name)
            .with("controls", new_settings.controls.size());
        auto const links = settings::control_links(new_settings);
        for (role_task* const task : std::initializer_list<role_task*> {
                 this->control.get(), this->entry.get(), this->agent.get()}) {
            if (task != nullptr)
                task->set_controls(links, settings::peer_name(role::control, new_settings.name));
        }
    }

    /// Shuts down the entry, then the agent, then control. The entry needs agents and control until
    /// its last answer, so it stops first.
    void shut_down(transport::event_loop& main_loop, std::function<void()> done)
    {
        role_task* next = nullptr;
        if (this->entry) {
            next = this->entry.get();
        } else if (this->agent) {
            next = this->agent.get();
        } else if (this->control) {
            next = this->control.get();
        }
        if (next == nullptr)
            return done();
        next->shut_down([this, &main_loop, next, on_done = std::move(done)] {
            main_loop.post([this, &main_loop, next, on_done] {
                if (next == this->entry.get())
                    this->entry.reset();
                else if (next == this->agent.get())
                    this->agent.reset();
                else
                    this->control.reset();
                this->shut_down(main_loop, on_done);
            });
        });
    }

private:
    base::result<void> open_control()
    {
        this->control
            = std::make_unique<control_task>(this->settings, this->adapters, this->connections);
        BOOST_OUTCOME_TRY(address, this->control->open(this->settings));
        log_listening("control links", address);
        if (this->settings.controls.empty())
            this->settings.controls.push_back({this->settings.name, address.to_string()});
        this->control->start();
        return boost::outcome_v2::success();
    }

    base::result<void> open_entry()
    {
        this->entry
            = std::make_unique<entry_task>(this->settings, settings::control_links(this->settings),
                                           this->adapters, this->connections);
        BOOST_OUTCOME_TRY(links, this->entry->open_links());
        BOOST_OUTCOME_TRY(http, this->entry->open_http());
        log_listening("entry links", links);
        log_listening("callers", http);
        if (this->settings.entries.empty())
            this->settings.entries.push_back({this->settings.name, links.to_string()});
        this->entry->start();
        return boost::outcome_v2::success();
    }

    base::result<void> open_agent()
    {
        this->agent = std::make_unique<agent_task>(this->settings, this->settings.entries,
                                                   this->adapters, this->connections);
        BOOST_OUTCOME_TRY(address, this->agent->open(this->settings));
        log_listening("announcements", address);
        this->agent->start();
        return boost::outcome_v2::success();
    }

    settings::process_settings settings;
    adapter_set adapters;
    std::shared_ptr<transport::connection_guard> connections; // Of all roles.
    std::unique_ptr<control_task> control;
    std::unique_ptr<entry_task> entry;
    std::unique_ptr<agent_task> agent;
};

/// Calls an action on the event loop whenever one of the given signals arrives.
class signal_watch {
public:
    signal_watch(transport::event_loop& loop, std::vector<int> const& numbers,
                 std::function<void()> action)
        : on_signal(std::move(action))
    {
        for (int const number : numbers) {
            event* const signal_event
                = evsignal_new(loop.base(), number, &signal_watch::fire, this);
            event_add(signal_event, nullptr);
            this->events.push_back(signal_event);
        }
    }

    ~signal_watch()
    {
        for (event* const signal_event : this->events)
            event_free(signal_event);
    }

    signal_watch(signal_watch const&) = delete;
    signal_watch& operator=(signal_watch const&) = delete;

private:
    static void fire(int /*number*/, short /*what*/, void* self)
    {
        static_cast<signal_watch*>(self)->on_signal();
    }

    std::function<void()> on_signal;
    std::vector<event*> events;
};

/// Blocks a signal on this thread for the rest of the process.
void block_signal(int number)
{
    sigset_t blocked {};
    sigemptyset(&blocked);
    sigaddset(&blocked, number);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

} // namespace

base::result<void> run_process(settings::process_settings settings, adapter_set adapters,
                               settings_source reload)
{
    std::signal(SIGPIPE, SIG_IGN);
    transport::event_loop main_loop;
    auto const shutdown_limit = settings.timing.shutdown_limit;
    auto const name = settings.name;
    base::log_record(base::log_event::process_started)
        .with("process", settings.name)
        .with("zone", settings.zone)
        .with("data", settings.data_folder);
    auto roles = std::make_unique<role_set>(std::move(settings), std::move(adapters));

    bool stopping = false;
    bool interrupted = false;
    std::unique_ptr<transport::loop_timer> limit_timer;
    signal_watch const reload_signals(main_loop, {SIGHUP}, [&] {
        auto const new_settings = reload ? reload() : std::nullopt;
        if (new_settings)
            roles->apply(*new_settings);
    });
    auto const begin_stop = [&] {
        if (stopping)
            return;
        stopping = true;
        base::log_record(base::log_event::process_stopping).with("process", name);
        limit_timer = main_loop.after(shutdown_limit, [&main_loop] { main_loop.stop(); });
        roles->shut_down(main_loop, [&main_loop] { main_loop.stop(); });
    };
    signal_watch const terminate_signals(main_loop, {SIGTERM}, begin_stop);
    signal_watch const interrupt_signals(main_loop, {SIGINT}, [&] {
        if (interrupted)
            return main_loop.stop();
        interrupted = true;
        begin_stop();
    });
    // The signals are watched before the first listener opens, so that none ends the process while
    // it has requests. Those that arrive until then are handled when all roles have started.
    BOOST_OUTCOME_TRYV(roles->open());
    main_loop.run();
    base::begin_last_lines();
    base::log_record(base::log_event::process_stopped).with("process", name);
    // The end of the watch restores the default action of SIGTERM. The threads of the roles end
    // before, because a signal that one thread blocks is delivered to another.
    roles.reset();
    block_signal(SIGTERM);
    return boost::outcome_v2::success();
}

} // namespace greengagehead::app
