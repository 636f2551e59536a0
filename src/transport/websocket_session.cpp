// WebSocket sessions over websocketpp with its iostream transport, which does no I/O of its own.

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
    using connection_pointer = typename Endpoint::connection_ptr;
    using message_pointer = typename Endpoint::message_ptr;

    session(websocket_callbacks session_callbacks, std::size_t max_message_bytes)
        : callbacks(std::move(session_callbacks))
    {
        this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
        this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
        this->endpoint.set_max_message_size(max_message_bytes);
    }

    session(session const&) = delete;
    session& operator=(session const&) = delete;

    ~session() override
    {
        if (!this->connection)
            return;
        // A pending read handler keeps the connection alive; eof() releases the handler.
        this->connection->set_fail_handler(nullptr);
        this->connection->set_close_handler(nullptr);
        this->connection->set_write_handler([](websocketpp::connection_hdl const& /*handle*/,
                                               char const* /*bytes*/,
                                               std::size_t /*size*/) { return std::error_code(); });
        this->connection->eof();
    }

    void attach(connection_pointer new_connection)
    {
        this->connection = std::move(new_connection);
        this->connection->set_write_handler(
            [this](websocketpp::connection_hdl const&, char const* bytes, std::size_t size) {
                this->callbacks.output(bytes, size);
                return std::error_code();
            });
        this->connection->set_open_handler(
            [this](websocketpp::connection_hdl const&) { this->callbacks.opened(); });
        this->connection->set_message_handler(
            [this](websocketpp::connection_hdl const&, message_pointer const& message) {
                this->callbacks.message(std::move(message->get_raw_payload()));
            });
        auto const report_close = [this](websocketpp::connection_hdl const&) {
            this->callbacks.closed(this->connection->get_ec().message());
        };
        this->connection->set_close_handler(report_close);
        this->connection->set_fail_handler(report_close);
    }

    void feed(char const* bytes, std::size_t size) override
    {
        std::size_t consumed_bytes = 0;
        while (consumed_bytes < size) {
            std::size_t const read_bytes
                = this->connection->read_some(bytes + consumed_bytes, size - consumed_bytes);
            if (read_bytes == 0)
                return;
            consumed_bytes += read_bytes;
        }
    }

    void set_max_message_bytes(std::size_t size) override
    {
        this->connection->set_max_message_size(size);
    }

    bool send(std::string_view message) override
    {
        return !this->connection->send(message.data(), message.size(),
                                       websocketpp::frame::opcode::binary);
    }

protected:
    Endpoint endpoint;
    connection_pointer connection;
    websocket_callbacks callbacks;
};

class server_session final : public session<server_endpoint> {
public:
    using session::session;

    void open() { this->attach(this->endpoint.get_connection()); }
    void start() override { this->connection->start(); }
};

class client_session final : public session<client_endpoint> {
public:
    using session::session;

    bool open(std::string const& host)
    {
        std::error_code failure;
        auto new_connection = this->endpoint.get_connection("ws://" + host + "/", failure);
        if (failure)
            return false;
        this->attach(std::move(new_connection));
        return true;
    }

    void start() override { this->endpoint.connect(this->connection); }
};

} // namespace

std::unique_ptr<websocket_session> websocket_session::accept(websocket_callbacks callbacks,
                                                             std::size_t max_message_bytes)
{
    auto created = std::make_unique<server_session>(std::move(callbacks), max_message_bytes);
    created->open();
    return created;
}

std::unique_ptr<websocket_session> websocket_session::connect(std::string const& host,
                                                              websocket_callbacks callbacks,
                                                              std::size_t max_message_bytes)
{
    auto created = std::make_unique<client_session>(std::move(callbacks), max_message_bytes);
    return created->open(host) ? std::move(created) : nullptr;
}

} // namespace greengagehead::transport
