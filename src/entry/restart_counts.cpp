// Counts of restarts and their summary line.

#include "entry/restart_counts.h"

#include "base/log_record.h"

namespace greengagehead::entry {

void restart_counts::record(std::string const& reason)
{
    bool const is_known = this->counts.contains(reason);
    ++this->counts[is_known || this->counts.size() < max_reasons ? reason : "other"];
}

void restart_counts::log() const
{
    if (this->counts.empty())
        return;
    std::string text;
    for (auto const& [reason, count] : this->counts)
        text += (text.empty() ? "" : "; ") + reason + ": " + std::to_string(count);
    base::log_record(base::log_event::restarts_counted).with("reasons", text);
}

} // namespace greengagehead::entry
