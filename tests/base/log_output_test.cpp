// Output of log lines while the reader of a pipe or socket stops, ends or reads slowly.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/log_output.h"

namespace {

using namespace greengagehead::base;
using std::chrono::milliseconds;

/// More lines than a pipe or a socket holds.
constexpr int many_lines = 20'000;
/// Far above the time that a write takes, far below that of a blocked one.
constexpr milliseconds blocked {5'000};

std::string notice(std::uint64_t lines)
{
    return "dropped " + std::to_string(lines);
}

/// A line with its number, padded to `length` bytes.
std::string numbered_line(int number, std::size_t length = 100)
{
    auto line = "line " + std::to_string(number) + " ";
    line.resize(std::max(line.size(), length), 'x');
    return line;
}

/// Both ends of a pipe, a socket or a FIFO.
class channel {
public:
    enum class kind { pipe, socket };

    explicit channel(kind wanted)
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::array<int, 2> ends {};
        if (wanted == kind::pipe)
            REQUIRE(::pipe(ends.data()) == 0);
        else
            REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        this->reader = ends[0];
        this->writer = ends[1];
        this->make_reader_non_blocking();
    }

    /// The FIFO at `path`, which has no reader yet. A second open without a reader fails.
    explicit channel(std::string const& path)
    {
        std::signal(SIGPIPE, SIG_IGN);
        REQUIRE(mkfifo(path.c_str(), 0600) == 0);
        this->reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
        this->writer = open(path.c_str(), O_WRONLY);
        REQUIRE(this->writer != -1);
        this->close_reader();
    }

    ~channel()
    {
        this->close_reader();
        close(this->writer);
    }

    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;
    channel(channel&&) = delete;
    channel& operator=(channel&&) = delete;

    void open_reader(std::string const& path)
    {
        this->reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
        REQUIRE(this->reader != -1);
    }

    void close_reader()
    {
        if (this->reader != -1)
            close(this->reader);
        this->reader = -1;
    }

    /// Adds what can be read now, at most `most_bytes`, to the text that was read.
    void read(std::size_t most_bytes = SIZE_MAX)
    {
        std::array<char, 4'096> buffer {};
        while (most_bytes > 0) {
            auto const count
                = ::read(this->reader, buffer.data(), std::min(most_bytes, buffer.size()));
            if (count <= 0)
                return;
            this->text.append(buffer.data(), static_cast<std::size_t>(count));
            most_bytes -= static_cast<std::size_t>(count);
        }
    }

    /// True if the text read so far ends with `end`.
    [[nodiscard]] bool has_read(std::string const& end) const
    {
        return this->text.size() >= end.size()
            && this->text.compare(this->text.size() - end.size(), end.size(), end) == 0;
    }

    /// The lines read so far; the last one is empty unless it lacks its end.
    [[nodiscard]] std::vector<std::string> lines() const
    {
        std::vector<std::string> found {""};
        for (char const character : this->text) {
            if (character == '\n')
                found.emplace_back();
            else
                found.back() += character;
        }
        return found;
    }

    int reader = -1;
    int writer = -1;

private:
    void make_reader_non_blocking() const
    {
        fcntl(this->reader, F_SETFL, fcntl(this->reader, F_GETFL) | O_NONBLOCK);
    }

    std::string text;
};

/// Checks that `found` consists of the lines `written`, of which only those are missing that a
/// notice tells. Returns false otherwise.
bool is_log_of(std::vector<std::string> found, std::vector<std::string> const& written)
{
    if (found.empty() || !found.back().empty())
        return false;
    found.pop_back();
    std::size_t next = 0;
    for (auto const& line : found) {
        if (line.rfind("dropped ", 0) == 0) {
            next += std::stoul(line.substr(8));
            continue;
        }
        if (next >= written.size() || line != written[next])
            return false;
        ++next;
    }
    return next == written.size();
}

class temporary_folder {
public:
    temporary_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "log-output-XXXXXX";
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }
    ~temporary_folder() { std::filesystem::remove_all(this->path); }

    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;

    std::filesystem::path path;
};

} // namespace

SCENARIO("log output does not wait for its reader", "[log]")
{
    auto const kind = GENERATE(channel::kind::pipe, channel::kind::socket);
    GIVEN("a pipe or a socket")
    {
        INFO("kind " << static_cast<int>(kind));
        channel ends(kind);
        log_output output(ends.writer, notice);
        std::vector<std::string> written;
        auto const write = [&](std::string line) {
            output.write(line);
            written.push_back(std::move(line));
        };

        // Guards against lines that are still in the process when it is killed.
        WHEN("the reader keeps up")
        {
            THEN("each line can be read as soon as it is written")
            {
                for (int number = 0; number < many_lines; ++number) {
                    write(numbered_line(number));
                    ends.read();
                    REQUIRE(ends.has_read(written.back() + "\n"));
                }
                CHECK(is_log_of(ends.lines(), written));
                CHECK(output.dropped_lines() == 0);
            }
        }

        // Guards against a process that stops because nobody reads its log.
        WHEN("nobody reads")
        {
            auto const begin = steady_now();
            for (int number = 0; number < many_lines; ++number)
                write(numbered_line(number));
            auto const took = steady_now() - begin;
            THEN("the writer does not stop, and counts the lines that it drops")
            {
                CHECK(took < blocked);
                CHECK(output.dropped_lines() > 0);
                CHECK(output.dropped_lines() < many_lines);
            }
            // Guards against gaps that a reader of the log cannot see, and against lines out of
            // order.
            THEN("the next line that is written follows one that tells the number")
            {
                ends.read();
                write(numbered_line(many_lines));
                ends.read();
                auto const lines = ends.lines();
                CHECK(is_log_of(lines, written));
                CHECK(lines.at(lines.size() - 3) == notice(output.dropped_lines()));
            }
            // Guards against a number that is lost because no line follows.
            THEN("the end of the log tells the number")
            {
                ends.read();
                output.flush();
                ends.read();
                CHECK(is_log_of(ends.lines(), written));
            }
        }

        // Guards against O_NONBLOCK for all who share the open file description, for example the
        // parent process or a shell.
        THEN("the descriptor itself still blocks")
        {
            CHECK((fcntl(ends.writer, F_GETFL) & O_NONBLOCK) == 0);
        }

        // Guards against SIGPIPE and against an end of the process with its reader.
        WHEN("the reader has closed its end")
        {
            ends.close_reader();
            std::signal(SIGPIPE, SIG_IGN);
            for (int number = 0; number < 10; ++number)
                write(numbered_line(number));
            THEN("lines are dropped and counted")
            {
                CHECK(output.dropped_lines() == 10);
            }
        }

        // Guards against a half line that runs into the next one, and against lost or repeated
        // parts.
        WHEN("lines of any length meet a reader of any speed")
        {
            rc::prop("whole lines arrive in order, and notices tell all gaps", [kind] {
                channel slow(kind);
                if (kind == channel::kind::pipe)
                    fcntl(slow.writer, F_SETPIPE_SZ, 4'096);
                log_output slow_output(slow.writer, notice);
                std::vector<std::string> all;
                auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                    60, rc::gen::pair(rc::gen::inRange(1, 60'000), rc::gen::inRange(0, 40'000)));
                for (auto const& [length, most_read] : steps) {
                    all.push_back(numbered_line(
                        static_cast<int>(all.size()),
                        static_cast<std::size_t>(length % 3 == 0 ? length / 200 : length)));
                    slow_output.write(all.back());
                    slow.read(static_cast<std::size_t>(most_read));
                }
                for (int step = 0; step < 20; ++step) {
                    slow.read();
                    slow_output.flush();
                }
                slow.read();
                RC_ASSERT(is_log_of(slow.lines(), all));
            });
        }

        WHEN("the last lines of the process meet a reader that is behind")
        {
            for (int number = 0; number < many_lines; ++number)
                write(numbered_line(number));
            auto const dropped_before = output.dropped_lines();

            // Guards against the loss of the lines that say how a process has ended.
            THEN("they wait for the reader")
            {
                std::atomic<bool> ended = false;
                std::thread reader([&] {
                    std::this_thread::sleep_for(milliseconds(50));
                    while (!ended) {
                        ends.read();
                        std::this_thread::sleep_for(milliseconds(1));
                    }
                });
                output.wait_at_most(blocked);
                for (int number = 0; number < many_lines; ++number)
                    write(numbered_line(many_lines + number));
                output.flush();
                ended = true;
                reader.join();
                ends.read();
                CHECK(output.dropped_lines() == dropped_before);
                CHECK(is_log_of(ends.lines(), written));
            }
            // Guards against a process that does not end because nobody reads its log.
            THEN("they wait no longer than the limit in all")
            {
                constexpr milliseconds limit {100};
                auto const begin = steady_now();
                output.wait_at_most(limit);
                for (int number = 0; number < 100; ++number) {
                    output.wait_at_most(limit);
                    write(numbered_line(number));
                }
                output.flush();
                auto const took = steady_now() - begin;
                CHECK(took >= limit);
                CHECK(took < blocked);
                CHECK(output.dropped_lines() == dropped_before + 100);
            }
        }
    }
}

SCENARIO("log output works where the pipe cannot be opened a second time", "[log]")
{
    GIVEN("a FIFO that had no reader when the log was opened")
    {
        temporary_folder folder;
        auto const path = (folder.path / "fifo").string();
        channel ends(path);
        log_output output(ends.writer, notice);
        std::vector<std::string> written;

        // Guards against a blocking write where the platform does not allow the second open.
        WHEN("a reader comes and reads nothing")
        {
            ends.open_reader(path);
            auto const begin = steady_now();
            for (int number = 0; number < many_lines; ++number) {
                written.push_back(numbered_line(number, number % 2 == 0 ? 100 : 9'000));
                output.write(written.back());
            }
            THEN("the writer does not stop, and the log is whole when the reader reads")
            {
                CHECK(steady_now() - begin < blocked);
                CHECK(output.dropped_lines() > 0);
                for (int step = 0; step < 3; ++step) {
                    ends.read();
                    output.flush();
                }
                ends.read();
                CHECK(is_log_of(ends.lines(), written));
            }
        }
    }
}

SCENARIO("log output survives descriptors that take nothing", "[log]")
{
    // Guards against a process that ends or stops logging when its disk is full.
    GIVEN("a full disk")
    {
        int const full = open("/dev/full", O_WRONLY);
        REQUIRE(full != -1);
        log_output output(full, notice);
        WHEN("lines are written")
        {
            output.wait_at_most(blocked);
            auto const begin = steady_now();
            output.write("one");
            output.write("two");
            output.flush();
            THEN("they are dropped at once, also at the end of the process")
            {
                CHECK(output.dropped_lines() == 2);
                CHECK(steady_now() - begin < blocked);
            }
        }
        close(full);
    }

    // Guards against a log that stays silent after the disk was full.
    GIVEN("a file that could not be written for a while")
    {
        temporary_folder folder;
        auto const path = folder.path / "log";
        int const file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        int const full = open("/dev/full", O_WRONLY);
        int const descriptor = dup(file);
        log_output output(descriptor, notice);
        output.write("one");
        dup2(full, descriptor);
        output.write("two");
        output.write("three");
        dup2(file, descriptor);
        WHEN("it can be written again")
        {
            output.write("four");
            THEN("the log tells the number of missing lines and goes on")
            {
                std::ifstream stream(path);
                std::string const text((std::istreambuf_iterator<char>(stream)), {});
                CHECK(text == "one\ndropped 2\nfour\n");
            }
        }
        for (int const each : {file, full, descriptor})
            close(each);
    }

    GIVEN("a closed descriptor")
    {
        int const descriptor = open("/dev/null", O_WRONLY);
        close(descriptor);
        log_output output(descriptor, notice);
        WHEN("a line is written")
        {
            output.write("one");
            THEN("it is dropped")
            {
                CHECK(output.dropped_lines() == 1);
            }
        }
    }
}
