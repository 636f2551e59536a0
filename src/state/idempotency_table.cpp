// Lookup and bounded retention of changes.

#include "state/change_memory.h"

#include <utility>

namespace greengagehead::state {

namespace {

constexpr std::size_t longest_key = 256;

protocol::change_result invalid(std::string message)
{
    return {protocol::change_status::invalid, {}, 0, std::move(message)};
}

} // namespace

std::optional<protocol::change_result> change_memory::find(std::string const& key,
                                                           std::string const& content) const
{
    if (key.size() > longest_key)
        return invalid("an idempotency key has at most 256 bytes");
    auto const known = this->changes.find(key);
    if (known == this->changes.end())
        return std::nullopt;
    if (known->second.content != content)
        return invalid("the idempotency key was used for another change");
    return known->second.result;
}

void change_memory::remember(std::string const& key, std::string const& content,
                             protocol::change_result const& result)
{
    if (key.empty() || !this->changes.emplace(key, remembered_change {key, content, result}).second)
        return;
    this->order.push_back(key);
    if (this->order.size() <= limit)
        return;
    this->changes.erase(this->order.front());
    this->order.pop_front();
}

std::vector<remembered_change> change_memory::image() const
{
    std::vector<remembered_change> image;
    image.reserve(this->order.size());
    for (auto const& key : this->order)
        image.push_back(this->changes.at(key));
    return image;
}

void change_memory::restore(std::vector<remembered_change> const& image)
{
    *this = {};
    for (auto const& item : image)
        this->remember(item.key, item.content, item.result);
}

} // namespace greengagehead::state
