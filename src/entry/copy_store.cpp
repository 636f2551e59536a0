// Storage and eviction of copies.

#include "entry/copy_store.h"

namespace greengagehead::entry {

namespace {

constexpr std::size_t bytes_per_item = 150;

} // namespace

copy_store::copy_store(std::size_t limit_bytes) : limit(limit_bytes) { }

bool copy_store::store(protocol::job_copy const& copy, base::steady_time now)
{
    auto const found = this->copies.find(copy.job);
    if (found != this->copies.end() && found->second.epoch >= copy.epoch)
        return found->second.epoch == copy.epoch;
    auto size = bytes_per_item;
    for (auto const& task : copy.content.tasks)
        size += bytes_per_item + task.payload.size();
    auto& stored = this->replace(copy.job, size, now);
    stored = {copy.epoch, copy.owner.name, now,
              std::make_shared<protocol::job_request const>(copy.content), nullptr};
    return true;
}

bool copy_store::store(protocol::job_finished_copy const& copy, base::steady_time now)
{
    auto const found = this->copies.find(copy.answer.job);
    if (found != this->copies.end() && found->second.epoch > copy.epoch)
        return false;
    auto size = bytes_per_item;
    for (auto const& task : copy.answer.tasks)
        size += bytes_per_item + task.result.size();
    auto& stored = this->replace(copy.answer.job, size, now);
    stored
        = {copy.epoch, {}, now, nullptr, std::make_shared<protocol::job_answer const>(copy.answer)};
    return true;
}

backup_copy const* copy_store::find(std::string const& job) const
{
    auto const found = this->copies.find(job);
    return found == this->copies.end() ? nullptr : &found->second;
}

backup_copy& copy_store::replace(std::string const& job, std::size_t size, base::steady_time now)
{
    this->eviction_order.push_back({job, size, now});
    this->bytes += size;
    while (this->bytes > this->limit && this->eviction_order.size() > 1)
        this->evict_oldest();
    return this->copies[job];
}

void copy_store::expire_before(base::steady_time time)
{
    while (!this->eviction_order.empty() && this->eviction_order.front().stored_at < time)
        this->evict_oldest();
}

void copy_store::evict_oldest()
{
    auto const& oldest = this->eviction_order.front();
    this->bytes -= oldest.bytes;
    // A copy that was replaced has a later place in `eviction_order`, too.
    auto const found = this->copies.find(oldest.job);
    if (found != this->copies.end() && found->second.received == oldest.stored_at)
        this->copies.erase(found);
    this->eviction_order.pop_front();
}

} // namespace greengagehead::entry
