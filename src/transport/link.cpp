// Authentication, heartbeat and framing of a link.
//
// After the WebSocket handshake each side sends a hello frame: a random nonce and its name. Each
// side then proves that it knows the fleet key with a proof frame: an HMAC over its role (acceptor
// or connector), the peer's nonce, its own nonce and its name. The nonces prevent replay of
// recorded proofs; the role prevents reflection of a proof to its sender.

#include "transport/link.h"

#include <array>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log_record.h"
#include "protocol/codec.h"
#include "transport/event_loop.h"
#include "transport/guarded_call.h"
#include "transport/socket_address.h"
#include "transport/websocket_session.h"

namespace greengagehead::transport {

namespace {

constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t max_message_bytes = 64UL * 1024 * 1024;
/// A hello or a proof has a nonce or a digest and a peer name.
constexpr std::size_t max_handshake_message_bytes = 4UL * 1024;
/// Bytes of a peer that is not authenticated: the HTTP headers of the handshake, a hello and a
/// proof take under 2 KiB. The read that ends with the proof may hold 16 KiB of messages after it.
constexpr std::size_t max_handshake_bytes = 32UL * 1024;

std::string random_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes {};
    RAND_bytes(bytes.data(), nonce_bytes);
    return {bytes.begin(), bytes.end()};
}

std::string hmac_sha256(std::string const& key, std::string const& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    std::vector<unsigned char> const input(text.begin(), text.end());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), input.data(), input.size(),
         digest.data(), &size);
    return {digest.begin(), digest.begin() + size};
}

/// HMAC that a proof frame carries.
/// @param prover_is_acceptor whether the side that proves itself has accepted the connection.
std::string make_proof(std::string const& key, bool prover_is_acceptor,
                       std::string const& verifier_nonce, std::string const& prover_nonce,
                       std::string const& name)
{
    return hmac_sha256(key,
                       (prover_is_acceptor ? "a" : "c") + verifier_nonce + prover_nonce + name);
}

} // namespace

link::link(event_loop& io_loop, int socket, link_identity const& local_identity,
           link_timing timing_settings)
    : loop(io_loop), identity(local_identity), timing(timing_settings), is_acceptor(true),
      stream(bufferevent_socket_new(io_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      last_receive_time(std::chrono::steady_clock::now())
{
    set_no_delay(socket);
    this->open_session(true, {});
    this->session->start();
    this->flush();
}

link::link(event_loop& io_loop, socket_address const& address, link_identity const& local_identity,
           link_timing timing_settings)
    : loop(io_loop), identity(local_identity), timing(timing_settings), is_acceptor(false),
      stream(bufferevent_socket_new(io_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      last_receive_time(std::chrono::steady_clock::now())
{
    this->open_session(false, address.to_string());
    this->connect_timer = this->loop.after(this->timing.connect_timeout, [this] {
        if (this->state != stage::ready)
            this->close("not connected in time");
    });
    auto native_address = to_sockaddr(address);
    bufferevent_socket_connect(this->stream, reinterpret_cast<sockaddr*>(&native_address),
                               sizeof native_address);
}

link::~link()
{
    bufferevent_free(this->stream);
}

int link::descriptor() const
{
    return bufferevent_getfd(this->stream);
}

void link::open_session(bool accepting, std::string const& host)
{
    websocket_callbacks callbacks;
    callbacks.output
        = [this](char const* bytes, std::size_t size) { this->outgoing.append(bytes, size); };
    callbacks.message = [this](std::string&& message) { this->handle_frame(message); };
    callbacks.opened = [this] { this->begin_authentication(); };
    callbacks.closed = [this](std::string const& reason) { this->close(reason); };
    this->session = accepting
        ? websocket_session::accept(std::move(callbacks), max_handshake_message_bytes)
        : websocket_session::connect(host, std::move(callbacks), max_handshake_message_bytes);

    bufferevent_setcb(this->stream, &link::on_read, nullptr, &link::on_event, this);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    this->next_heartbeat_check = this->last_receive_time + this->timing.heartbeat_interval;
}

void link::begin_authentication()
{
    this->state = stage::authenticating;
    this->local_nonce = random_nonce();
    this->send_frame(frame::hello, this->local_nonce + this->identity.name);
}

void link::handle_frame(std::string const& bytes)
{
    if (bytes.empty() || this->state == stage::closed)
        return;
    auto const kind = static_cast<frame>(bytes.front());
    if (kind == frame::heartbeat)
        return;
    if (this->state == stage::ready && kind == frame::message) {
        auto decoded = protocol::decode_message(std::string_view(bytes).substr(1));
        if (!decoded) {
            base::log_record(base::log_event::message_rejected)
                .with("peer", this->peer_name)
                .with("reason", decoded.error().message);
            return;
        }
        this->message_received.emit(decoded.value(), bytes.size() - 1);
        return;
    }
    if (this->state == stage::authenticating && kind == frame::hello)
        return this->handle_hello(bytes.substr(1));
    if (this->state == stage::authenticating && kind == frame::proof)
        return this->handle_proof(bytes.substr(1));
    this->close("unexpected frame");
}

void link::handle_hello(std::string const& body)
{
    if (body.size() <= nonce_bytes || !this->claimed_name.empty())
        return this->close("malformed hello");
    this->peer_nonce = body.substr(0, nonce_bytes);
    this->claimed_name = body.substr(nonce_bytes);
    this->send_frame(frame::proof,
                     make_proof(this->identity.fleet_key, this->is_acceptor, this->peer_nonce,
                                this->local_nonce, this->identity.name));
}

void link::handle_proof(std::string const& body)
{
    if (this->claimed_name.empty())
        return this->close("proof without hello");
    std::string const expected
        = make_proof(this->identity.fleet_key, !this->is_acceptor, this->local_nonce,
                     this->peer_nonce, this->claimed_name);
    if (body.size() != expected.size()
        || CRYPTO_memcmp(body.data(), expected.data(), expected.size()) != 0) {
        base::log_record(base::log_event::peer_refused)
            .with("peer", this->claimed_name)
            .with("reason", "wrong fleet key");
        return this->close("peer does not know the fleet key");
    }
    this->peer_name = this->claimed_name;
    this->state = stage::ready;
    this->session->set_max_message_bytes(max_message_bytes);
    this->became_ready.emit();
}

std::size_t link::send(protocol::message const& body)
{
    if (this->state != stage::ready)
        return 0;
    auto const bytes = protocol::encode(body);
    this->send_frame(frame::message, bytes);
    return bytes.size();
}

void link::send_frame(frame kind, std::string_view body)
{
    std::string bytes(1, static_cast<char>(kind));
    bytes += body;
    this->session->send(bytes);
    this->flush();
    this->last_send_time = std::chrono::steady_clock::now();
}

void link::flush()
{
    auto const bytes = std::exchange(this->outgoing, {});
    if (bytes.empty() || this->state == stage::closed)
        return;
    std::string_view rest = bytes;
    // A write of libevent takes two changes of the poll set and a wake-up besides the write itself.
    if (evbuffer_get_length(bufferevent_get_output(this->stream)) == 0) {
        auto const written = write(bufferevent_getfd(this->stream), rest.data(), rest.size());
        if (written > 0)
            rest.remove_prefix(static_cast<std::size_t>(written));
    }
    // Errors of the write come up again there, and close the link.
    if (!rest.empty())
        bufferevent_write(this->stream, rest.data(), rest.size());
}

void link::check_heartbeat(base::steady_time now)
{
    if (this->state == stage::closed || now < this->next_heartbeat_check)
        return;
    this->next_heartbeat_check = now + this->timing.heartbeat_interval;
    if (now - this->last_receive_time > this->timing.heartbeat_timeout)
        return this->close("silent for too long");
    // Any frame shows the peer that the link works. The time without one is at most one and a half
    // intervals, and the time between two calls.
    bool const sent_lately = now - this->last_send_time < this->timing.heartbeat_interval / 2;
    if (this->state == stage::ready && !sent_lately)
        this->send_frame(frame::heartbeat, {});
}

void link::close(std::string const& reason)
{
    if (this->state == stage::closed)
        return;
    this->state = stage::closed;
    this->connect_timer.reset();
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    this->closed.emit(reason);
}

void link::on_read(bufferevent* source, void* self)
{
    auto& self_link = *static_cast<link*>(self);
    self_link.last_receive_time = std::chrono::steady_clock::now();
    evbuffer* const input = bufferevent_get_input(source);
    while (self_link.state != stage::closed) {
        std::size_t const size = evbuffer_get_contiguous_space(input);
        if (size == 0)
            return;
        if (self_link.state != stage::ready) {
            self_link.handshake_bytes += size;
            if (self_link.handshake_bytes > max_handshake_bytes)
                return self_link.close(handshake_too_large);
        }
        std::string bytes(size, '\0');
        evbuffer_remove(input, bytes.data(), size);
        if (!guarded_call("message", [&] { self_link.session->feed(bytes.data(), bytes.size()); }))
            return self_link.close("a message caused an internal error");
        self_link.flush();
    }
}

void link::on_event(bufferevent* source, short what, void* self)
{
    auto& self_link = *static_cast<link*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        set_no_delay(bufferevent_getfd(source));
        self_link.session->start();
        self_link.flush();
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        self_link.close((what & BEV_EVENT_EOF) != 0 ? "closed by peer" : "connection failed");
}

} // namespace greengagehead::transport
