// Identity of a submission: its job id and the digest of its content.

#pragma once

#include <string>

#include "protocol/job.h"

namespace greengagehead::entry {

/// First 128 bits of SHA-256 over team and submission, in hex. Equal on every entry.
[[nodiscard]] std::string job_id_of(std::string const& team, std::string const& submission);

/// SHA-256 in hex over everything the caller submitted.
[[nodiscard]] std::string content_digest(protocol::job_request const& request);

} // namespace greengagehead::entry
