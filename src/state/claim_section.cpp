// Packing and unpacking of claims.

#include "state/claim_section.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <stdexcept>
#include <string_view>

namespace greengagehead::state {

namespace {

constexpr std::size_t number_size_bytes = 8;

/// Numbers of one claim. Their order is part of the snapshot format.
enum class column : std::uint8_t {
    claimed_at,
    request_id,
    takeover,
    finished_at,
    epoch,
    deadline,
    submission_size,
    team,
    backup,
    owner,
    finished,
    state,
    ran,
    count,
};

using row = std::array<std::uint64_t, static_cast<std::size_t>(column::count)>;

std::uint64_t& at(row& numbers, column selected)
{
    return numbers.at(static_cast<std::size_t>(selected));
}

void append_row(std::string& target, row const& numbers)
{
    for (auto const number : numbers)
        for (std::size_t index = 0; index < number_size_bytes; ++index)
            target += static_cast<char>((number >> (8 * index)) & 0xFFU);
}

std::string_view take(std::string_view& source, std::size_t size)
{
    if (source.size() < size)
        throw std::out_of_range("a claim section is truncated");
    auto const front = source.substr(0, size);
    source.remove_prefix(size);
    return front;
}

row take_row(std::string_view& source)
{
    row numbers {};
    for (auto& number : numbers) {
        auto const bytes = take(source, number_size_bytes);
        for (std::size_t index = 0; index < number_size_bytes; ++index)
            number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index]))
                << (8 * index);
    }
    return numbers;
}

template <std::size_t Size> void append_id(std::string& target, std::string const& hex)
{
    auto const id = parse_id<Size>(hex);
    if (!id)
        throw std::out_of_range("invalid job id or digest in a claim");
    target.append(id->bytes.begin(), id->bytes.end());
}

std::string take_hex(std::string_view& source, std::size_t size)
{
    auto const bytes = take(source, size);
    return encode_hex(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

/// Position of `value` in `list`; a new value is appended. `positions` is the reverse index of
/// `list`.
template <typename T>
std::uint64_t index_of(T const& value, std::vector<T>& list, std::map<T, std::uint64_t>& positions)
{
    auto const added = positions.emplace(value, list.size());
    if (added.second)
        list.push_back(value);
    return added.first->second;
}

} // namespace

claim_section pack(std::vector<claim_image> const& claims)
{
    claim_section section;
    std::map<std::string, std::uint64_t> names;
    std::map<protocol::process_id, std::uint64_t> owners;
    for (auto const& image : claims) {
        auto const& claim = image.claim;
        append_id<16>(section.jobs, claim.job);
        append_id<32>(section.digests, claim.digest);
        section.submissions += claim.submission;
        row numbers {};
        at(numbers, column::claimed_at) = static_cast<std::uint64_t>(claim.claimed_at.count());
        at(numbers, column::request_id) = image.request_id;
        at(numbers, column::takeover) = image.takeover;
        at(numbers, column::finished_at) = static_cast<std::uint64_t>(image.finished_at.count());
        at(numbers, column::epoch) = claim.epoch;
        at(numbers, column::deadline) = static_cast<std::uint64_t>(claim.deadline.count());
        at(numbers, column::submission_size) = claim.submission.size();
        at(numbers, column::team) = index_of(claim.team, section.names, names);
        at(numbers, column::backup) = index_of(claim.backup, section.names, names);
        at(numbers, column::owner) = index_of(claim.owner, section.owners, owners);
        at(numbers, column::finished) = claim.finished ? 1 : 0;
        at(numbers, column::state) = static_cast<std::uint64_t>(claim.state);
        at(numbers, column::ran) = static_cast<std::uint64_t>(claim.ran);
        append_row(section.numbers, numbers);
    }
    return section;
}

std::vector<claim_image> unpack(claim_section const& section)
{
    std::vector<claim_image> claims;
    std::string_view jobs = section.jobs;
    std::string_view digests = section.digests;
    std::string_view submissions = section.submissions;
    std::string_view rows = section.numbers;
    while (!rows.empty()) {
        auto numbers = take_row(rows);
        auto& image = claims.emplace_back();
        auto& claim = image.claim;
        claim.job = take_hex(jobs, sizeof(job_key));
        claim.digest = take_hex(digests, sizeof(content_digest));
        claim.submission = take(submissions, at(numbers, column::submission_size));
        claim.claimed_at = protocol::wall_time(at(numbers, column::claimed_at));
        image.request_id = at(numbers, column::request_id);
        image.takeover = at(numbers, column::takeover);
        image.finished_at = protocol::wall_time(at(numbers, column::finished_at));
        claim.epoch = at(numbers, column::epoch);
        claim.deadline = std::chrono::milliseconds(at(numbers, column::deadline));
        claim.team = section.names.at(at(numbers, column::team));
        claim.backup = section.names.at(at(numbers, column::backup));
        claim.owner = section.owners.at(at(numbers, column::owner));
        claim.finished = at(numbers, column::finished) != 0;
        claim.state = static_cast<protocol::job_state>(at(numbers, column::state));
        claim.ran = static_cast<protocol::ran_extent>(at(numbers, column::ran));
    }
    return claims;
}

} // namespace greengagehead::state
