// Membership of zones and endpoints in the two lists.

#include "state/zone_table.h"

#include <utility>

#include "state/setting_schema.h"

namespace greengagehead::state {

namespace {

zone_table::outcome refusal(std::string message)
{
    return {{protocol::change_status::invalid, {}, 0, std::move(message)}};
}

} // namespace

zone_table::outcome zone_table::set_listed(std::set<std::string>& list, std::string const& name,
                                           bool listed, std::string const& key,
                                           protocol::view_number view)
{
    auto const content = (&list == &this->out ? "zone\n" : "endpoint\n") + name
        + (listed ? "\nlisted" : "\nunlisted");
    if (auto known = this->memory.find(key, content))
        return {*std::move(known)};
    if (!valid_name(name))
        return refusal("a name has 1 to 64 bytes of letters, digits, '-', '_' and '.'");
    if (listed && list.size() >= list_limit && !list.contains(name))
        return refusal("too many names are listed, remove some first");
    bool const changed = listed ? list.insert(name).second : list.erase(name) > 0;
    outcome made {{protocol::change_status::applied, {}, changed ? view + 1 : view, {}}, changed};
    this->memory.remember(key, content, made.result);
    return made;
}

zone_table::outcome zone_table::put(protocol::put_zone_state const& request,
                                    protocol::view_number view)
{
    return this->set_listed(this->out, request.zone, request.out, request.idempotency_key, view);
}

zone_table::outcome zone_table::put(protocol::put_endpoint_drain const& request,
                                    protocol::view_number view)
{
    return this->set_listed(this->drained, request.endpoint, request.draining,
                            request.idempotency_key, view);
}

std::vector<std::string> zone_table::zones_out() const
{
    return {this->out.begin(), this->out.end()};
}

std::vector<std::string> zone_table::draining() const
{
    return {this->drained.begin(), this->drained.end()};
}

zone_image zone_table::image() const
{
    return {this->zones_out(), this->draining(), this->memory.image()};
}

void zone_table::restore(zone_image const& image)
{
    this->out = {image.zones_out.begin(), image.zones_out.end()};
    this->drained = {image.draining.begin(), image.draining.end()};
    this->memory.restore(image.remembered);
}

} // namespace greengagehead::state
