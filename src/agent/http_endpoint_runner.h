// Runs tasks on a local endpoint over HTTP.

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
    /// `DELETE <url>/tasks/JOB/INDEX`. The endpoint's answer is ignored.
    void stop(std::string const& url, protocol::task_ref const& task) override;

private:
    void post_result(callback done, run_result result);

    transport::event_loop& loop;
    transport::http_client& client;
};

/// Translates an endpoint's response to the result of the run. Only a request that was not sent,
/// and status 503 with `X-Not-Run: 1`, prove that the task did not run.
[[nodiscard]] run_result read_run_response(transport::http_client_response const& response);

/// Percent-encodes everything except unreserved characters.
[[nodiscard]] std::string encode_path_segment(std::string const& text);

} // namespace greengagehead::agent
