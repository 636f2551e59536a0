// Ids of jobs whose claims have been dropped: 16 bytes each, because a day of them is kept.

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/command.h"
#include "state/job_key.h"

namespace greengagehead::state {

/// Tombstones of one hour in snapshot form.
struct tombstone_image {
    std::int64_t hour = 0;
    std::string keys; ///< Concatenated job keys, sorted.
};

class tombstone_set {
public:
    /// Adds a tombstone made at `at`.
    void add(job_key const& key, protocol::wall_time at);
    [[nodiscard]] bool contains(job_key const& key) const;
    /// Drops whole hours that ended before `before`.
    void forget(protocol::wall_time before);
    [[nodiscard]] bool has_expired(protocol::wall_time before) const;
    [[nodiscard]] std::size_t size() const;

    [[nodiscard]] std::vector<tombstone_image> image() const;
    /// Adds what one image holds. Throws std::out_of_range for an image of uneven length.
    void restore(tombstone_image const& image);

private:
    /// `fresh` is merged into `sorted` in large steps, as inserting single keys into a vector of
    /// millions would move megabytes each time.
    struct generation {
        std::vector<job_key> sorted;
        std::set<job_key> fresh;
    };

    static void merge(generation& target);
    [[nodiscard]] static std::vector<job_key> merged(generation const& source);

    std::map<std::int64_t, generation> hours;
};

} // namespace greengagehead::state
