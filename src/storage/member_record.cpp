// The member record: three integers, stored in a checksummed file.

#include "storage/member_record.h"

#include "storage/checksum.h"

namespace greengagehead::storage {

namespace {

constexpr std::size_t integer_bytes = sizeof(std::uint64_t);
constexpr std::size_t record_bytes = 3 * integer_bytes;

} // namespace

base::result<void> write_record(snapshot_file& target, member_record const& record)
{
    std::string bytes;
    put_integer(bytes, record.identity);
    put_integer(bytes, record.term);
    put_integer(bytes, record.vote);
    return target.write(bytes);
}

base::result<std::optional<member_record>> read_record(snapshot_file const& source)
{
    BOOST_OUTCOME_TRY(bytes, source.read());
    if (!bytes)
        return std::optional<member_record> {};
    if (bytes->size() != record_bytes)
        return base::error {base::error_code::corrupt,
                            base::error_step::recover,
                            {},
                            "member record has " + std::to_string(bytes->size()) + " bytes"};
    return std::optional(member_record {get_integer<std::uint64_t>(*bytes, 0),
                                        get_integer<std::uint64_t>(*bytes, integer_bytes),
                                        get_integer<std::uint64_t>(*bytes, 2 * integer_bytes)});
}

} // namespace greengagehead::storage
