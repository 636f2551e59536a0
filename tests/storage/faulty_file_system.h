// In-memory file system that injects the faults of a disk: a crash loses unsynced data and
// directory entries, writes are short, the disk is full, syncs fail.

#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "storage/file_system.h"

namespace greengagehead::storage {

class faulty_file_system : public file_system {
public:
    struct node {
        /// Content that a reader sees.
        std::string content;
        /// Content as of the last successful sync; survives a crash.
        std::string durable;
        /// A sync has failed and the data was dropped. As on Linux, later syncs succeed
        /// nevertheless.
        bool pages_dropped = false;
    };

    base::result<std::unique_ptr<file>> open_append(std::string const& path) override
    {
        auto& target = this->names[path];
        if (!target)
            target = std::make_shared<node>();
        return std::make_unique<memory_file>(*this, target);
    }

    base::result<std::string> read(std::string const& path) override
    {
        auto const position = this->names.find(path);
        if (position == this->names.end())
            return base::error {
                base::error_code::not_found, base::error_step::recover, {}, path + " is missing"};
        return position->second->content;
    }

    base::result<void> rename(std::string const& from, std::string const& to) override
    {
        if (!this->names.contains(from))
            return base::error {
                base::error_code::not_found, base::error_step::sync, {}, from + " is missing"};
        this->names[to] = this->names.at(from);
        this->names.erase(from);
        return boost::outcome_v2::success();
    }

    base::result<void> remove(std::string const& path) override
    {
        this->names.erase(path);
        return boost::outcome_v2::success();
    }

    base::result<void> create_folder(std::string const& /*path*/) override
    {
        return boost::outcome_v2::success();
    }

    base::result<std::unique_ptr<folder_lock>> lock_folder(std::string const& /*path*/) override
    {
        return std::make_unique<folder_lock>();
    }

    base::result<void> sync_folder(std::string const& /*path*/) override
    {
        if (this->fail_syncs)
            return io_error("sync of the folder failed");
        this->durable_names = this->names;
        return boost::outcome_v2::success();
    }

    /// Simulates a crash of the machine. Unsynced directory entries are lost or kept as a whole. Of
    /// unsynced appended data a random prefix survives, possibly with one damaged byte. Syncs
    /// succeed again afterwards.
    void crash(std::mt19937_64& random)
    {
        if (random() % 2 == 0)
            this->names = this->durable_names;
        this->durable_names = this->names;
        for (auto& [_, stored] : this->names)
            stored = std::make_shared<node>(state_after_crash(*stored, random));
        this->durable_names = this->names;
        this->fail_syncs = false;
    }

    /// Deletes all files.
    void wipe()
    {
        this->names.clear();
        this->durable_names.clear();
    }

    /// Ends all faults of the disk. Data that was dropped stays dropped.
    void make_writable()
    {
        this->fail_syncs = false;
        this->free_bytes = std::numeric_limits<std::size_t>::max();
        this->max_write_bytes = std::numeric_limits<std::size_t>::max();
    }

    /// Flips one bit of the byte at `offset`, durably. A second call repairs it.
    void damage(std::string const& path, std::size_t offset)
    {
        auto& content = this->names.at(path)->content;
        content.at(offset) = static_cast<char>(content.at(offset) ^ 0x40);
        this->names.at(path)->durable = content;
    }

    [[nodiscard]] std::size_t size(std::string const& path) const
    {
        return this->names.at(path)->content.size();
    }

    /// Makes every sync of a file or folder fail.
    bool fail_syncs = false;
    /// Bytes that still fit on the disk. A write that does not fit is short; one to a full disk
    /// fails.
    std::size_t free_bytes = std::numeric_limits<std::size_t>::max();
    /// Longer writes are short: they write only this many bytes.
    std::size_t max_write_bytes = std::numeric_limits<std::size_t>::max();
    /// Number of syncs of files, including failed ones.
    std::uint64_t syncs = 0;

private:
    class memory_file : public file {
    public:
        memory_file(faulty_file_system& owner, std::shared_ptr<node> target)
            : owner(owner), target(std::move(target))
        {
        }
        base::result<std::size_t> append(std::string_view bytes) override
        {
            if (this->owner.free_bytes == 0)
                return io_error("no space left on device");
            auto const count
                = std::min({bytes.size(), this->owner.free_bytes, this->owner.max_write_bytes});
            this->target->content += bytes.substr(0, count);
            this->owner.free_bytes -= count;
            return count;
        }
        base::result<void> sync() override
        {
            ++this->owner.syncs;
            if (this->owner.fail_syncs) {
                this->target->pages_dropped = true;
                return io_error("sync failed");
            }
            if (!this->target->pages_dropped)
                this->target->durable = this->target->content;
            return boost::outcome_v2::success();
        }

    private:
        faulty_file_system& owner;
        std::shared_ptr<node> target;
    };

    static base::error io_error(std::string text)
    {
        return {base::error_code::io, base::error_step::sync, {}, std::move(text)};
    }

    /// The file as it is found after a crash.
    static node state_after_crash(node const& stored, std::mt19937_64& random)
    {
        auto content = stored.durable;
        if (!stored.pages_dropped && stored.content.starts_with(stored.durable)) {
            auto tail = stored.content.substr(stored.durable.size());
            tail.resize(random() % (tail.size() + 1));
            if (!tail.empty() && random() % 2 == 0)
                tail[random() % tail.size()] ^= 0x20;
            content += tail;
        }
        return {content, content, false};
    }

    /// Files by path.
    std::map<std::string, std::shared_ptr<node>> names;
    /// State of `names` at the last sync of a folder.
    std::map<std::string, std::shared_ptr<node>> durable_names;
};

} // namespace greengagehead::storage
