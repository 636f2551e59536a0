// Stores each distinct value once and hands out small numbers for it. Many claims name the same few
// teams and entries.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace greengagehead::state {

template <typename T> class intern_pool {
public:
    /// Number of `value`; it stays valid until it has been released as often as it was acquired.
    std::uint32_t acquire(T const& value)
    {
        auto const known = this->numbers.find(value);
        if (known != this->numbers.end()) {
            ++this->slots[known->second].uses;
            return known->second;
        }
        auto const number = this->take_free_slot();
        this->slots[number] = {value, 1};
        this->numbers.emplace(value, number);
        return number;
    }

    void release(std::uint32_t number)
    {
        auto& slot = this->slots[number];
        if (--slot.uses > 0)
            return;
        this->numbers.erase(slot.value);
        this->free.push_back(number);
    }

    [[nodiscard]] T const& value(std::uint32_t number) const { return this->slots[number].value; }

private:
    struct slot {
        T value;
        std::uint64_t uses = 0;
    };

    std::uint32_t take_free_slot()
    {
        if (this->free.empty()) {
            this->slots.emplace_back();
            return static_cast<std::uint32_t>(this->slots.size() - 1);
        }
        auto const number = this->free.back();
        this->free.pop_back();
        return number;
    }

    std::vector<slot> slots;
    std::vector<std::uint32_t> free;
    std::map<T, std::uint32_t> numbers;
};

} // namespace greengagehead::state
