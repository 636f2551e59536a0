// Faults of the disk under the log, snapshot and record files.

#include <filesystem>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "storage/faulty_file_system.h"
#include "storage/log_file.h"
#include "storage/member_record.h"
#include "storage/posix_file_system.h"
#include "storage/snapshot_file.h"

using namespace greengagehead;
using namespace greengagehead::storage;

namespace {

std::vector<std::string> const two {"first", "second"};

log_file::opened open_log(file_system& files, std::string const& folder = "data")
{
    auto result = log_file::open(files, folder, "log");
    REQUIRE(result);
    return std::move(result.value());
}

} // namespace

SCENARIO("a log file is recovered after a crash")
{
    GIVEN("a log with two acknowledged records")
    {
        faulty_file_system files;
        auto opened = open_log(files);
        REQUIRE(opened.log->append(two));
        auto const acknowledged_size = files.size("data/log");

        // Guards against a torn write keeping the member from starting, or being taken for data.
        WHEN("the process dies during a further append")
        {
            files.fail_syncs = true;
            REQUIRE_FALSE(opened.log->append({"third", "fourth"}));
            auto const seed = GENERATE(range(1, 200));
            std::mt19937_64 random(static_cast<std::uint64_t>(seed));
            files.crash(random);

            THEN("the acknowledged records are there, and nothing damaged")
            {
                auto const payloads = open_log(files).payloads;
                REQUIRE(payloads.size() >= 2);
                REQUIRE(std::vector(payloads.begin(), payloads.begin() + 2) == two);
                REQUIRE(payloads.size() <= 4);
            }
        }

        // Guards against acknowledged data being cut like a torn tail.
        WHEN("any byte of an acknowledged record is damaged")
        {
            THEN("the file is refused with a clear error")
            {
                for (std::size_t offset = 0; offset + 24 < acknowledged_size; ++offset) {
                    files.damage("data/log", offset);
                    auto const refused = log_file::open(files, "data", "log");
                    INFO("offset " << offset);
                    REQUIRE_FALSE(refused);
                    REQUIRE(refused.error().code == base::error_code::corrupt);
                    files.damage("data/log", offset);
                }
            }
        }

        // Guards against a failed sync being repeated with success although the kernel has dropped
        // the data.
        WHEN("a sync fails once")
        {
            files.fail_syncs = true;
            REQUIRE_FALSE(opened.log->append({"third"}));
            files.fail_syncs = false;

            THEN("the log stays stopped, and after a restart only durable data is used")
            {
                CHECK_FALSE(opened.log->append({"fourth"}));
                auto const seen = open_log(files).payloads;
                std::mt19937_64 random(1);
                files.crash(random);
                CHECK(open_log(files).payloads == seen);
            }
        }

        // Guards against a half-written record being acknowledged.
        WHEN("the disk fills up or a write comes out short")
        {
            auto& limit = GENERATE(true, false) ? files.free_bytes : files.max_write_bytes;
            limit = 10;
            CHECK_FALSE(opened.log->append({"third"}));
            limit = 1'000'000;

            THEN("the tail is cut at the next start")
            {
                CHECK(open_log(files).payloads == two);
            }
        }
    }

    GIVEN("a real folder")
    {
        auto const folder = std::filesystem::temp_directory_path()
            / ("greengagehead-log-" + std::to_string(::getpid()));
        posix_file_system files;
        REQUIRE(files.create_folder(folder.string()));

        THEN("log, snapshot and record can be read again")
        {
            REQUIRE(open_log(files, folder.string()).log->append(two));
            CHECK(open_log(files, folder.string()).payloads == two);
            snapshot_file record(files, folder.string(), "member");
            REQUIRE(write_record(record, {1, 2, 3}));
            CHECK(read_record(record).value() == member_record {1, 2, 3});
        }

        // Guards against two processes that vote under the identity of one folder.
        THEN("only one process can use it at a time")
        {
            auto first = files.lock_folder(folder.string());
            REQUIRE(first);
            CHECK(files.lock_folder(folder.string()).error().code == base::error_code::conflict);
            first.value().reset();
            CHECK(files.lock_folder(folder.string()));
        }
        std::filesystem::remove_all(folder);
    }
}

SCENARIO("a snapshot is replaced")
{
    GIVEN("a written snapshot")
    {
        faulty_file_system files;
        snapshot_file snapshot(files, "data", "snapshot");
        REQUIRE(snapshot.write("old"));

        // Guards against a crash that leaves neither the old nor the new state.
        WHEN("its replacement fails and the machine crashes")
        {
            (GENERATE(true, false) ? files.free_bytes : files.max_write_bytes) = 5;
            CHECK_FALSE(snapshot.write("new"));
            std::mt19937_64 random(GENERATE(1, 2, 3, 4));
            files.crash(random);

            THEN("the old state is there")
            {
                CHECK(snapshot.read().value() == "old");
            }
        }

        // Guards against damaged state being restored.
        WHEN("a byte is damaged")
        {
            files.damage("data/snapshot", GENERATE(0, 4, 12, 14));

            THEN("it is refused")
            {
                REQUIRE_FALSE(snapshot.read());
                CHECK(snapshot.read().error().code == base::error_code::corrupt);
            }
        }
    }
}
