// Identity of a submission: its job id and the digest of its content.

#pragma once

#include <string>

#include "protocol/identity.h"
#include "protocol/job.h"

namespace greengagehead::entry {

/// First 128 bits of SHA-256 over team and submission, in hex. Equal on every entry.
[[nodiscard]] std::string job_id_of(std::string const& team, std::string const& submission);

/// Id of an ephemeral job. It differs between entries and between their lives, because none of them
/// knows what another has run.
[[nodiscard]] std::string ephemeral_job_id(std::string const& team, std::string const& submission,
                                           protocol::process_id const& entry);

/// SHA-256 in hex over everything the caller submitted.
[[nodiscard]] std::string content_digest(protocol::job_request const& request);

} // namespace greengagehead::entry
