/** All group executors of this process, as one executor. */
#pragma once

#include <map>
#include <memory>

#include "base/Time.h"
#include "contract/Execution.h"
#include "duty/GroupRuntime.h"
#include "zone/ConnectionShare.h"

namespace coralhoist::duty {

/** What this node does for a group, as placement says. */
struct GroupAssignment {
    contract::OwnerRole role = contract::OwnerRole::None;
    /** Connections to each server that placement grants this node. */
    std::uint32_t connections = 0;
    /** Slots of each server that this node may use at once. */
    std::uint32_t slots = 0;
};

/**
 * Creates a GroupRuntime for each group that this node owns. A runtime is kept when the ownership
 * ends, without connections, so that what is in flight can finish and routers may hold pointers.
 */
class GroupRuntimes final : public contract::StatementExecutor {
public:
    /** @param clock, random outlive this object. */
    GroupRuntimes(ZoneName ownZone, const Clock& clock, RandomSource& random);

    /** Puts settings and assignment of a group in force. */
    void assign(const settings::GroupSettings& settings, const GroupAssignment& assignment);

    /** Lets shares grow whose delay is over. Call about once a second. */
    void onTick(TimePoint now);

    /** @return the runtime of a group that this node executes for, or null. */
    GroupRuntime* owned(const GroupName& group);

    /** Planned stop: all executors refuse new work. */
    void drain();

    /** @return whether nothing is in flight anywhere. */
    bool isDrained() const;

    /** @return whether new work for the group is executed here: false also while leaving. */
    bool executesFor(const GroupName& group) const;

    void submit(contract::ExecutionRequest request, contract::ResponseSink& sink) override;
    void resume(RequestId id) override;
    void cancel(RequestId id) override;
    void endSession(SessionId session) override;

    /** Calls visit(name, runtime) for each runtime. */
    template <typename Visitor>
    void forEach(const Visitor& visit) const {
        for (const auto& [name, entry] : _entries) {
            visit(name, *entry.runtime);
        }
    }

private:
    struct Entry {
        std::unique_ptr<GroupRuntime> runtime;
        std::unique_ptr<zone::ShareAllowance> allowance;
        GroupAssignment assignment;
        contract::ConnectionShare share;
    };

    Entry& entryOf(const settings::GroupSettings& settings);
    static void applyShare(Entry& entry, TimePoint now);

    ZoneName _ownZone;
    const Clock& _clock;
    RandomSource& _random;
    bool _draining = false;
    std::map<GroupName, Entry> _entries;
};

}  // namespace coralhoist::duty
