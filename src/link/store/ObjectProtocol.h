/** What an adapter supplies to speak with an object store: how calls and answers look. */
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/StoreVersion.h"
#include "base/Time.h"
#include "link/socket/HttpCaller.h"

namespace coralhoist::store {

/** One object of the store. */
struct StoredObject {
    std::string name;
    /** Version of its last change; one growing number for the whole store. */
    StoreVersion version;
    QJsonObject content;
};

/** Part of a list. */
struct ObjectPage {
    std::vector<StoredObject> objects;
    /** The next page begins after the last object's name. */
    bool more = false;
    /** Version of the store that the page shows. */
    StoreVersion version;
};

/** One change. */
struct ObjectEvent {
    StoredObject object;
    bool removed = false;
    /** The content as nodes hand it on, made when it is first needed; see ObjectPacking. */
    std::shared_ptr<const std::string> packed = nullptr;
};

/** Answer to a watch. */
struct ObjectEvents {
    std::vector<ObjectEvent> events;
    /** Version from which to go on. */
    StoreVersion version;
};

/** Builds calls and reads answers. Holds no connection and decides nothing. */
class ObjectProtocol {
public:
    virtual ~ObjectProtocol() = default;

    virtual socket::HttpCall listCall(const std::string& kind, const std::string& after) const = 0;
    /** A list that is cheap and may show the objects as they were seconds ago. */
    virtual socket::HttpCall recentListCall(const std::string& kind,
                                            const std::string& after) const = 0;
    /** The era of the version is the caller's to compare with that of the answer. */
    virtual socket::HttpCall watchCall(const std::string& kind, const StoreVersion& version,
                                       Duration wait) const = 0;
    virtual socket::HttpCall readCall(const std::string& kind, const std::string& name) const = 0;
    virtual socket::HttpCall createCall(const std::string& kind,
                                        const StoredObject& object) const = 0;
    /** The call that replaces the object if it still has the version that it names. */
    virtual socket::HttpCall replaceCall(const std::string& kind,
                                         const StoredObject& object) const = 0;

    /** Each returns nothing for an answer whose body can't be understood. Versions are of the era
     * that the answer shows. */
    virtual std::optional<ObjectPage> readPage(const socket::HttpAnswer& answer) const = 0;
    virtual std::optional<ObjectEvents> readEvents(const socket::HttpAnswer& answer) const = 0;
    virtual std::optional<StoredObject> readObject(const socket::HttpAnswer& answer) const = 0;

    /** @return the era that an answer of the store shows (see `StoreEra`); 0 when it shows none. */
    virtual std::uint64_t eraOf(const socket::HttpAnswer& answer) const = 0;
};

}  // namespace coralhoist::store
