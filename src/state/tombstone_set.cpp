// Tombstones in one sorted bucket per hour.

#include "state/tombstone_set.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <iterator>
#include <stdexcept>

namespace greengagehead::state {

namespace {

/// Keys that a bucket collects before they are merged.
constexpr std::size_t merge_threshold = 8192;

std::int64_t hour_of(protocol::wall_time time)
{
    return std::chrono::floor<std::chrono::hours>(time).count();
}

} // namespace

void tombstone_set::add(job_key const& key, protocol::wall_time made_at)
{
    auto& target = this->buckets[hour_of(made_at)];
    target.recent.insert(key);
    if (target.recent.size() >= merge_threshold)
        merge(target);
}

std::vector<job_key> tombstone_set::merged(hour_bucket const& source)
{
    std::vector<job_key> keys;
    keys.reserve(source.sorted.size() + source.recent.size());
    std::set_union(source.sorted.begin(), source.sorted.end(), source.recent.begin(),
                   source.recent.end(), std::back_inserter(keys));
    return keys;
}

void tombstone_set::merge(hour_bucket& target)
{
    target.sorted = merged(target);
    target.recent.clear();
}

bool tombstone_set::contains(job_key const& key) const
{
    return std::any_of(this->buckets.begin(), this->buckets.end(), [&key](auto const& bucket) {
        auto const& keys = bucket.second;
        return keys.recent.contains(key)
            || std::binary_search(keys.sorted.begin(), keys.sorted.end(), key);
    });
}

bool tombstone_set::has_expired(protocol::wall_time before) const
{
    return !this->buckets.empty() && this->buckets.begin()->first < hour_of(before);
}

void tombstone_set::drop_expired(protocol::wall_time before)
{
    while (this->has_expired(before))
        this->buckets.erase(this->buckets.begin());
}

std::size_t tombstone_set::size() const
{
    std::size_t total = 0;
    for (auto const& [hour, keys] : this->buckets)
        total += keys.sorted.size() + keys.recent.size();
    return total;
}

std::vector<tombstone_image> tombstone_set::image() const
{
    std::vector<tombstone_image> images;
    for (auto const& [hour, source] : this->buckets) {
        auto& target = images.emplace_back();
        target.hour = hour;
        for (auto const& key : merged(source))
            target.keys.append(key.bytes.begin(), key.bytes.end());
    }
    return images;
}

void tombstone_set::restore(tombstone_image const& image)
{
    constexpr std::size_t width = sizeof(job_key::bytes);
    if (image.keys.size() % width != 0)
        throw std::out_of_range("the tombstones of an hour are not a whole number of keys");
    auto& keys = this->buckets[image.hour].sorted;
    keys.resize(image.keys.size() / width);
    for (std::size_t index = 0; index < keys.size(); ++index)
        std::memcpy(keys[index].bytes.data(), image.keys.data() + index * width, width);
}

} // namespace greengagehead::state
