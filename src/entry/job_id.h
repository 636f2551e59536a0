// Identity of a submission: its job id and the digest of its content.

#pragma once

#include <optional>
#include <string>

#include "protocol/identity.h"
#include "protocol/job.h"

namespace greengagehead::entry {

/// First 128 bits of the SHA-256 of team and submission, in hex. The same on every entry.
[[nodiscard]] std::string job_id_of(std::string const& team, std::string const& submission);

/// Id of an ephemeral job. It differs between entries and between incarnations of an entry, because
/// none of them knows what another one has run.
[[nodiscard]] std::string ephemeral_job_id(std::string const& team, std::string const& submission,
                                           protocol::process_id const& entry);

/// Id of a submission in messages between entries, because the id of an ephemeral job differs
/// between entries. No job has such an id.
/// @param key of the submission, as `job_id_of` returns it.
[[nodiscard]] std::string submission_id(std::string const& key);

/// Key of the submission with this id; empty if the id is that of a job.
[[nodiscard]] std::optional<std::string> key_of_submission(std::string const& id);

/// SHA-256 of the whole encoded submission, in hex.
[[nodiscard]] std::string content_digest(protocol::job_request const& request);

} // namespace greengagehead::entry
