// Random schedules of callers that send jobs to one entry after the other, while the links between
// entries are slow, cut or close, and entries are paused.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;

constexpr std::uint64_t first_seed = 20261206;
constexpr int schedules = 300;
constexpr milliseconds schedule_length {15'000};
constexpr int attempts_of_a_caller = 3;
/// Longer than any schedule.
constexpr milliseconds never {std::chrono::hours(1)};

enum class trouble : std::uint8_t { none, slow_link, cut_link, closed_link, paused_entry };

struct schedule : linked_fleet {
    explicit schedule(std::uint64_t seed)
        : linked_fleet({"entry.a", "entry.b", "entry.c"}), generator(seed)
    {
        this->add_agent("agent.3", "recife");
        for (auto& [name, agent] : this->agents) {
            agent.ends_unpermitted_runs = true;
            agent.lists_runs = true;
        }
        this->extra_delay = [this](auto const& from, auto const& to, auto const& /*body*/) {
            return this->delay_of(from, to);
        };
        this->run(milliseconds(500));
    }

    std::uint32_t draw(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(this->generator() % bound);
    }
    std::string draw_entry() { return names.at(this->draw(3)); }

    /// Messages between two entries stay in order, as on a connection.
    milliseconds delay_of(std::string const& from, std::string const& to)
    {
        auto const found = this->link_delays.find(std::minmax(from, to));
        if (found != this->link_delays.end() && found->second == never)
            return never;
        auto delay = found == this->link_delays.end() ? milliseconds(0) : found->second;
        auto& last = this->last_arrival[{from, to}];
        if (this->now + delay < last)
            delay = std::chrono::ceil<milliseconds>(last - this->now);
        last = this->now + delay;
        return delay;
    }

    void end_trouble()
    {
        auto const had_cut = std::any_of(this->link_delays.begin(), this->link_delays.end(),
                                         [](auto const& item) { return item.second == never; });
        this->link_delays.clear();
        for (auto const& name : std::exchange(this->paused, {}))
            this->thaw(name);
        // A cut link is replaced by a new one, which both ends notice.
        if (had_cut)
            this->connect_entries();
    }

    void begin_trouble(trouble kind)
    {
        auto const first = this->draw_entry();
        auto second = this->draw_entry();
        while (second == first)
            second = this->draw_entry();
        std::pair<std::string, std::string> const link = std::minmax(first, second);
        switch (kind) {
        case trouble::none:
            return;
        case trouble::slow_link:
            this->link_delays[link] = milliseconds(100 + this->draw(2500));
            return;
        case trouble::cut_link:
            this->link_delays[link] = never;
            return;
        case trouble::closed_link:
            this->link_delays[link] = never;
            return this->close_link(first, second);
        case trouble::paused_entry:
            this->frozen.insert(first);
            this->paused.push_back(first);
            return;
        }
    }

    struct caller {
        protocol::job_request request;
        steady_time next;
        int attempts = 0;
    };

    void send(caller& item)
    {
        auto const at = this->draw_entry();
        ++item.attempts;
        item.next = this->now + resend_delay;
        // A paused entry reads the job when it goes on.
        if (!this->frozen.contains(at))
            this->submit(at, item.request, item.request.deadline);
    }

    void play(bool mixed)
    {
        auto const kind = static_cast<trouble>(1 + this->draw(4));
        std::vector<caller> callers;
        auto const end = this->now + schedule_length;
        auto next_change = this->now + milliseconds(500);
        bool troubled = false;
        for (int number = 0; this->now < end; ++number) {
            auto const run_time = 200 + this->draw(3500);
            this->set_run_time(milliseconds(run_time));
            caller added;
            added.request = make_submission("s" + std::to_string(number), 1 + this->draw(2));
            added.request.deadline = milliseconds(1500 + this->draw(5000));
            this->send(added);
            callers.push_back(std::move(added));
            auto const pause = 100 + this->draw(300);
            this->run(milliseconds(pause));
            for (auto& item : callers) {
                if (item.attempts < attempts_of_a_caller && this->now >= item.next)
                    this->send(item);
            }
            if (this->now < next_change)
                continue;
            if (std::exchange(troubled, !troubled))
                this->end_trouble();
            else
                this->begin_trouble(mixed ? static_cast<trouble>(1 + this->draw(4)) : kind);
            next_change = this->now + milliseconds(300 + this->draw(3000));
        }
    }

    /// The other checks of the fleet do not apply: a refusal is about one of the caller's attempts,
    /// and the same entry may have run the job before or run it later.
    [[nodiscard]] std::vector<std::string> double_runs() const
    {
        auto found = this->violations;
        std::erase_if(found, [](auto const& text) { return !text.starts_with("two runs"); });
        return found;
    }

    std::vector<std::string> const names {"entry.a", "entry.b", "entry.c"};
    std::mt19937_64 generator;
    std::map<std::pair<std::string, std::string>, milliseconds> link_delays;
    std::map<std::pair<std::string, std::string>, steady_time> last_arrival;
    std::vector<std::string> paused;
};

} // namespace

SCENARIO("callers go from entry to entry under random schedules of troubles",
         "[entry][resubmission][schedule]")
{
    GIVEN("seeded schedules of slow, cut and closed links between entries, and of pauses")
    {
        // Guards against runs of one submission at two entries that do not know of each other.
        THEN("no task runs twice at the same time")
        {
            for (int i = 0; i < schedules; ++i) {
                auto const seed = first_seed + static_cast<std::uint64_t>(i);
                schedule played(seed);
                played.play(i % 2 == 1);
                INFO("seed " << seed);
                CHECK(played.double_runs() == std::vector<std::string> {});
            }
        }
    }
}
