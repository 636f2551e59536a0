// Lookup and bounded retention of recorded changes.

#include "state/idempotency_table.h"

#include <utility>

namespace greengagehead::state {

namespace {

constexpr std::size_t max_key_size_bytes = 256;

protocol::change_result invalid(std::string message)
{
    return {protocol::change_status::invalid, {}, 0, std::move(message)};
}

} // namespace

std::optional<protocol::change_result> idempotency_table::find(std::string const& key,
                                                               std::string const& content) const
{
    if (key.size() > max_key_size_bytes)
        return invalid("an idempotency key has at most 256 bytes");
    auto const found = this->changes.find(key);
    if (found == this->changes.end())
        return std::nullopt;
    if (found->second.content != content)
        return invalid("the idempotency key was used for another change");
    return found->second.result;
}

void idempotency_table::record_result(std::string const& key, std::string const& content,
                                      protocol::change_result const& result)
{
    if (key.empty() || !this->changes.emplace(key, recorded_change {key, content, result}).second)
        return;
    this->order.push_back(key);
    if (this->order.size() <= limit)
        return;
    this->changes.erase(this->order.front());
    this->order.pop_front();
}

std::vector<recorded_change> idempotency_table::image() const
{
    std::vector<recorded_change> image;
    image.reserve(this->order.size());
    for (auto const& key : this->order)
        image.push_back(this->changes.at(key));
    return image;
}

void idempotency_table::restore(std::vector<recorded_change> const& image)
{
    *this = {};
    for (auto const& change : image)
        this->record_result(change.key, change.content, change.result);
}

} // namespace greengagehead::state
