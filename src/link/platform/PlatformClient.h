/** Typed, asynchronous access to the platform's object API. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Status.h"
#include "link/platform/MachineRecord.h"
#include "settings/SettingsObject.h"

namespace coralhoist::platform {

/** All settings nodes at one version of the store. */
struct SettingsList {
    /** Deleted nodes whose tombstone is still kept are part of it, with deleted set. */
    std::vector<settings::SettingsObjectRecord> records;
    /** Version of the store up to which the list is complete. A watch goes on from here. */
    std::uint64_t version = 0;
};

/** All machines at one version of the store, as far as the lagging list shows them. */
struct MachineList {
    std::vector<MachineRecord> records;
    std::uint64_t version = 0;
};

/** An edit of one settings node. */
struct SettingsEdit {
    /** "estate", "estate/GROUP" or "estate/GROUP/SERVICE". */
    std::string path;
    /** Version on which the edit is based; ignored by createNode. */
    std::uint64_t expectedVersion = 0;
    /** The node's own values as a JSON object; ignored by deleteNode. */
    std::string document;
    /** Unique for this edit. Repeating an edit with the same id applies it at most once. */
    std::string operationId;
    std::string author;
};

/** How an edit ended. */
struct EditOutcome {
    /**
     * Ok: the edit took effect exactly once.
     * VersionConflict, AlreadyExists, NotFound, InvalidArgument, Unavailable: it took no effect and
     * never will.
     * OutcomeUnknown: it may have taken effect or may still do so. Repeat it with the same
     * operationId to find out.
     */
    Status status;
    std::string operationId;
    /** Version that the edit made; 0 unless status is ok. */
    std::uint64_t version = 0;
    /** The node as last read when the edit was refused; empty when it was not read. */
    std::optional<settings::SettingsObjectRecord> current;
};

/** Receives the settings nodes and their changes. */
class SettingsWatchEvents {
public:
    virtual ~SettingsWatchEvents() = default;

    /**
     * The whole tree, at the start or after the platform has forgotten the changes in between.
     * A node known with a version up to list.version that is absent from it has been deleted.
     * @param list never older than what was delivered before by the same watch.
     */
    virtual void onSettingsListed(const SettingsList& list) = 0;

    /**
     * A node was created, replaced or deleted. Versions grow from call to call.
     * @param record the new version; deleted is set for a deletion.
     */
    virtual void onSettingsChanged(const settings::SettingsObjectRecord& record) = 0;

    /**
     * All changes up to a version have been delivered.
     * @param version of the store.
     */
    virtual void onSettingsProgress(std::uint64_t version) = 0;

    /**
     * The stream was lost; the watch reconnects by itself.
     * @param reason why.
     */
    virtual void onSettingsWatchInterrupted(const Status& reason) = 0;
};

/** Receives the machine list and its changes; same rules as SettingsWatchEvents. */
class MachineWatchEvents {
public:
    virtual ~MachineWatchEvents() = default;

    virtual void onMachinesListed(const MachineList& list) = 0;
    virtual void onMachineChanged(const MachineRecord& record) = 0;
    virtual void onMachineWatchInterrupted(const Status& reason) = 0;
};

/** A running watch; destroying it ends the watch and no event follows. */
class Watch {
public:
    virtual ~Watch() = default;
};

using SettingsListCallback = std::function<void(StatusWith<SettingsList>)>;
using SettingsNodeCallback = std::function<void(StatusWith<settings::SettingsObjectRecord>)>;
using MachineListCallback = std::function<void(StatusWith<MachineList>)>;
using EditCallback = std::function<void(EditOutcome)>;

/**
 * The platform as the rest of the product sees it. Calls return at once; each callback is called
 * exactly once, later, on the thread of the client, unless the client is destroyed before.
 */
class PlatformClient {
public:
    virtual ~PlatformClient() = default;

    /**
     * Reads all settings nodes.
     * @param callback gets the list, or Unavailable or DeadlineExceeded.
     */
    virtual void listSettings(SettingsListCallback callback) = 0;

    /**
     * Reads one settings node.
     * @param path of the node.
     * @param callback gets the record, or NotFound, Unavailable or DeadlineExceeded. A node with a
     *        kept tombstone is returned with deleted set.
     */
    virtual void readNode(const std::string& path, SettingsNodeCallback callback) = 0;

    /**
     * Watches all settings nodes until the returned object is destroyed.
     * @param fromVersion version after which changes are wanted, or 0 to begin with a list.
     * @param events outlives the watch.
     */
    [[nodiscard]] virtual std::unique_ptr<Watch> watchSettings(std::uint64_t fromVersion,
                                                               SettingsWatchEvents& events) = 0;

    /** Creates a node that does not exist, or exists only as a tombstone. */
    virtual void createNode(SettingsEdit edit, EditCallback callback) = 0;

    /** Replaces a node that is at edit.expectedVersion. */
    virtual void replaceNode(SettingsEdit edit, EditCallback callback) = 0;

    /**
     * Deletes a node that is at edit.expectedVersion. A tombstone with the operation id takes its
     * place and is removed later.
     */
    virtual void deleteNode(SettingsEdit edit, EditCallback callback) = 0;

    /** Reads the machine list. */
    virtual void listMachines(MachineListCallback callback) = 0;

    /** Watches the machine list; parameters as in watchSettings. */
    [[nodiscard]] virtual std::unique_ptr<Watch> watchMachines(std::uint64_t fromVersion,
                                                               MachineWatchEvents& events) = 0;
};

}  // namespace coralhoist::platform
