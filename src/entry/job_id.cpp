// Ids of submissions and jobs, and SHA-256 digests.

#include "entry/job_id.h"

#include <array>
#include <cstddef>
#include <string_view>

#include <openssl/evp.h>

#include "protocol/codec.h"

namespace greengagehead::entry {

namespace {

constexpr std::size_t job_id_bytes = 16;
constexpr std::size_t digest_bytes = 32;
/// Ids of jobs are hexadecimal.
constexpr std::string_view submission_prefix = "submission:";

std::string sha256_hex(std::string_view data, std::size_t bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    EVP_Digest(data.data(), data.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes * 2);
    for (std::size_t i = 0; i < bytes; ++i) {
        hex += digits[digest.at(i) >> 4U];
        hex += digits[digest.at(i) & 15U];
    }
    return hex;
}

} // namespace

std::string job_id_of(std::string const& team, std::string const& submission)
{
    // The length prefix distinguishes ("ab", "c") from ("a", "bc").
    return sha256_hex(std::to_string(team.size()) + ':' + team + submission, job_id_bytes);
}

std::string ephemeral_job_id(std::string const& team, std::string const& submission,
                             protocol::process_id const& entry)
{
    return job_id_of(team, submission + '@' + entry.name + ':' + std::to_string(entry.incarnation));
}

std::string submission_id(std::string const& key)
{
    return std::string(submission_prefix) + key;
}

std::optional<std::string> key_of_submission(std::string const& id)
{
    if (!id.starts_with(submission_prefix))
        return {};
    return id.substr(submission_prefix.size());
}

std::string content_digest(protocol::job_request const& request)
{
    return sha256_hex(protocol::encode(request), digest_bytes);
}

} // namespace greengagehead::entry
