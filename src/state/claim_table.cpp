// Claiming, finishing, takeover and expiry of jobs.

#include "state/claim_table.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "state/entry_table.h"

namespace greengagehead::state {

namespace {

using protocol::claim_status;

/// Longest deadline that a job may have. Expiry assumes it for every running claim, because a claim
/// may name no deadline.
constexpr std::chrono::milliseconds max_deadline {600'000};

base::error malformed(std::string const& job)
{
    return {base::error_code::invalid_argument,
            base::error_step::claim,
            {},
            "job id must be 32 and digest 64 hex digits: " + job};
}

std::uint32_t to_deadline_ms(std::chrono::milliseconds deadline)
{
    return static_cast<std::uint32_t>(
        std::clamp(deadline, std::chrono::milliseconds(0), max_deadline).count());
}

} // namespace

claim_table::claim_table(claim_limits limits) : limits(limits) { }

claim_table::record claim_table::make_record(protocol::job_claim const& claim,
                                             content_digest const& digest)
{
    record created;
    created.digest = digest;
    created.submission = claim.submission;
    created.claimed_at = claim.claimed_at;
    created.epoch = static_cast<std::uint32_t>(claim.epoch);
    created.deadline_ms = to_deadline_ms(claim.deadline);
    created.team = this->names.acquire(claim.team);
    created.owner = this->owners.acquire(claim.owner);
    created.backup = this->names.acquire(claim.backup);
    return created;
}

protocol::job_claim claim_table::to_claim(job_key const& job, record const& source) const
{
    protocol::job_claim claim;
    claim.job = to_hex(job);
    claim.digest = to_hex(source.digest);
    claim.team = this->names.value(source.team);
    claim.submission = source.submission;
    claim.owner = this->owners.value(source.owner);
    claim.backup = this->names.value(source.backup);
    claim.epoch = source.epoch;
    claim.deadline = std::chrono::milliseconds(source.deadline_ms);
    claim.claimed_at = source.claimed_at;
    claim.finished = source.finish_number != 0;
    claim.state = source.state;
    claim.ran = source.ran;
    return claim;
}

base::result<protocol::claim_result> claim_table::claim(protocol::job_claim const& requested,
                                                        std::uint64_t request_id,
                                                        protocol::wall_time applied_at)
{
    auto const job = parse_id<16>(requested.job);
    auto const digest = parse_id<32>(requested.digest);
    if (!job || !digest)
        return malformed(requested.job);
    auto const found = this->claims.find(*job);
    if (found != this->claims.end())
        return this->claim_existing(found, requested, *digest, request_id, applied_at);
    if (this->tombstones.contains(*job))
        return protocol::claim_result {claim_status::expired, requested};
    auto created = this->make_record(requested, *digest);
    created.claimed_at = applied_at;
    created.epoch = 1;
    created.request_id = request_id;
    auto const added = this->claims.emplace(*job, std::move(created)).first;
    this->running.insert(*job);
    return protocol::claim_result {claim_status::granted, this->to_claim(*job, added->second)};
}

protocol::claim_result claim_table::claim_existing(claim_map::iterator found,
                                                   protocol::job_claim const& requested,
                                                   content_digest const& digest,
                                                   std::uint64_t request_id,
                                                   protocol::wall_time applied_at)
{
    auto& [job, record] = *found;
    bool const same_owner = this->owners.value(record.owner) == requested.owner;
    bool const resent = same_owner && record.request_id == request_id;
    if (record.digest != digest)
        return {claim_status::digest_conflict, this->to_claim(job, record)};
    if (record.state == protocol::job_state::refused && record.finish_number != 0 && !resent) {
        auto const epoch = record.epoch + 1;
        this->names.release(record.team);
        this->names.release(record.backup);
        this->owners.release(record.owner);
        record = this->make_record(requested, digest);
        record.claimed_at = applied_at;
        record.epoch = epoch;
        record.request_id = request_id;
        this->running.insert(job);
        return {claim_status::granted, this->to_claim(job, record)};
    }
    bool const granted = same_owner && record.finish_number == 0 && record.takeover == 0;
    return {granted ? claim_status::granted : claim_status::existing, this->to_claim(job, record)};
}

void claim_table::finish(protocol::job_finish const& request, protocol::wall_time applied_at)
{
    auto const job = parse_id<16>(request.job);
    auto const found = job ? this->claims.find(*job) : this->claims.end();
    if (found == this->claims.end() || request.state == protocol::job_state::running)
        return;
    auto& record = found->second;
    if (record.finish_number != 0 || record.epoch != request.epoch)
        return;
    record.state = request.state;
    record.ran = request.ran;
    this->set_finished(*job, record, applied_at);
    if (this->claims.size() - this->running.size() > this->limits.max_finished)
        this->expire_oldest(applied_at);
}

void claim_table::set_finished(job_key const& job, record& target, protocol::wall_time applied_at)
{
    target.finish_number = ++this->finish_count;
    this->finished.push_back({target.finish_number, applied_at, job});
    this->running.erase(job);
}

void claim_table::set_owner(record& target, protocol::process_id const& owner)
{
    auto const previous = target.owner;
    target.owner = this->owners.acquire(owner);
    this->owners.release(previous);
}

bool claim_table::take_over(protocol::take_over const& request, entry_table const& entries)
{
    bool moved = false;
    for (auto const& job : this->running) {
        auto& record = this->claims.at(job);
        if (this->owners.value(record.owner) != request.lost)
            continue;
        auto const* successor = entries.find(this->names.value(record.backup));
        if (successor == nullptr)
            successor = entries.find(request.fallback);
        if (successor == nullptr)
            continue;
        if (!moved)
            ++this->takeovers;
        moved = true;
        this->set_owner(record, successor->id);
        this->names.release(record.backup);
        record.backup = this->names.acquire({});
        ++record.epoch;
        record.takeover = this->takeovers;
    }
    return moved;
}

void claim_table::expire(protocol::expire_claims const& request, protocol::wall_time applied_at)
{
    this->drop_outdated();
    for (std::uint32_t count = 0; count < request.limit; ++count) {
        if (this->finished.empty() || this->finished.front().finished_at >= request.before)
            break;
        this->expire_oldest(applied_at);
    }
    this->expire_abandoned(request, applied_at);
    this->tombstones.drop_expired(request.tombstones_before);
}

/// False when the job was claimed again or its claim was replaced by a tombstone.
bool claim_table::is_current(finished_claim const& candidate) const
{
    auto const found = this->claims.find(candidate.job);
    return found != this->claims.end() && found->second.finish_number == candidate.finish_number;
}

void claim_table::drop_outdated()
{
    while (!this->finished.empty() && !this->is_current(this->finished.front()))
        this->finished.pop_front();
}

void claim_table::expire_oldest(protocol::wall_time applied_at)
{
    this->drop_outdated();
    auto const job = this->finished.front().job;
    this->finished.pop_front();
    this->replace_by_tombstone(this->claims.find(job), applied_at);
    this->drop_outdated();
}

void claim_table::replace_by_tombstone(claim_map::iterator found, protocol::wall_time applied_at)
{
    auto const& [job, record] = *found;
    this->names.release(record.team);
    this->names.release(record.backup);
    this->owners.release(record.owner);
    this->tombstones.add(job, applied_at);
    this->running.erase(job);
    this->claims.erase(found);
}

void claim_table::expire_abandoned(protocol::expire_claims const& request,
                                   protocol::wall_time applied_at)
{
    std::vector<job_key> abandoned;
    for (auto const& job : this->running)
        if (this->claims.at(job).claimed_at + max_deadline < request.before)
            abandoned.push_back(job);
    for (auto const& job : abandoned)
        this->replace_by_tombstone(this->claims.find(job), applied_at);
}

bool claim_table::has_expirable(protocol::wall_time before,
                                protocol::wall_time tombstones_before) const
{
    auto const oldest = this->oldest_running();
    return (!this->finished.empty() && this->finished.front().finished_at < before)
        || (oldest && *oldest + max_deadline < before)
        || this->tombstones.has_expired(tombstones_before);
}

std::optional<protocol::job_claim> claim_table::find(std::string const& job) const
{
    auto const key = parse_id<16>(job);
    auto const found = key ? this->claims.find(*key) : this->claims.end();
    if (found == this->claims.end())
        return std::nullopt;
    return this->to_claim(found->first, found->second);
}

bool claim_table::expired(std::string const& job) const
{
    auto const key = parse_id<16>(job);
    return key && this->tombstones.contains(*key);
}

std::size_t claim_table::running_count(protocol::process_id const& owner) const
{
    auto const count
        = std::count_if(this->running.begin(), this->running.end(), [&](auto const& job) {
              return this->owners.value(this->claims.at(job).owner) == owner;
          });
    return static_cast<std::size_t>(count);
}

std::vector<protocol::process_id> claim_table::running_owners() const
{
    std::set<std::uint32_t> numbers;
    for (auto const& job : this->running)
        numbers.insert(this->claims.at(job).owner);
    std::vector<protocol::process_id> list;
    list.reserve(numbers.size());
    for (auto const number : numbers)
        list.push_back(this->owners.value(number));
    std::sort(list.begin(), list.end());
    return list;
}

protocol::takeover_notice claim_table::taken_over_by(protocol::process_id const& owner) const
{
    protocol::takeover_notice notice {owner, {}, 0};
    for (auto const& job : this->running) {
        auto const& record = this->claims.at(job);
        if (record.takeover == 0 || this->owners.value(record.owner) != owner)
            continue;
        notice.claims.push_back(this->to_claim(job, record));
        notice.sequence = std::max(notice.sequence, record.takeover);
    }
    return notice;
}

std::optional<protocol::wall_time> claim_table::oldest_running() const
{
    std::optional<protocol::wall_time> oldest;
    for (auto const& job : this->running) {
        auto const claimed_at = this->claims.at(job).claimed_at;
        oldest = oldest ? std::min(*oldest, claimed_at) : claimed_at;
    }
    return oldest;
}

std::size_t claim_table::size() const
{
    return this->claims.size();
}

std::size_t claim_table::tombstone_count() const
{
    return this->tombstones.size();
}

std::uint64_t claim_table::takeover_count() const
{
    return this->takeovers;
}

void claim_table::visit(std::function<void(claim_image const&)> const& visitor) const
{
    auto const visit_claim = [&](job_key const& job, protocol::wall_time finished_at) {
        auto const& record = this->claims.at(job);
        visitor({this->to_claim(job, record), record.request_id, record.takeover, finished_at});
    };
    for (auto const& job : this->running)
        visit_claim(job, protocol::wall_time(0));
    for (auto const& claim : this->finished)
        if (this->is_current(claim))
            visit_claim(claim.job, claim.finished_at);
}

std::vector<tombstone_image> claim_table::tombstone_images() const
{
    return this->tombstones.image();
}

void claim_table::restore(claim_image const& image)
{
    auto const job = parse_id<16>(image.claim.job);
    auto const digest = parse_id<32>(image.claim.digest);
    if (!job || !digest || this->claims.contains(*job))
        throw std::out_of_range("invalid or repeated claim of job " + image.claim.job);
    auto created = this->make_record(image.claim, *digest);
    created.request_id = image.request_id;
    created.takeover = image.takeover;
    created.state = image.claim.state;
    created.ran = image.claim.ran;
    auto& added = this->claims.emplace(*job, std::move(created)).first->second;
    if (image.claim.finished)
        this->set_finished(*job, added, image.finished_at);
    else
        this->running.insert(*job);
}

void claim_table::restore(tombstone_image const& image)
{
    this->tombstones.restore(image);
}

void claim_table::restore_takeover_count(std::uint64_t count)
{
    this->takeovers = count;
}

} // namespace greengagehead::state
