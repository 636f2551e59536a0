// Hourly generations of sorted keys.

#include "state/tombstone_set.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <iterator>
#include <stdexcept>

namespace greengagehead::state {

namespace {

constexpr std::size_t merge_step = 8192;

std::int64_t hour_of(protocol::wall_time time)
{
    return std::chrono::floor<std::chrono::hours>(time).count();
}

} // namespace

void tombstone_set::add(job_key const& key, protocol::wall_time at)
{
    auto& target = this->hours[hour_of(at)];
    target.fresh.insert(key);
    if (target.fresh.size() >= merge_step)
        merge(target);
}

std::vector<job_key> tombstone_set::merged(generation const& source)
{
    std::vector<job_key> keys;
    keys.reserve(source.sorted.size() + source.fresh.size());
    std::set_union(source.sorted.begin(), source.sorted.end(), source.fresh.begin(),
                   source.fresh.end(), std::back_inserter(keys));
    return keys;
}

void tombstone_set::merge(generation& target)
{
    target.sorted = merged(target);
    target.fresh.clear();
}

bool tombstone_set::contains(job_key const& key) const
{
    return std::any_of(this->hours.begin(), this->hours.end(), [&key](auto const& item) {
        auto const& keys = item.second;
        return keys.fresh.contains(key)
            || std::binary_search(keys.sorted.begin(), keys.sorted.end(), key);
    });
}

bool tombstone_set::has_expired(protocol::wall_time before) const
{
    return !this->hours.empty() && this->hours.begin()->first < hour_of(before);
}

void tombstone_set::forget(protocol::wall_time before)
{
    while (this->has_expired(before))
        this->hours.erase(this->hours.begin());
}

std::size_t tombstone_set::size() const
{
    std::size_t total = 0;
    for (auto const& [hour, keys] : this->hours)
        total += keys.sorted.size() + keys.fresh.size();
    return total;
}

std::vector<tombstone_image> tombstone_set::image() const
{
    std::vector<tombstone_image> images;
    for (auto const& [hour, source] : this->hours) {
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
        throw std::out_of_range("tombstones of uneven length");
    auto& keys = this->hours[image.hour].sorted;
    keys.resize(image.keys.size() / width);
    for (std::size_t index = 0; index < keys.size(); ++index)
        std::memcpy(keys[index].bytes.data(), image.keys.data() + index * width, width);
}

} // namespace greengagehead::state
