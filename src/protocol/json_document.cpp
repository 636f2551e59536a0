// Builds documents from the events of the library's parser, with a bounded depth.

#include "protocol/json_document.h"

#include <string>
#include <utility>
#include <vector>

namespace greengagehead::protocol {

namespace {

using nlohmann::json;

/// Builds a document. Stops the parser at a container that is nested too deep.
class document_builder : public nlohmann::json_sax<json> {
public:
    explicit document_builder(std::size_t max_depth) : max_depth(max_depth) { }

    bool null() override { return this->add(nullptr); }
    bool boolean(bool value) override { return this->add(value); }
    bool number_integer(json::number_integer_t value) override { return this->add(value); }
    bool number_unsigned(json::number_unsigned_t value) override { return this->add(value); }
    bool number_float(json::number_float_t value, std::string const& /*text*/) override
    {
        return this->add(value);
    }
    bool string(std::string& value) override { return this->add(std::move(value)); }
    bool binary(json::binary_t& value) override { return this->add(std::move(value)); }
    bool start_object(std::size_t /*size*/) override { return this->open(json::object()); }
    bool key(std::string& value) override
    {
        this->member = &(*this->open_containers.back())[value];
        return true;
    }
    bool end_object() override { return this->close(); }
    bool start_array(std::size_t /*size*/) override { return this->open(json::array()); }
    bool end_array() override { return this->close(); }
    bool parse_error(std::size_t /*position*/, std::string const& /*token*/,
                     nlohmann::detail::exception const& cause) override
    {
        this->fail(base::error_code::malformed, cause.what());
        return false;
    }

    /// The document, after the parser has succeeded.
    json root;
    /// Why the parser has stopped.
    base::error failure;

private:
    template <typename Value> bool add(Value&& value)
    {
        this->place(std::forward<Value>(value));
        return true;
    }

    template <typename Value> json* place(Value&& value)
    {
        if (this->open_containers.empty())
            return &(this->root = json(std::forward<Value>(value)));
        auto& container = *this->open_containers.back();
        if (container.is_array())
            return &container.emplace_back(std::forward<Value>(value));
        return &(*this->member = json(std::forward<Value>(value)));
    }

    bool open(json container)
    {
        if (this->open_containers.size() == this->max_depth) {
            this->fail(base::error_code::invalid_argument,
                       "nested deeper than " + std::to_string(this->max_depth) + " levels");
            return false;
        }
        this->open_containers.push_back(this->place(std::move(container)));
        return true;
    }

    void fail(base::error_code code, std::string message)
    {
        this->failure = {code, base::error_step::decode, {}, std::move(message)};
    }

    bool close()
    {
        this->open_containers.pop_back();
        return true;
    }

    std::size_t max_depth;
    /// The arrays and objects that are being read, the innermost one last. A container does not
    /// move while an element of it is open.
    std::vector<json*> open_containers;
    /// Value of the last key of the innermost object.
    json* member = nullptr;
};

base::result<json> parse(std::string_view document, std::size_t max_depth,
                         json::input_format_t format)
{
    document_builder builder(max_depth);
    if (!json::sax_parse(document.begin(), document.end(), &builder, format))
        return std::move(builder.failure);
    return std::move(builder.root);
}

} // namespace

base::result<json> parse_json(std::string_view text, std::size_t max_depth)
{
    return parse(text, max_depth, json::input_format_t::json);
}

json parse_json_or(std::string_view text, json fallback, std::size_t max_depth)
{
    auto parsed = parse_json(text, max_depth);
    return parsed ? std::move(parsed.value()) : std::move(fallback);
}

base::result<json> parse_body(std::string_view text)
{
    auto parsed = parse_json(text);
    if (parsed)
        return parsed;
    bool const malformed = parsed.error().code == base::error_code::malformed;
    return base::error {base::error_code::invalid_argument,
                        base::error_step::admission,
                        {},
                        malformed ? "body is not well-formed JSON in UTF-8"
                                  : "body is " + parsed.error().message};
}

base::result<json> parse_cbor(std::string_view bytes, std::size_t max_depth)
{
    return parse(bytes, max_depth, json::input_format_t::cbor);
}

} // namespace greengagehead::protocol
