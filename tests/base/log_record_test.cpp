// Log lines that quote bytes of other writers.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <sstream>
#include <string>
#include <vector>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <nlohmann/json.hpp>

#include "base/log_record.h"
#include "base/log_sink.h"

namespace {

using namespace greengagehead::base;
using nlohmann::json;

/// Longest line with one value of any length: the value at its limit, each byte escaped, and the
/// other fields.
constexpr std::size_t longest_line_bytes = 2 * 1'024 + 256;

/// The log, written to memory instead of standard output.
class captured_log {
public:
    explicit captured_log(log_style style)
    {
        open_log(style, severity::info);
        auto const core = boost::log::core::get();
        core->remove_all_sinks();
        auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&this->output, boost::null_deleter()));
        core->add_sink(
            boost::make_shared<
                boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>>(
                backend));
    }
    ~captured_log() { boost::log::core::get()->remove_all_sinks(); }

    captured_log(captured_log const&) = delete;
    captured_log& operator=(captured_log const&) = delete;
    captured_log(captured_log&&) = delete;
    captured_log& operator=(captured_log&&) = delete;

    /// The line that quotes `value`, without its end.
    std::string line_with(std::string const& value)
    {
        this->output.str("");
        log_record(log_event::announcement_rejected).with("error", value);
        auto line = this->output.str();
        REQUIRE(!line.empty());
        line.pop_back();
        return line;
    }

private:
    std::ostringstream output;
};

/// What a strict reader of JSON gets for `value`. Throws if the line is not valid JSON.
std::string value_read(captured_log& log, std::string const& value)
{
    return json::parse(log.line_with(value)).at("error").get<std::string>();
}

/// True if a strict writer of JSON accepts `text`.
bool is_valid_utf8(std::string const& text)
{
    try {
        (void)json(text).dump();
        return true;
    } catch (json::type_error const&) {
        return false;
    }
}

struct quoted_bytes {
    std::string what;
    std::string bytes;
    std::string expected;
};

std::string const replacement = "\xef\xbf\xbd";

std::vector<quoted_bytes> const invalid_sequences {
    {"bytes that occur nowhere in UTF-8", "a\xff\xfe{", "a" + replacement + replacement + "{"},
    {"a continuation byte without its start", "a\x80z", "a" + replacement + "z"},
    {"a sequence cut short by the end", "a\xe2\x82", "a" + replacement},
    {"a sequence cut short by another character", "\xf0\x9f\x98z", replacement + "z"},
    {"a sequence cut short by another sequence", "\xe2\x82\xc3\xa9", replacement + "\xc3\xa9"},
    {"an overlong form of two bytes", "\xc0\xaf", replacement + replacement},
    {"an overlong form of three bytes", "\xe0\x80\xaf", replacement + replacement + replacement},
    {"an overlong form of four bytes", "\xf0\x80\x80\xaf",
     replacement + replacement + replacement + replacement},
    {"a surrogate", "\xed\xa0\x80", replacement + replacement + replacement},
    {"a value above 10FFFF", "\xf4\x90\x80\x80",
     replacement + replacement + replacement + replacement},
    {"a start byte of five bytes", "\xf8\x88\x80\x80\x80",
     replacement + replacement + replacement + replacement + replacement},
};

std::vector<quoted_bytes> const valid_texts {
    {"ASCII", "10.0.0.1:8080", "10.0.0.1:8080"},
    {"quotes and backslashes", "\"a\\b\"", "\"a\\b\""},
    {"control characters", std::string("a\nb\0c", 5), "a b c"},
    {"the least of each length", "\xc2\x80 \xe0\xa0\x80 \xf0\x90\x80\x80",
     "\xc2\x80 \xe0\xa0\x80 \xf0\x90\x80\x80"},
    {"the greatest of each length", "\xdf\xbf \xef\xbf\xbf \xf4\x8f\xbf\xbf",
     "\xdf\xbf \xef\xbf\xbf \xf4\x8f\xbf\xbf"},
    {"the neighbours of the surrogates", "\xed\x9f\xbf\xee\x80\x80", "\xed\x9f\xbf\xee\x80\x80"},
};

} // namespace

SCENARIO("a log line that quotes any bytes is valid UTF-8", "[log]")
{
    GIVEN("a log in JSON style")
    {
        captured_log log(log_style::json);

        // Guards against lines that a strict reader of JSON refuses.
        WHEN("a value is not valid UTF-8")
        {
            THEN("each invalid part is replaced by U+FFFD")
            {
                for (auto const& [what, bytes, expected] : invalid_sequences) {
                    INFO(what);
                    CHECK(value_read(log, bytes) == expected);
                }
            }
        }

        // Guards against a check that replaces valid characters.
        WHEN("a value is valid UTF-8")
        {
            THEN("only its control characters are replaced")
            {
                for (auto const& [what, bytes, expected] : valid_texts) {
                    INFO(what);
                    CHECK(value_read(log, bytes) == expected);
                }
            }
        }

        // Guards against an invalid sequence that none of the named cases covers.
        WHEN("a value consists of random bytes")
        {
            rc::prop("the line is JSON", [&log](std::string const& bytes) {
                RC_ASSERT(is_valid_utf8(value_read(log, bytes)));
            });
            rc::prop("the line is JSON when the bytes are close to a valid sequence", [&log] {
                auto const byte = rc::gen::element<int>('a', '"', '\\', 0x01, 0x80, 0x8f, 0x90,
                                                        0x9f, 0xa0, 0xbf, 0xc0, 0xc1, 0xc2, 0xdf,
                                                        0xe0, 0xed, 0xef, 0xf0, 0xf4, 0xf5, 0xff);
                std::string bytes;
                for (int const value : *rc::gen::container<std::vector<int>>(byte))
                    bytes += static_cast<char>(value);
                RC_ASSERT(is_valid_utf8(value_read(log, bytes)));
            });
        }

        // Guards against a message of megabytes that is repeated in the log.
        WHEN("a value is very long")
        {
            THEN("the line is JSON of limited length, cut between two characters")
            {
                for (std::string const unit : {"a", "\"", "\xff", "\xc3\xa9", "\xf0\x9f\x98\x80"}) {
                    for (std::string text : {"", "a", "aa", "aaa"}) {
                        while (text.size() < 100'000)
                            text += unit;
                        auto const line = log.line_with(text);
                        CHECK(line.size() < longest_line_bytes);
                        auto const value = json::parse(line).at("error").get<std::string>();
                        CHECK(value.substr(value.size() - 3) == "...");
                        CHECK(value.size() > 1'000);
                    }
                }
            }
        }
    }

    GIVEN("a log in text style")
    {
        captured_log log(log_style::text);

        // Guards against lines that a reader of UTF-8 text refuses.
        WHEN("a value is not valid UTF-8")
        {
            THEN("each invalid part is replaced by U+FFFD")
            {
                for (auto const& [what, bytes, expected] : invalid_sequences) {
                    INFO(what);
                    auto const line = log.line_with(bytes);
                    CHECK(is_valid_utf8(line));
                    CHECK(line.find("error=" + expected) != std::string::npos);
                }
            }
        }
        WHEN("a value consists of random bytes")
        {
            rc::prop("the line is valid UTF-8", [&log](std::string const& bytes) {
                RC_ASSERT(is_valid_utf8(log.line_with(bytes)));
            });
        }
    }
}
