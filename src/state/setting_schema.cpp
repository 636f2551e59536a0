// Rules of the settings, matching of paths, and the check of names.

#include "state/setting_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace greengagehead::state {

namespace {

constexpr std::size_t max_name_size_bytes = 64;

constexpr std::array rules {
    setting_rule {"/teams/TEAM/weight", 1, 1000, "share of slots relative to other teams"},
    setting_rule {"/teams/TEAM/share_percent", 1, 100,
                  "most of the fleet's served slot time while other teams wait"},
    setting_rule {"/teams/TEAM/quota_slots", 0, 100'000, "most slots used at once, 0 for no limit"},
    setting_rule {"/teams/TEAM/queue_limit", 1, 1'000'000, "most tasks waiting at one entry"},
    setting_rule {"/teams/TEAM/deadline_ms", 1, 600'000, "deadline of jobs that declare none"},
    setting_rule {"/teams/TEAM/hedge_percent", 0, 50, "hedges per hundred first attempts"},
    setting_rule {"/teams/TEAM/retry_percent", 0, 100, "retries per hundred first attempts"},
    setting_rule {"/teams/TEAM/kinds/KIND/expected_ms", 1, 600'000, "initial run time estimate"},
    setting_rule {"/teams/TEAM/kinds/KIND/timeout_ms", 1, 600'000, "longest run time of a task"},
};

struct code_range {
    char32_t first;
    char32_t last;
};

/// Code point ranges above ASCII without letters: control characters, Latin-1 symbols, punctuation,
/// symbols, surrogates, private use, variation selectors, emoji. Unassigned code points are not
/// listed.
constexpr std::array non_letters {
    code_range {0x80, 0xA9},     code_range {0xAB, 0xB4},       code_range {0xB6, 0xB9},
    code_range {0xBB, 0xBF},     code_range {0xD7, 0xD7},       code_range {0xF7, 0xF7},
    code_range {0x2000, 0x2BFF}, code_range {0x3000, 0x3004},   code_range {0x3008, 0x3020},
    code_range {0xD800, 0xF8FF}, code_range {0xFE00, 0xFE1F},   code_range {0xFEFF, 0xFEFF},
    code_range {0xFFF0, 0xFFFF}, code_range {0x1F000, 0x1FFFF}, code_range {0xE0000, 0x10FFFF},
};

bool may_be_letter(char32_t code)
{
    return std::none_of(non_letters.begin(), non_letters.end(), [code](code_range const& range) {
        return code >= range.first && code <= range.last;
    });
}

bool is_ascii_name_byte(unsigned char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
        || (byte >= '0' && byte <= '9') || byte == '-' || byte == '_' || byte == '.';
}

/// Removes one multi-byte character from the front of `text` and returns its code point. Empty for
/// malformed or overlong UTF-8.
std::optional<char32_t> take_multibyte(std::string_view& text)
{
    auto const lead = static_cast<unsigned char>(text.front());
    std::size_t const size = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : lead >= 0xC2 ? 2 : 0;
    if (size == 0 || lead > 0xF4 || text.size() < size)
        return std::nullopt;
    char32_t code = lead & (0xFFU >> (size + 1));
    for (std::size_t index = 1; index < size; ++index) {
        auto const byte = static_cast<unsigned char>(text[index]);
        if ((byte & 0xC0U) != 0x80U)
            return std::nullopt;
        code = (code << 6U) | (byte & 0x3FU);
    }
    constexpr std::array<char32_t, 5> min_code_by_size {0, 0, 0x80, 0x800, 0x10000};
    if (code < min_code_by_size.at(size))
        return std::nullopt;
    text.remove_prefix(size);
    return code;
}

std::string_view take_segment(std::string_view& path)
{
    auto const end = path.find('/', 1);
    auto const segment = path.substr(0, end);
    path.remove_prefix(segment.size());
    return segment;
}

bool matches(std::string_view pattern, std::string_view path)
{
    while (!pattern.empty() && !path.empty()) {
        auto const expected = take_segment(pattern);
        auto const segment = take_segment(path);
        bool const is_placeholder = expected == "/TEAM" || expected == "/KIND";
        if (is_placeholder ? !valid_name(segment.substr(1)) : segment != expected)
            return false;
    }
    return pattern.empty() && path.empty();
}

base::error unknown_path(std::string_view path)
{
    std::string message = "no setting at " + std::string(path) + "; settings are";
    for (auto const& rule : rules)
        message.append(" ").append(rule.pattern);
    message += " with TEAM and KIND of 1 to 64 bytes of letters, digits, '-', '_' and '.'";
    return {base::error_code::not_found, base::error_step::settings, {}, std::move(message)};
}

} // namespace

std::span<setting_rule const> setting_rules()
{
    return rules;
}

bool valid_name(std::string_view name)
{
    if (name.empty() || name.size() > max_name_size_bytes
        || name.find_first_not_of('.') == std::string_view::npos)
        return false;
    while (!name.empty()) {
        if (is_ascii_name_byte(static_cast<unsigned char>(name.front()))) {
            name.remove_prefix(1);
            continue;
        }
        if (static_cast<unsigned char>(name.front()) < 0x80)
            return false;
        auto const code = take_multibyte(name);
        if (!code || !may_be_letter(*code))
            return false;
    }
    return true;
}

base::result<std::string> check_setting(std::string_view path, std::string_view value)
{
    auto const* rule
        = std::find_if(rules.begin(), rules.end(), [path](setting_rule const& candidate) {
              return !path.empty() && path.front() == '/' && matches(candidate.pattern, path);
          });
    if (rule == rules.end())
        return unknown_path(path);
    std::int64_t number = 0;
    auto const parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    bool const is_whole_number = parsed.ec == std::errc()
        && parsed.ptr == value.data() + value.size() && std::to_string(number) == value;
    if (!is_whole_number || number < rule->minimum || number > rule->maximum)
        return base::error {base::error_code::invalid_argument,
                            base::error_step::settings,
                            {},
                            std::string(path) + " must be a whole number from "
                                + std::to_string(rule->minimum) + " to "
                                + std::to_string(rule->maximum)};
    return std::to_string(number);
}

} // namespace greengagehead::state
