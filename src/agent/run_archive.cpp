// Storage and expiry of archived runs, by job.

#include "agent/run_archive.h"

#include <charconv>
#include <iterator>

namespace greengagehead::agent {

namespace {

constexpr std::size_t word_digits = 16;
constexpr int hexadecimal = 16;

/// Runs examined per call of `expire`, which is called 100 times per second.
constexpr std::size_t sweep_runs = 256;

/// Reads 16 lower-case hex digits.
std::optional<std::uint64_t> read_word(std::string const& text, std::size_t begin)
{
    char const* const first = text.data() + begin;
    char const* const last = first + word_digits;
    // Accepting upper-case digits would map two different ids to one key.
    for (char const* digit = first; digit != last; ++digit) {
        if (*digit >= 'A' && *digit <= 'F')
            return std::nullopt;
    }
    std::uint64_t word = 0;
    auto const [end, failure] = std::from_chars(first, last, word, hexadecimal);
    if (failure != std::errc() || end != last)
        return std::nullopt;
    return word;
}

} // namespace

bool run_archive::accepts(std::string const& job, attempt_record const& record)
{
    return record.phase == attempt_phase::finished && !record.details && !record.idempotent
        && record.kind != protocol::outcome_kind::not_run && run_archive::pack(job);
}

void run_archive::put(std::string const& job, attempt_record const& record)
{
    this->runs.emplace(
        run_archive::pack(job).value(),
        archived_run {record.finished_at, record.epoch, record.index, record.attempt, record.kind});
}

std::vector<attempt_record> run_archive::take(std::string const& job)
{
    std::vector<attempt_record> taken;
    auto const packed = run_archive::pack(job);
    if (!packed)
        return taken;
    auto const [first, last] = this->runs.equal_range(*packed);
    for (auto item = first; item != last; ++item) {
        auto const& run = item->second;
        auto& record = taken.emplace_back();
        record.index = run.index;
        record.attempt = run.attempt;
        record.epoch = run.epoch;
        record.kind = run.kind;
        record.acknowledged = true;
        record.finished_at = run.finished_at;
    }
    this->runs.erase(first, last);
    return taken;
}

void run_archive::expire(base::steady_time limit)
{
    auto run = this->runs.lower_bound(this->sweep_position);
    for (std::size_t examined = 0; examined < sweep_runs && run != this->runs.end(); ++examined)
        run = run->second.finished_at < limit ? this->runs.erase(run) : std::next(run);
    this->sweep_position = run == this->runs.end() ? packed_job {} : run->first;
}

std::optional<run_archive::packed_job> run_archive::pack(std::string const& job)
{
    if (job.size() != 2 * word_digits)
        return std::nullopt;
    auto const high = read_word(job, 0);
    auto const low = read_word(job, word_digits);
    if (!high || !low)
        return std::nullopt;
    return packed_job {*high, *low};
}

} // namespace greengagehead::agent
