// How often tasks were queued again, by the reason for which an attempt ended without a result.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace greengagehead::entry {

class restart_counts {
public:
    /// A task is queued again because an attempt of it has ended for this reason.
    void record(std::string const& reason);

    [[nodiscard]] std::map<std::string, std::uint64_t> const& by_reason() const
    {
        return this->counts;
    }
    /// Logs all counts as `restarts_counted`, or nothing if there are none.
    void log() const;

private:
    /// Further reasons share one count: some come from endpoints.
    static constexpr std::size_t max_reasons = 32;

    std::map<std::string, std::uint64_t> counts;
};

} // namespace greengagehead::entry
