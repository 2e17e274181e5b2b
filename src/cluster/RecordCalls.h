/** Loading and saving single records of the store under their versions. */
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/StoreOutcome.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectProtocol.h"

namespace coralhoist::cluster {

/** What a call of a record needs. References outlive it. */
struct RecordCalls {
    socket::HttpCaller& client;
    const store::ObjectProtocol& protocol;
    std::string kind;

    /**
     * @param read turns an object into a record, or nothing.
     * @param callback gets the outcome and the record, which is empty where there is no object:
     * then its version has the era alone.
     */
    template <typename Loaded, typename Read>
    void load(const std::string& name, Read read,
              std::function<void(const Loaded&)> callback) const;

    /**
     * Writes the object if the store has the version that it names, or creates it where that does
     * not exist. A writing that a store of another era has carried out, where the revision means
     * something else, ends as a conflict: what it replaced is not what its version names.
     */
    template <typename Saved>
    void save(const store::StoredObject& object, std::function<void(const Saved&)> callback) const;
};

/** A call of a record may take so long: an answer takes 4 ms, and 240 ms while the store is slow.
 */
constexpr Duration kRecordTimeout = std::chrono::milliseconds(700);

/** @return how a call ended that was not successful. */
StoreOutcome failureOf(const socket::HttpAnswer& answer);

bool isSuccess(const socket::HttpAnswer& answer);

/** @return whether the store has no such object. */
bool isMissing(const socket::HttpAnswer& answer);

template <typename Loaded, typename Read>
void RecordCalls::load(const std::string& name, Read read,
                       std::function<void(const Loaded&)> callback) const {
    socket::HttpCall call = protocol.readCall(kind, name);
    call.timeout = kRecordTimeout;
    client.call(call, [&objects = protocol, read = std::move(read),
                       callback = std::move(callback)](const socket::HttpAnswer& answer) {
        Loaded loaded;
        if (isMissing(answer)) {
            loaded.outcome = StoreOutcome::Done;
            loaded.record.version.era = objects.eraOf(answer);
        } else if (isSuccess(answer)) {
            const std::optional<store::StoredObject> object = objects.readObject(answer);
            if (auto record = object ? read(*object) : std::nullopt) {
                loaded.outcome = StoreOutcome::Done;
                loaded.record = std::move(*record);
            }
        }
        callback(loaded);
    });
}

template <typename Saved>
void RecordCalls::save(const store::StoredObject& object,
                       std::function<void(const Saved&)> callback) const {
    socket::HttpCall call = object.version.exists() ? protocol.replaceCall(kind, object)
                                                    : protocol.createCall(kind, object);
    call.timeout = kRecordTimeout;
    client.call(call, [&objects = protocol, era = object.version.era,
                       callback = std::move(callback)](const socket::HttpAnswer& answer) {
        Saved saved;
        saved.outcome = failureOf(answer);
        if (isSuccess(answer)) {
            const std::optional<store::StoredObject> written = objects.readObject(answer);
            saved.outcome = written ? StoreOutcome::Done : StoreOutcome::Unknown;
            saved.version = written ? written->version : StoreVersion{};
        }
        if (saved.outcome == StoreOutcome::Done && saved.version.era != era) {
            saved.outcome = StoreOutcome::Conflict;
        }
        callback(saved);
    });
}

}  // namespace coralhoist::cluster
