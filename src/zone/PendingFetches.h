/** Versions that were announced and asked for, but have not come yet. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "zone/DistributionMessage.h"
#include "zone/DistributionOptions.h"

namespace coralhoist::zone {

/** Asks one source at a time for each version and turns to the next when no answer comes. */
class PendingFetches {
public:
    explicit PendingFetches(const DistributionOptions& options) : _options(options) {}

    /**
     * Notes that a peer holds a version that this node lacks.
     * @return whether to ask that peer now.
     */
    bool note(const ObjectVersion& object, const PeerReference& source, TimePoint now);

    /** A record came; versions up to it are not waited for any more. */
    void arrived(const std::string& path, std::uint64_t version);

    /** A path to be asked for again, and whom. */
    struct Retry {
        std::string path;
        PeerReference source;
    };

    /** @return what is overdue. Versions with too many attempts are dropped. */
    std::vector<Retry> takeOverdue(TimePoint now);

    /** @return the earliest time at which takeOverdue has something. */
    std::optional<TimePoint> nextDeadline() const;

private:
    struct Pending {
        std::uint64_t version = 0;
        std::vector<PeerReference> sources;
        TimePoint askedAt;
        int attempts = 1;
    };

    const DistributionOptions& _options;
    std::map<std::string, Pending> _pending;
};

}  // namespace coralhoist::zone
