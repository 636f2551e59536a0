// Runs tasks over HTTP on the local endpoint.

#pragma once

#include <string>

#include "agent/endpoint_runner.h"

namespace greengagehead::transport {
class event_loop;
class http_client;
struct http_client_response;
} // namespace greengagehead::transport

namespace greengagehead::agent {

class http_endpoint_runner : public endpoint_runner {
public:
    http_endpoint_runner(transport::event_loop& loop, transport::http_client& client);

    /// `POST <url>/tasks/KIND` with the payload as body.
    void start(run_request const& request, callback done) override;
    /// `DELETE <url>/tasks/JOB/INDEX`. The endpoint's answer is not needed.
    void stop(std::string const& url, protocol::task_ref const& task) override;

private:
    void answer_later(callback done, run_result result);

    transport::event_loop& loop;
    transport::http_client& client;
};

/// What an endpoint's response says of the task. Only a refused connection and 503 with
/// `X-Not-Run: 1` prove that it did not run.
[[nodiscard]] run_result read_run_response(transport::http_client_response const& response);

/// Percent-encodes everything except unreserved characters.
[[nodiscard]] std::string encode_path_segment(std::string const& text);

} // namespace greengagehead::agent
