// CRC32C, computed with Boost.CRC.

#include "storage/checksum.h"

#include <boost/crc.hpp>

namespace greengagehead::storage {

std::uint32_t crc32c(std::string_view bytes)
{
    // Castagnoli polynomial, reflected, as in RFC 3720.
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> checksum_state;
    checksum_state.process_bytes(bytes.data(), bytes.size());
    return static_cast<std::uint32_t>(checksum_state.checksum());
}

} // namespace greengagehead::storage
