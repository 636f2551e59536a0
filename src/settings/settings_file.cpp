// Parsing of a settings file, and its check against the table of keys.

#include "settings/settings_file.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include <toml++/toml.h>

#include "settings/value_rules.h"
#include "transport/socket_address.h"

namespace greengagehead::settings {

namespace {

constexpr std::size_t digest_hex_digits = 64;

/// Reads the settings from a parsed file and collects all problems.
class file_checker {
public:
    file_checker(toml::table const& root, std::string name) : root(root), file(std::move(name)) { }

    settings_check run()
    {
        this->read_roles();
        for (auto const& rule : value_rules())
            this->read_key(rule);
        this->read_peers("controls", this->result.settings.controls);
        this->read_peers("entries", this->result.settings.entries);
        this->read_tokens();
        this->check_unknown_keys(this->root, "");
        this->check_peers();
        this->check_memory();
        auto& problems = this->result.problems;
        std::stable_sort(problems.begin(), problems.end(), [](auto const& left, auto const& right) {
            return left.line < right.line;
        });
        return std::move(this->result);
    }

private:
    /// Records a problem; `node` is null if the key is missing.
    void report(toml::node const* node, std::string key, std::string message)
    {
        std::uint32_t const line = node == nullptr ? 0 : node->source().begin.line;
        this->result.problems.push_back({this->file, line, std::move(key), std::move(message)});
    }

    void read_roles()
    {
        this->known_keys.insert("roles");
        auto const* const roles = this->root.get_as<toml::array>("roles");
        std::string const allowed = "must be an array of \"control\", \"entry\" or \"agent\"";
        if (roles == nullptr || roles->empty())
            return this->report(this->root.get("roles"), "roles", allowed);
        for (auto const& element : *roles) {
            auto const text = element.value<std::string>().value_or("");
            bool found = false;
            for (role const candidate : {role::control, role::entry, role::agent}) {
                if (text != to_string(candidate))
                    continue;
                this->result.settings.roles.push_back(candidate);
                found = true;
            }
            if (!found)
                this->report(&element, "roles", allowed);
        }
    }

    [[nodiscard]] bool is_required(value_rule const& rule) const
    {
        return rule.always_required
            || std::any_of(rule.required_by.begin(), rule.required_by.end(),
                           [this](role candidate) { return this->result.settings.has(candidate); });
    }

    void read_key(value_rule const& rule)
    {
        std::string const key(rule.key);
        this->known_keys.insert(key);
        auto const node = this->root.at_path(rule.key);
        if (!node) {
            if (this->is_required(rule))
                this->report(nullptr, key, "is required: " + allowed_values(rule));
            return;
        }
        bool const accepted = rule.kind == value_kind::flag ? this->read_flag(rule, node)
            : rule.set_text                                 ? this->read_text(rule, *node.node())
                                                            : this->read_number(rule, node);
        if (!accepted)
            this->report(node.node(), key, "must be " + allowed_values(rule));
    }

    bool read_text(value_rule const& rule, toml::node const& node)
    {
        auto const text = node.value<std::string>();
        if (!text || text->empty())
            return false;
        if (rule.kind == value_kind::choice
            && std::find(rule.choices.begin(), rule.choices.end(), *text) == rule.choices.end())
            return false;
        bool const is_address
            = rule.kind == value_kind::address || rule.kind == value_kind::loopback_address;
        if (is_address && !transport::parse_address(*text))
            return false;
        if (rule.kind == value_kind::loopback_address && text->rfind("127.", 0) != 0)
            return false;
        rule.set_text(this->result.settings, *text);
        return true;
    }

    bool read_flag(value_rule const& rule, toml::node_view<toml::node const> node)
    {
        auto const* const flag = node.as_boolean();
        if (flag == nullptr)
            return false;
        rule.set_number(this->result.settings, flag->get() ? 1 : 0);
        return true;
    }

    bool read_number(value_rule const& rule, toml::node_view<toml::node const> node)
    {
        auto const* const number = node.as_integer();
        if (number == nullptr || number->get() < 0)
            return false;
        auto const value = static_cast<std::uint64_t>(number->get());
        if (value < rule.min_value || value > rule.max_value)
            return false;
        rule.set_number(this->result.settings, value);
        return true;
    }

    /// Calls `visit` for each table of the array of tables `key`.
    template <typename Visit> void for_each_table(std::string const& key, Visit visit)
    {
        this->known_keys.insert(key);
        auto const* const node = this->root.get(key);
        if (node == nullptr)
            return;
        auto const* const tables = node->as_array();
        if (tables == nullptr)
            return this->report(node, key, "must be an array of tables, [[" + key + "]]");
        for (auto const& element : *tables) {
            if (auto const* const table = element.as_table())
                visit(*table);
            else
                this->report(&element, key, "must be an array of tables, [[" + key + "]]");
        }
    }

    void check_table_keys(toml::table const& table, std::string const& key,
                          std::set<std::string_view> const& allowed)
    {
        for (auto const& [name, node] : table) {
            if (!allowed.contains(name.str()))
                this->report(&node, key + "." + std::string(name.str()), "is not a known key");
        }
    }

    void read_peers(std::string const& key, std::vector<peer_settings>& peers)
    {
        this->for_each_table(key, [&](toml::table const& table) {
            this->check_table_keys(table, key, {"name", "address"});
            peer_settings const peer {table["name"].value_or(std::string()),
                                      table["address"].value_or(std::string())};
            if (peer.name.empty())
                this->report(&table, key + ".name", "must be a non-empty string");
            if (!transport::parse_address(peer.address))
                this->report(&table, key + ".address",
                             "must be an address of the form \"IP:PORT\"");
            if (std::any_of(peers.begin(), peers.end(),
                            [&peer](auto const& other) { return other.name == peer.name; }))
                this->report(&table, key + ".name", "must be unique in " + key);
            peers.push_back(peer);
        });
    }

    void read_tokens()
    {
        this->for_each_table("tokens", [&](toml::table const& table) {
            this->check_table_keys(table, "tokens", {"team", "operator", "sha256"});
            token_settings const token {table["team"].value_or(std::string()),
                                        table["sha256"].value_or(std::string())};
            bool const for_operator = table["operator"].value_or(false);
            if (for_operator != token.team.empty())
                this->report(&table, "tokens.team",
                             "must name a team, or be omitted with operator = true");
            if (token.sha256.size() != digest_hex_digits
                || token.sha256.find_first_not_of("0123456789abcdef") != std::string::npos)
                this->report(&table, "tokens.sha256",
                             "must be the SHA-256 of the token, 64 lower-case hex digits");
            this->result.settings.tokens.push_back(token);
        });
    }

    /// Reports each key below `prefix` that is neither known nor a group of known keys.
    void check_unknown_keys(toml::table const& table, std::string const& prefix)
    {
        for (auto const& [name, node] : table) {
            std::string const key = prefix + std::string(name.str());
            if (this->known_keys.contains(key))
                continue;
            auto const* const subtable = node.as_table();
            bool const is_group = subtable != nullptr
                && std::any_of(this->known_keys.begin(), this->known_keys.end(),
                               [&key](auto const& element) {
                                   return element.rfind(key + ".", 0) == 0;
                               });
            if (is_group)
                this->check_unknown_keys(*subtable, key + ".");
            else
                this->report(&node, key, "is not a known key");
        }
    }

    /// The budget must hold a request of the largest size, or none of that size is ever served.
    void check_memory()
    {
        auto const& limits = this->result.settings.limits;
        auto const budget = connection_budget_bytes(limits);
        auto const request_bytes = limits.body_bytes + limits.header_bytes;
        if (limits.memory_mb > 0 && budget - budget / 4 < request_bytes)
            this->report(this->root.at_path("limits.memory_mb").node(), "limits.memory_mb",
                         "is too small for limits.body_bytes: connections may hold a quarter of "
                         "it, and one of them three quarters of that");
        if (limits.connections > 0 && limits.address_connections > limits.connections)
            this->report(this->root.at_path("limits.address_connections").node(),
                         "limits.address_connections", "must not be above limits.connections");
    }

    void check_peers()
    {
        auto const& parsed = this->result.settings;
        if (parsed.has(role::entry) && !parsed.has(role::control) && parsed.controls.empty())
            this->report(nullptr, "controls",
                         "is required for an entry and must list the control members");
        if (parsed.has(role::agent) && !parsed.has(role::entry) && parsed.entries.empty()
            && parsed.controls.empty())
            this->report(nullptr, "entries", "is required for an agent without [[controls]]");
        bool const lists_this_process
            = std::any_of(parsed.controls.begin(), parsed.controls.end(),
                          [&parsed](auto const& peer) { return peer.name == parsed.name; });
        // With a link port, members are discovered at run time and the list may be incomplete.
        bool const fixed_membership = parsed.control_link_port == 0;
        if (fixed_membership && parsed.has(role::control) && !parsed.controls.empty()
            && !lists_this_process)
            this->report(nullptr, "controls", "must also list this process");
    }

    toml::table const& root;
    std::string file;
    std::set<std::string> known_keys; // Dotted paths of the keys that may occur in the file.
    settings_check result;
};

} // namespace

std::string settings_problem::to_string() const
{
    std::string location = this->file;
    if (this->line > 0)
        location += ":" + std::to_string(this->line);
    return location + ": " + this->key + " " + this->message;
}

settings_check read_settings_text(std::string const& text, std::string const& file)
{
    try {
        auto const root = toml::parse(text, file);
        return file_checker(root, file).run();
    } catch (toml::parse_error const& failure) {
        settings_check check;
        check.problems.push_back({file, failure.source().begin.line, "",
                                  "is not valid TOML: " + std::string(failure.description())});
        return check;
    }
}

settings_check read_settings_file(std::string const& file)
{
    std::ifstream input(file);
    if (!input) {
        settings_check check;
        check.problems.push_back({file, 0, "", "cannot be read"});
        return check;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return read_settings_text(text.str(), file);
}

} // namespace greengagehead::settings
