// Behaviour of the log, snapshot and member record files when the disk fails or the machine
// crashes.

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

std::vector<std::string> const two_payloads {"first", "second"};

log_file::open_result open_log(file_system& files, std::string const& folder = "data")
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
        REQUIRE(opened.log->append(two_payloads));
        auto const acknowledged_size = files.size("data/log");

        // Guards against a torn write that prevents the member from starting or is read as data.
        WHEN("the machine crashes during a further append")
        {
            files.fail_syncs = true;
            REQUIRE_FALSE(opened.log->append({"third", "fourth"}));
            auto const seed = GENERATE(range(1, 200));
            std::mt19937_64 random(static_cast<std::uint64_t>(seed));
            files.crash(random);

            THEN("the acknowledged records are recovered, and no damaged ones")
            {
                auto const payloads = open_log(files).payloads;
                REQUIRE(payloads.size() >= 2);
                REQUIRE(std::vector(payloads.begin(), payloads.begin() + 2) == two_payloads);
                REQUIRE(payloads.size() <= 4);
            }
        }

        // Guards against damaged acknowledged data being truncated like a torn write.
        WHEN("any byte of an acknowledged record is damaged")
        {
            THEN("opening the file fails with the error corrupt")
            {
                for (std::size_t offset = 0; offset + 24 < acknowledged_size; ++offset) {
                    files.damage("data/log", offset);
                    auto const reopened = log_file::open(files, "data", "log");
                    INFO("offset " << offset);
                    REQUIRE_FALSE(reopened);
                    REQUIRE(reopened.error().code == base::error_code::corrupt);
                    files.damage("data/log", offset);
                }
            }
        }

        // Guards against a sync that is retried after a failure and succeeds although the kernel
        // has dropped the data.
        WHEN("a sync fails once")
        {
            files.fail_syncs = true;
            REQUIRE_FALSE(opened.log->append({"third"}));
            files.fail_syncs = false;

            THEN("later appends fail, and the payloads recovered on opening are durable")
            {
                CHECK_FALSE(opened.log->append({"fourth"}));
                auto const recovered = open_log(files).payloads;
                std::mt19937_64 random(1);
                files.crash(random);
                CHECK(open_log(files).payloads == recovered);
            }
        }

        // Guards against a partly written record being acknowledged.
        WHEN("the disk is full or a write is short")
        {
            auto& limit = GENERATE(true, false) ? files.free_bytes : files.max_write_bytes;
            limit = 10;
            CHECK_FALSE(opened.log->append({"third"}));
            limit = 1'000'000;

            THEN("the torn record is truncated when the log is opened again")
            {
                CHECK(open_log(files).payloads == two_payloads);
            }
        }
    }

    GIVEN("a folder in the file system of the machine")
    {
        auto const folder = std::filesystem::temp_directory_path()
            / ("greengagehead-log-" + std::to_string(::getpid()));
        posix_file_system files;
        REQUIRE(files.create_folder(folder.string()));

        THEN("the log and the member record can be read back")
        {
            REQUIRE(open_log(files, folder.string()).log->append(two_payloads));
            CHECK(open_log(files, folder.string()).payloads == two_payloads);
            snapshot_file record_file(files, folder.string(), "member");
            REQUIRE(write_record(record_file, {1, 2, 3}));
            CHECK(read_record(record_file).value() == member_record {1, 2, 3});
        }

        // Guards against two processes that vote with the identity stored in the same folder.
        THEN("the folder can be locked only once at a time")
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

SCENARIO("a snapshot file survives a failed replacement, and damage is detected")
{
    GIVEN("a written snapshot")
    {
        faulty_file_system files;
        snapshot_file snapshot(files, "data", "snapshot");
        REQUIRE(snapshot.write("old"));

        // Guards against a crash that leaves neither the old nor the new state.
        WHEN("replacing it fails and the machine crashes")
        {
            (GENERATE(true, false) ? files.free_bytes : files.max_write_bytes) = 5;
            CHECK_FALSE(snapshot.write("new"));
            std::mt19937_64 random(GENERATE(1, 2, 3, 4));
            files.crash(random);

            THEN("the old state can be read")
            {
                CHECK(snapshot.read().value() == "old");
            }
        }

        // Guards against damaged state being restored.
        WHEN("a byte is damaged")
        {
            files.damage("data/snapshot", GENERATE(0, 4, 12, 14));

            THEN("reading it fails with the error corrupt")
            {
                REQUIRE_FALSE(snapshot.read());
                CHECK(snapshot.read().error().code == base::error_code::corrupt);
            }
        }
    }
}
