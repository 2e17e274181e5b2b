/** What all sessions of one proxy share. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Status.h"
#include "base/Time.h"
#include "contract/Execution.h"
#include "link/caller/CallerStatistics.h"
#include "link/caller/StatementClassifier.h"
#include "settings/SettingsView.h"

namespace coralhoist::caller {

/** Knows how far the groups' histories have come, so that a token from the future is found. */
class OpTimeOracle {
public:
    using SampleHandler = std::function<void(std::optional<OpTime>)>;

    virtual ~OpTimeOracle() = default;

    /** @return the newest point that a majority of the group has confirmed so far, if any. */
    virtual std::optional<OpTime> newestKnown(const GroupName& group) const = 0;

    /**
     * Asks a majority of the group for its newest point.
     * @param handler called exactly once, on the callers' thread, perhaps during this call; without
     *                a value when no majority answered in time.
     */
    virtual void sample(const GroupName& group, SampleHandler handler) = 0;
};

/** The newest points that this proxy's own callers have seen confirmed; spares samples. */
class ConfirmedOpTimes {
public:
    void observe(const GroupName& group, const OpTime& opTime) {
        OpTime& newest = _newest[group];
        newest = std::max(newest, opTime);
    }
    /** @return whether a point is known to be confirmed. */
    bool covers(const GroupName& group, const OpTime& opTime) const {
        const auto found = _newest.find(group);
        return found != _newest.end() && opTime <= found->second;
    }

private:
    std::unordered_map<GroupName, OpTime> _newest;
};

/** The sessions of this proxy, as one of them sees the others. */
class SessionDirectory {
public:
    virtual ~SessionDirectory() = default;

    /** @return Overloaded when the service has as many sessions on this proxy as it may. */
    virtual Status admit(const GroupName& group, const ServiceName& service,
                         std::uint32_t limit) = 0;
    /** Gives back what admit has taken. */
    virtual void release(const GroupName& group, const ServiceName& service) = 0;
    /** Cancels what the session of that number runs, if the key is its own. */
    virtual void cancel(std::int32_t processId, std::int32_t secretKey) = 0;
    /** @return a number that no other request of this process has. */
    virtual RequestId nextRequestId() = 0;
};

/** Largest sizes of what one session may hold. */
struct SessionLimits {
    std::uint32_t messageBytes = 16U * 1024U * 1024U;
    /** Input kept while a batch runs; above it the socket is not read. */
    std::size_t waitingInputBytes = 65536;
    /** A batch with more steps is handed over in parts, as if Flush had come. */
    std::size_t batchSteps = 256;
    /** The same for the bytes of statements and parameters. */
    std::size_t batchBytes = 4194304;
    std::size_t preparedStatements = 1024;
    std::size_t preparedBytes = 4194304;
    std::size_t portals = 64;
};

/** Shared by all sessions; outlives them. All on the callers' thread. */
struct CallerContext {
    contract::StatementExecutor& executor;
    OpTimeOracle& oracle;
    const Clock& clock;
    SessionDirectory& directory;
    StatementClassifier& classifier;
    CallerStatistics& statistics;
    ConfirmedOpTimes& confirmed;
    settings::SettingsViewPointer settings;
    SessionLimits limits;
    /** server_version as reported to callers; drivers derive features from it. */
    std::string serverVersion = "15.0";
};

}  // namespace coralhoist::caller
