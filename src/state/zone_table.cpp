// Changes of the lists of zones out of service and of draining endpoints.

#include "state/zone_table.h"

#include <utility>

#include "state/setting_schema.h"

namespace greengagehead::state {

namespace {

zone_table::outcome rejected(std::string message)
{
    return {{protocol::change_status::invalid, {}, 0, std::move(message)}};
}

} // namespace

zone_table::outcome zone_table::set_listed(std::set<std::string>& list, std::string const& name,
                                           bool listed, std::string const& key,
                                           protocol::view_number view)
{
    auto const content = (&list == &this->excluded_zones ? "zone\n" : "endpoint\n") + name
        + (listed ? "\nlisted" : "\nunlisted");
    if (auto recorded = this->recorded_changes.find(key, content))
        return {*std::move(recorded)};
    if (!valid_name(name))
        return rejected("a name has 1 to 64 bytes of letters, digits, '-', '_' and '.'");
    if (listed && list.size() >= list_limit && !list.contains(name))
        return rejected("too many names are listed, remove some first");
    bool const changed = listed ? list.insert(name).second : list.erase(name) > 0;
    outcome applied {{protocol::change_status::applied, {}, changed ? view + 1 : view, {}},
                     changed};
    this->recorded_changes.record_result(key, content, applied.result);
    return applied;
}

zone_table::outcome zone_table::put(protocol::put_zone_state const& request,
                                    protocol::view_number view)
{
    return this->set_listed(this->excluded_zones, request.zone, request.out,
                            request.idempotency_key, view);
}

zone_table::outcome zone_table::put(protocol::put_endpoint_drain const& request,
                                    protocol::view_number view)
{
    return this->set_listed(this->draining_endpoints, request.endpoint, request.draining,
                            request.idempotency_key, view);
}

std::vector<std::string> zone_table::zones_out() const
{
    return {this->excluded_zones.begin(), this->excluded_zones.end()};
}

std::vector<std::string> zone_table::draining() const
{
    return {this->draining_endpoints.begin(), this->draining_endpoints.end()};
}

zone_image zone_table::image() const
{
    return {this->zones_out(), this->draining(), this->recorded_changes.image()};
}

void zone_table::restore(zone_image const& image)
{
    this->excluded_zones = {image.zones_out.begin(), image.zones_out.end()};
    this->draining_endpoints = {image.draining.begin(), image.draining.end()};
    this->recorded_changes.restore(image.recorded_changes);
}

} // namespace greengagehead::state
