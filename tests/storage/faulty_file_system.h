// In-memory file system with the faults of a disk: unsynced data and names are lost in a crash,
// writes come out short, the disk fills up, syncs fail.

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
        std::string content;
        std::string durable;
        /// A sync failed: as on Linux, later syncs succeed although the data was dropped.
        bool dropped = false;
    };

    base::result<std::unique_ptr<file>> open_append(std::string const& path) override
    {
        auto& found = this->names[path];
        if (!found)
            found = std::make_shared<node>();
        return std::make_unique<memory_file>(*this, found);
    }

    base::result<std::string> read(std::string const& path) override
    {
        auto const found = this->names.find(path);
        if (found == this->names.end())
            return base::error {
                base::error_code::not_found, base::error_step::recover, {}, path + " is missing"};
        return found->second->content;
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
            return failure("sync of the folder failed");
        this->durable_names = this->names;
        return boost::outcome_v2::success();
    }

    /// Loses what was not synced; a random part of an unsynced tail survives, possibly damaged.
    void crash(std::mt19937_64& random)
    {
        if (random() % 2 == 0)
            this->names = this->durable_names;
        this->durable_names = this->names;
        for (auto& [_, item] : this->names)
            item = std::make_shared<node>(survivor(*item, random));
        this->durable_names = this->names;
        this->fail_syncs = false;
    }

    /// Empties the disk.
    void wipe()
    {
        this->names.clear();
        this->durable_names.clear();
    }

    /// Changes one byte of a file for good.
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

    bool fail_syncs = false;
    /// Bytes that still fit on the disk; a write that does not fit comes out short.
    std::size_t free_bytes = std::numeric_limits<std::size_t>::max();
    /// No write takes more than this many bytes.
    std::size_t max_write_bytes = std::numeric_limits<std::size_t>::max();
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
                return failure("no space left on device");
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
                this->target->dropped = true;
                return failure("sync failed");
            }
            if (!this->target->dropped)
                this->target->durable = this->target->content;
            return boost::outcome_v2::success();
        }

    private:
        faulty_file_system& owner;
        std::shared_ptr<node> target;
    };

    static base::error failure(std::string text)
    {
        return {base::error_code::io, base::error_step::sync, {}, std::move(text)};
    }

    static node survivor(node const& item, std::mt19937_64& random)
    {
        auto content = item.durable;
        if (!item.dropped && item.content.starts_with(item.durable)) {
            auto tail = item.content.substr(item.durable.size());
            tail.resize(random() % (tail.size() + 1));
            if (!tail.empty() && random() % 2 == 0)
                tail[random() % tail.size()] ^= 0x20;
            content += tail;
        }
        return {content, content, false};
    }

    std::map<std::string, std::shared_ptr<node>> names;
    std::map<std::string, std::shared_ptr<node>> durable_names;
};

} // namespace greengagehead::storage
