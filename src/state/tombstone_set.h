// Tombstones: ids of jobs whose claims have been dropped. They take 16 bytes each, because the
// tombstones of a whole day are kept.

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/command.h"
#include "state/job_key.h"

namespace greengagehead::state {

/// Snapshot form of the tombstones of one hour.
struct tombstone_image {
    std::int64_t hour = 0; ///< Hours since the Unix epoch.
    std::string keys; ///< Concatenated job keys, sorted.
};

class tombstone_set {
public:
    /// Adds the tombstone of a claim that was dropped at `made_at`.
    void add(job_key const& key, protocol::wall_time made_at);
    [[nodiscard]] bool contains(job_key const& key) const;
    /// Drops the tombstones of all hours before the hour of `before`.
    void drop_expired(protocol::wall_time before);
    /// True when `drop_expired` would drop anything.
    [[nodiscard]] bool has_expired(protocol::wall_time before) const;
    [[nodiscard]] std::size_t size() const;

    [[nodiscard]] std::vector<tombstone_image> image() const;
    /// Adds the tombstones of one image. Throws std::out_of_range when its length is not a multiple
    /// of the key size.
    void restore(tombstone_image const& image);

private:
    /// Tombstones of one hour. Keys are collected in `recent` and merged into `sorted` in large
    /// batches: inserting single keys into a vector of millions would move megabytes each time.
    struct hour_bucket {
        std::vector<job_key> sorted;
        std::set<job_key> recent;
    };

    static void merge(hour_bucket& target);
    [[nodiscard]] static std::vector<job_key> merged(hour_bucket const& source);

    std::map<std::int64_t, hour_bucket> buckets; ///< By hours since the Unix epoch.
};

} // namespace greengagehead::state
