// Stores each distinct value once and refers to it by a small number, because many claims name the
// same few teams and entries. Values are reference-counted.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace greengagehead::state {

template <typename T> class intern_pool {
public:
    /// Returns the number of `value` and counts one more use of it. The number stays valid until it
    /// has been released as often as it was acquired.
    std::uint32_t acquire(T const& value)
    {
        auto const found = this->numbers.find(value);
        if (found != this->numbers.end()) {
            ++this->slots[found->second].use_count;
            return found->second;
        }
        auto const number = this->take_free_slot();
        this->slots[number] = {value, 1};
        this->numbers.emplace(value, number);
        return number;
    }

    void release(std::uint32_t number)
    {
        auto& slot = this->slots[number];
        if (--slot.use_count > 0)
            return;
        this->numbers.erase(slot.value);
        this->free_slots.push_back(number);
    }

    [[nodiscard]] T const& value(std::uint32_t number) const { return this->slots[number].value; }

private:
    struct slot {
        T value;
        std::uint64_t use_count = 0;
    };

    std::uint32_t take_free_slot()
    {
        if (this->free_slots.empty()) {
            this->slots.emplace_back();
            return static_cast<std::uint32_t>(this->slots.size() - 1);
        }
        auto const number = this->free_slots.back();
        this->free_slots.pop_back();
        return number;
    }

    std::vector<slot> slots; ///< The number of a value is its position here.
    std::vector<std::uint32_t> free_slots;
    std::map<T, std::uint32_t> numbers; ///< Invariant: lists exactly the slots that are in use.
};

} // namespace greengagehead::state
