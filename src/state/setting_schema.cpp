// The schema itself and the matching of paths.

#include "state/setting_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace greengagehead::state {

namespace {

constexpr std::size_t longest_name = 64;

constexpr std::array rules {
    setting_rule {"/teams/TEAM/weight", 1, 1000, "share of slots relative to other teams"},
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

/// Ranges above ASCII that hold no letters: controls, Latin-1 signs, punctuation, symbols,
/// surrogates, private use, presentation selectors, emoji. Unassigned code points are not listed.
constexpr std::array not_letters {
    code_range {0x80, 0xA9},     code_range {0xAB, 0xB4},       code_range {0xB6, 0xB9},
    code_range {0xBB, 0xBF},     code_range {0xD7, 0xD7},       code_range {0xF7, 0xF7},
    code_range {0x2000, 0x2BFF}, code_range {0x3000, 0x3004},   code_range {0x3008, 0x3020},
    code_range {0xD800, 0xF8FF}, code_range {0xFE00, 0xFE1F},   code_range {0xFEFF, 0xFEFF},
    code_range {0xFFF0, 0xFFFF}, code_range {0x1F000, 0x1FFFF}, code_range {0xE0000, 0x10FFFF},
};

bool is_letter(char32_t code)
{
    return std::none_of(not_letters.begin(), not_letters.end(), [code](code_range const& range) {
        return code >= range.first && code <= range.last;
    });
}

bool is_plain(unsigned char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
        || (byte >= '0' && byte <= '9') || byte == '-' || byte == '_' || byte == '.';
}

/// Takes one multi-byte character off the front of `text`. Empty for malformed or overlong UTF-8.
std::optional<char32_t> take_wide(std::string_view& text)
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
    constexpr std::array<char32_t, 5> least {0, 0, 0x80, 0x800, 0x10000};
    if (code < least.at(size))
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
        bool const any_name = expected == "/TEAM" || expected == "/KIND";
        if (any_name ? !valid_name(segment.substr(1)) : segment != expected)
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
    if (name.empty() || name.size() > longest_name
        || name.find_first_not_of('.') == std::string_view::npos)
        return false;
    while (!name.empty()) {
        if (is_plain(static_cast<unsigned char>(name.front()))) {
            name.remove_prefix(1);
            continue;
        }
        if (static_cast<unsigned char>(name.front()) < 0x80)
            return false;
        auto const code = take_wide(name);
        if (!code || !is_letter(*code))
            return false;
    }
    return true;
}

base::result<std::string> check_setting(std::string_view path, std::string_view value)
{
    auto const* rule = std::find_if(rules.begin(), rules.end(), [path](setting_rule const& item) {
        return !path.empty() && path.front() == '/' && matches(item.pattern, path);
    });
    if (rule == rules.end())
        return unknown_path(path);
    std::int64_t number = 0;
    auto const parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    bool const whole = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size()
        && std::to_string(number) == value;
    if (!whole || number < rule->least || number > rule->greatest)
        return base::error {base::error_code::invalid_argument,
                            base::error_step::settings,
                            {},
                            std::string(path) + " must be a whole number from "
                                + std::to_string(rule->least) + " to "
                                + std::to_string(rule->greatest)};
    return std::to_string(number);
}

} // namespace greengagehead::state
