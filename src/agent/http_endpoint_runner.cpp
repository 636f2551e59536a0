// HTTP requests to endpoints and the evaluation of their responses.

#include "agent/http_endpoint_runner.h"

#include <cctype>
#include <memory>
#include <utility>

#include "protocol/json_document.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace greengagehead::agent {

namespace {

using protocol::outcome_kind;
using transport::http_client_status;

constexpr std::chrono::milliseconds stop_timeout {2000};
constexpr int service_unavailable = 503;
constexpr std::size_t max_message_bytes = 500;
/// Outcomes are stored in memory and are sent in one message with others.
constexpr std::size_t max_result_bytes = 4UL * 1024 * 1024;

/// The HTTP client restarts its timeout with every byte, so an endpoint that sends its answer byte
/// by byte could occupy a slot indefinitely. A timer of the runner ends the run after this margin.
constexpr std::chrono::milliseconds timeout_margin {100};

/// A request whose result is reported once, by the response or by the timer.
struct http_run {
    void finish(run_result result)
    {
        this->timeout_timer.reset();
        if (auto const report = std::exchange(this->done, nullptr))
            report(std::move(result), std::chrono::steady_clock::now());
    }

    endpoint_runner::callback done;
    std::unique_ptr<transport::loop_timer> timeout_timer;
    bool sending = true; // Inside http_client::send.
};

run_result read_answer(transport::http_client_response const& response)
{
    if (response.code >= 200 && response.code < 300) {
        if (response.body.size() > max_result_bytes)
            return {outcome_kind::failed, {}, "the endpoint answered with more than 4 MiB"};
        auto const parsed = protocol::parse_json(response.body);
        if (!parsed)
            return {outcome_kind::failed,
                    {},
                    "the endpoint answered 2xx without a JSON body: " + parsed.error().message};
        return {outcome_kind::succeeded, response.body, {}};
    }
    auto const message = "the endpoint answered " + std::to_string(response.code) + ": "
        + response.body.substr(0, max_message_bytes);
    if (response.code >= 400 && response.code < 500)
        return {outcome_kind::failed, {}, message};
    auto const not_run_header = response.headers.find("x-not-run");
    bool const proves_not_run = response.code == service_unavailable
        && not_run_header != response.headers.end() && not_run_header->second == "1";
    return {proves_not_run ? outcome_kind::not_run : outcome_kind::unknown, {}, message};
}

transport::http_client_request to_http(run_request const& request,
                                       std::pair<transport::socket_address, std::string> const& url)
{
    auto const& task = request.task;
    auto const index = std::to_string(task.task.index);
    transport::http_client_request outgoing;
    outgoing.method = transport::http_method::post;
    outgoing.address = url.first;
    outgoing.path = url.second + "/tasks/" + encode_path_segment(task.kind);
    outgoing.headers = {{"Idempotency-Key", task.task.job + "/" + index},
                        {"X-Job", task.task.job},
                        {"X-Task", index},
                        {"X-Attempt", std::to_string(task.attempt)},
                        {"X-Deadline-Ms", std::to_string(request.timeout.count())},
                        {"Content-Type", "application/json"}};
    outgoing.body = task.payload;
    outgoing.timeout = request.timeout;
    return outgoing;
}

} // namespace

http_endpoint_runner::http_endpoint_runner(transport::event_loop& owner,
                                           transport::http_client& http)
    : loop(owner), client(http)
{
}

void http_endpoint_runner::start(run_request const& request, callback done)
{
    auto const url = transport::parse_http_url(request.url);
    if (!url)
        return this->post_result(std::move(done), {outcome_kind::not_run, {}, url.error().message});
    // The process may have been suspended since the agent read the clock.
    if (std::chrono::steady_clock::now() >= request.start_before)
        return this->post_result(std::move(done),
                                 {outcome_kind::not_run,
                                  {},
                                  "the lease or the deadline ended before the request was sent"});
    auto const run = std::make_shared<http_run>();
    run->done = std::move(done);
    run->timeout_timer
        = this->loop.after(request.timeout + timeout_margin, [weak = std::weak_ptr(run)] {
              if (auto const timed_out = weak.lock())
                  timed_out->finish(
                      {outcome_kind::unknown, {}, "the endpoint did not answer in time"});
          });
    this->client.send(to_http(request, url.value()),
                      [this, run](transport::http_client_response&& response) {
                          // The client reports some failures before `send` returns.
                          if (run->sending)
                              return this->loop.post([run, result = read_run_response(response)] {
                                  run->finish(result);
                              });
                          run->finish(read_run_response(response));
                      });
    run->sending = false;
}

void http_endpoint_runner::stop(std::string const& url, protocol::task_ref const& task)
{
    auto const address = transport::parse_http_url(url);
    if (!address)
        return;
    transport::http_client_request outgoing;
    outgoing.method = transport::http_method::del;
    outgoing.address = address.value().first;
    outgoing.path = address.value().second + "/tasks/" + encode_path_segment(task.job) + "/"
        + std::to_string(task.index);
    outgoing.timeout = stop_timeout;
    this->client.send(outgoing, [](transport::http_client_response&& /*response*/) {});
}

void http_endpoint_runner::post_result(callback done, run_result result)
{
    this->loop.post([done = std::move(done), result = std::move(result)] {
        done(result, std::chrono::steady_clock::now());
    });
}

run_result read_run_response(transport::http_client_response const& response)
{
    switch (response.status) {
    case http_client_status::answered:
        return read_answer(response);
    case http_client_status::not_sent:
        return {outcome_kind::not_run, {}, "the request did not reach the endpoint"};
    default:
        return {outcome_kind::unknown, {}, "the endpoint sent no complete answer"};
    }
}

std::string encode_path_segment(std::string const& text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    static constexpr std::string_view unreserved = "-._~";
    std::string encoded;
    for (char const letter : text) {
        auto const byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || unreserved.find(letter) != std::string_view::npos) {
            encoded += letter;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 0xFU];
        }
    }
    return encoded;
}

} // namespace greengagehead::agent
