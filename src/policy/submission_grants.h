// Which entry may start an ephemeral submission, as one of its witnesses has granted it.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "protocol/message.h"

namespace greengagehead::policy {

/// How long a grant is kept after its last use. Announcements of its holder count longer.
constexpr std::chrono::milliseconds grant_retention {15'000};
/// Grants that are kept, for 1,300 a second; one takes about 200 bytes. Beyond it the oldest one is
/// forgotten.
constexpr std::size_t max_grants {20'000};

/// Grants of this witness. At most one entry holds a submission at a time.
class submission_grants {
public:
    using steady_time = base::steady_time;

    struct granted {
        protocol::claim_ref claim;
        steady_time since;
        steady_time kept_until;
    };
    /// Grants the submission unless another entry holds it.
    /// @param ended claims under which nothing runs any more and nothing will start.
    /// @return what holds the submission now. Valid until the next change.
    granted const& grant(std::string const& key, protocol::claim_ref const& claim,
                         std::vector<protocol::claim_ref> const& ended, steady_time now);
    /// The claim was withdrawn before anything started under it.
    void release(std::string const& key, protocol::claim_ref const& claim);
    /// Another entry states that the claim holds the submission. Has no effect on a submission of
    /// which this witness knows more.
    void adopt(std::string const& key, protocol::claim_ref const& claim, steady_time now);
    [[nodiscard]] std::vector<protocol::submission_ref> all() const;
    /// Whether an entry holds the submission, as far as this witness knows.
    [[nodiscard]] bool contains(std::string const& key) const { return this->grants.contains(key); }
    /// Drops what has expired.
    void expire(steady_time now);
    [[nodiscard]] std::size_t size() const { return this->grants.size(); }

private:
    granted& add(std::string const& key, protocol::claim_ref const& claim, steady_time now);
    void drop_oldest();

    std::unordered_map<std::string, granted> grants; ///< By key.
};

} // namespace greengagehead::policy
