// websocketpp with its iostream transport, fed by the owner of the socket.

#include "transport/websocket_session.h"

#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace greengagehead::transport {

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::core>;
using client_endpoint = websocketpp::client<websocketpp::config::core_client>;

template <typename Endpoint> class session : public websocket_session {
public:
    using connection = typename Endpoint::connection_ptr;
    using message_pointer = typename Endpoint::message_ptr;

    session(websocket_events handlers, std::size_t maximum_message_bytes)
        : events(std::move(handlers))
    {
        this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
        this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
        this->endpoint.set_max_message_size(maximum_message_bytes);
    }

    session(session const&) = delete;
    session& operator=(session const&) = delete;

    ~session() override
    {
        if (!this->link)
            return;
        // A pending read handler keeps the connection alive; ending the stream releases it.
        this->link->set_fail_handler(nullptr);
        this->link->set_close_handler(nullptr);
        this->link->set_write_handler([](websocketpp::connection_hdl const& /*handle*/,
                                         char const* /*bytes*/,
                                         std::size_t /*size*/) { return std::error_code(); });
        this->link->eof();
    }

    void attach(connection established)
    {
        this->link = std::move(established);
        this->link->set_write_handler(
            [this](websocketpp::connection_hdl const&, char const* bytes, std::size_t size) {
                this->events.output(bytes, size);
                return std::error_code();
            });
        this->link->set_open_handler(
            [this](websocketpp::connection_hdl const&) { this->events.opened(); });
        this->link->set_message_handler(
            [this](websocketpp::connection_hdl const&, message_pointer const& message) {
                this->events.message(std::move(message->get_raw_payload()));
            });
        auto const report_close = [this](websocketpp::connection_hdl const&) {
            this->events.closed(this->link->get_ec().message());
        };
        this->link->set_close_handler(report_close);
        this->link->set_fail_handler(report_close);
    }

    void feed(char const* bytes, std::size_t size) override
    {
        std::size_t used = 0;
        while (used < size) {
            std::size_t const step = this->link->read_some(bytes + used, size - used);
            if (step == 0)
                return;
            used += step;
        }
    }

    bool send(std::string_view message) override
    {
        return !this->link->send(message.data(), message.size(),
                                 websocketpp::frame::opcode::binary);
    }

protected:
    Endpoint endpoint;
    connection link;
    websocket_events events;
};

class server_session final : public session<server_endpoint> {
public:
    using session::session;

    void open() { this->attach(this->endpoint.get_connection()); }
    void start() override { this->link->start(); }
};

class client_session final : public session<client_endpoint> {
public:
    using session::session;

    bool open(std::string const& host)
    {
        std::error_code failure;
        auto established = this->endpoint.get_connection("ws://" + host + "/", failure);
        if (failure)
            return false;
        this->attach(std::move(established));
        return true;
    }

    void start() override { this->endpoint.connect(this->link); }
};

} // namespace

std::unique_ptr<websocket_session> websocket_session::accept(websocket_events events,
                                                             std::size_t maximum_message_bytes)
{
    auto created = std::make_unique<server_session>(std::move(events), maximum_message_bytes);
    created->open();
    return created;
}

std::unique_ptr<websocket_session> websocket_session::connect(std::string const& host,
                                                              websocket_events events,
                                                              std::size_t maximum_message_bytes)
{
    auto created = std::make_unique<client_session>(std::move(events), maximum_message_bytes);
    return created->open(host) ? std::move(created) : nullptr;
}

} // namespace greengagehead::transport
