// Which calls are denied, and what answers say about the worker's start.

#include "agent/identity_faults.h"

namespace greengagehead::agent::fakes {

namespace {

constexpr std::uint64_t largest_offset_ms = 1000;

} // namespace

void identity_faults::deny(denied_calls calls, base::steady_time until)
{
    this->denied = calls;
    this->denied_until = until;
    this->denials_left = calls == denied_calls::one ? 1 : 3;
}

bool identity_faults::denies(leased_worker::call_context const& context)
{
    if (this->world.now >= this->denied_until)
        return false;
    switch (this->denied) {
    case denied_calls::one:
    case denied_calls::three:
        if (this->denials_left == 0)
            return false;
        --this->denials_left;
        return true;
    case denied_calls::with_id:
        return !context.incarnation.id.empty();
    case denied_calls::all:
        return true;
    }
    return false;
}

void identity_faults::misstate_born(born_fault stated, std::uint32_t percent,
                                    base::steady_time until)
{
    this->fault = stated;
    this->fault_percent = percent;
    this->fault_until = until;
    this->fault_offset = this->draw_offset();
}

std::optional<std::uint64_t> identity_faults::stated_born(std::uint64_t born)
{
    if (this->world.now >= this->fault_until || !this->world.chance(this->fault_percent))
        return born;
    switch (this->fault) {
    case born_fault::missing:
        return {};
    case born_fault::off:
        return born + static_cast<std::uint64_t>(this->fault_offset);
    case born_fault::off_variably:
        return born + static_cast<std::uint64_t>(this->draw_offset());
    }
    return born;
}

std::int64_t identity_faults::draw_offset()
{
    auto const size = static_cast<std::int64_t>(this->world.draw(1, largest_offset_ms));
    return this->world.chance(50) ? size : -size;
}

} // namespace greengagehead::agent::fakes
