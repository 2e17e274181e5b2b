/** Turns the evacuations that the store shows into what is known of them. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cluster/ClusterCodec.h"
#include "link/store/ObjectWatch.h"
#include "locality/EvacuatedZones.h"
#include "locality/RegionMap.h"

namespace coralhoist::cluster {

/** What the feed is made of. All outlive it. */
struct EvacuationFeedParts {
    const Clock& clock;
    const ClusterCodec& codec;
    /** The estate's zones; others can't be evacuated. Where it is empty, all can. */
    const locality::RegionMap& regions;
    locality::EvacuatedZones& zones;
    /** @return up to when the kind is proven, without what the feed is being told. */
    std::function<TimePoint()> provenAt;
};

/** Sink of the kind of evacuations. An entry that names no known zone asks for nothing and hides no
 * other; why is logged once a version. */
class EvacuationFeed final : public store::WatchSink {
public:
    explicit EvacuationFeed(EvacuationFeedParts parts) : _parts(std::move(parts)) {}

    void onList(const std::vector<store::StoredObject>& objects,
                const StoreVersion& version) override;
    void onEvent(const store::ObjectEvent& event) override;
    void onReachable(bool /*reachable*/) override {}

    /** @return versions of entries that named no known zone, each counted once. */
    std::uint64_t unreadableEntries() const { return _unreadableEntries; }

private:
    std::optional<ZoneName> zoneOf(const store::StoredObject& object);
    StatusWith<ZoneName> read(const store::StoredObject& object) const;

    EvacuationFeedParts _parts;
    std::map<std::string, StoreVersion> _loggedVersions;
    std::uint64_t _unreadableEntries = 0;
};

}  // namespace coralhoist::cluster
