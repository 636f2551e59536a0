// Recovery of a data folder and writes to it.
//
// The log file is append-only: an entry replaces every earlier entry with the same or a higher
// index. It is rewritten after each snapshot.

#include "consensus/member_store.h"

#include <utility>

#include "consensus/encoding.h"

namespace greengagehead::consensus {

namespace {

constexpr char const* log_name = "log";
constexpr char const* snapshot_name = "snapshot";
constexpr char const* record_name = "member";
constexpr char const* damaged_suffix = ".damaged";

std::vector<std::string> encode_all(std::vector<protocol::log_entry> const& entries)
{
    std::vector<std::string> payloads;
    payloads.reserve(entries.size());
    for (auto const& entry : entries)
        payloads.push_back(encode(entry));
    return payloads;
}

base::error corrupt(std::string text)
{
    return {base::error_code::corrupt, base::error_step::recover, {}, std::move(text)};
}

} // namespace

member_store::member_store(storage::file_system& files, std::string folder)
    : files(files), folder(std::move(folder)), record_file(files, this->folder, record_name),
      snapshot(files, this->folder, snapshot_name)
{
}

base::result<member_store::recovered> member_store::open(std::uint64_t new_identity)
{
    recovered result;
    BOOST_OUTCOME_TRY(this->files.create_folder(this->folder));
    if (!this->lock) {
        BOOST_OUTCOME_TRY(acquired, this->files.lock_folder(this->folder));
        this->lock = std::move(acquired);
    }
    BOOST_OUTCOME_TRY(this->open_record(new_identity, result));
    result.raft.self = this->record.identity;
    result.raft.term = this->record.term;
    result.raft.vote = this->record.vote;
    BOOST_OUTCOME_TRY(this->open_snapshot(result));
    BOOST_OUTCOME_TRY(this->open_log(result));
    return result;
}

base::result<void> member_store::open_record(std::uint64_t new_identity, recovered& result)
{
    BOOST_OUTCOME_TRY(found, storage::read_record(this->record_file));
    if (found) {
        this->record = *found;
        return boost::outcome_v2::success();
    }
    // The record is written before any other file. If it is missing beside other data, the identity
    // and the vote are lost.
    auto const log_content = this->files.read(this->folder + "/" + log_name);
    auto const snapshot_content = this->files.read(this->folder + "/" + snapshot_name);
    if (log_content || snapshot_content)
        return corrupt(this->folder
                       + ": the member record is missing, but a log or a snapshot exists");
    this->record.identity = new_identity;
    if (auto const written = storage::write_record(this->record_file, this->record); !written)
        result.write_error = written.error();
    return boost::outcome_v2::success();
}

base::result<void> member_store::open_snapshot(recovered& result)
{
    BOOST_OUTCOME_TRY(content, this->snapshot.read());
    if (!content)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(decoded, decode_snapshot(*content));
    result.raft.log = entry_log(decoded.last, std::move(decoded.members));
    result.state = std::move(decoded.state);
    result.has_snapshot = true;
    return boost::outcome_v2::success();
}

base::result<void> member_store::open_log(recovered& result)
{
    BOOST_OUTCOME_TRY(opened, storage::log_file::open(this->files, this->folder, log_name));
    this->log = std::move(opened.log);
    result.truncated_bytes = opened.truncated_bytes;
    if (opened.write_error)
        result.write_error = std::move(opened.write_error);
    auto& entries = result.raft.log;
    for (auto const& payload : opened.payloads) {
        BOOST_OUTCOME_TRY(entry, decode_entry(payload));
        entries.erase_from(entry.index);
        // The snapshot contains this entry; a crash prevented the rewrite of the log.
        if (entry.index <= entries.base().index)
            continue;
        if (entry.index != entries.last().index + 1)
            return corrupt(this->folder + ": gap in the log: entry " + std::to_string(entry.index)
                           + " follows entry " + std::to_string(entries.last().index));
        entries.append(std::move(entry));
    }
    return boost::outcome_v2::success();
}

base::result<void> member_store::set_aside()
{
    // The record, which contains the identity, is renamed first, so that a crash in between cannot
    // leave a member that votes under this identity without its log.
    for (auto const* name : {record_name, log_name, snapshot_name}) {
        auto const path = this->folder + "/" + name;
        auto const renamed = this->files.rename(path, path + damaged_suffix);
        if (!renamed && renamed.error().code != base::error_code::not_found)
            return renamed.error();
        BOOST_OUTCOME_TRY(this->files.sync_folder(this->folder));
    }
    return boost::outcome_v2::success();
}

bool member_store::has_damaged_data() const
{
    for (auto const* name : {record_name, log_name, snapshot_name}) {
        auto const found = this->files.read(this->folder + "/" + name + damaged_suffix);
        if (found || found.error().code != base::error_code::not_found)
            return true;
    }
    return false;
}

base::result<void> member_store::save_vote(std::uint64_t term, protocol::member_id vote)
{
    this->record.term = term;
    this->record.vote = vote;
    return storage::write_record(this->record_file, this->record);
}

base::result<void> member_store::append(std::vector<protocol::log_entry> const& entries)
{
    return this->log->append(encode_all(entries));
}

base::result<void> member_store::save_snapshot(std::string const& content,
                                               std::vector<protocol::log_entry> const& remaining)
{
    BOOST_OUTCOME_TRY(this->snapshot.write(content));
    return this->rewrite_log(remaining);
}

base::result<void> member_store::rewrite_log(std::vector<protocol::log_entry> const& entries)
{
    BOOST_OUTCOME_TRY(
        rewritten,
        storage::log_file::rewrite(this->files, this->folder, log_name, encode_all(entries)));
    this->log = std::move(rewritten);
    return boost::outcome_v2::success();
}

base::result<void> member_store::rewrite(std::uint64_t term, protocol::member_id vote,
                                         std::optional<std::string> const& new_snapshot,
                                         std::vector<protocol::log_entry> const& entries)
{
    BOOST_OUTCOME_TRY(this->save_vote(term, vote));
    if (new_snapshot) {
        BOOST_OUTCOME_TRY(this->snapshot.write(*new_snapshot));
    }
    return this->rewrite_log(entries);
}

base::result<std::string> member_store::read_snapshot() const
{
    BOOST_OUTCOME_TRY(content, this->snapshot.read());
    if (!content)
        return corrupt(this->folder + ": the snapshot file is missing");
    return std::move(*content);
}

} // namespace greengagehead::consensus
