// Metrics of accounts in the text format.

#pragma once

#include <string>

namespace greengagehead::entry {
struct account_metrics;
}

namespace greengagehead::api {

/// Value of the label `account` for a name of arbitrary bytes. Control characters, backslashes and,
/// in names that are not valid UTF-8, all bytes above ASCII are written as `\xHH`, so that
/// different names have different labels.
[[nodiscard]] std::string account_label(std::string const& account);

/// Appends the counters of the entry and the sums of the fleet. Counters that are 0 are left out.
void append_account_metrics(std::string& text, entry::account_metrics const& metrics);

} // namespace greengagehead::api
