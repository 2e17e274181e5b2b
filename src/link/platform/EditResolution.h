/** Decides how an edit goes on after each answer, or after none. Pure: no socket, no timer. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "link/platform/PlatformClient.h"

namespace coralhoist::platform {

/** An earlier edit of a node, carried along by the later ones. */
struct RecentOperation {
    std::string operationId;
    /** Version that the edit made. */
    std::uint64_t version = 0;

    bool operator==(const RecentOperation&) const = default;
};

/** Most earlier edits that a node carries along. */
inline constexpr std::size_t kRecentOperationLimit = 16;

/** A settings node as the platform stores it. */
struct StoredNode {
    settings::SettingsObjectRecord record;
    /** The edits before record.operationId, oldest first. */
    std::vector<RecentOperation> recentOperations;
};

enum class EditKind { Create, Replace, Delete };

/** Answer to a read of one node. */
struct ReadAnswer {
    enum class Kind { Found, NotFound, Failed };
    Kind kind = Kind::Failed;
    /** Set when found. */
    std::optional<StoredNode> node;
    /** Why it failed. */
    Status status;
};

/** Answer to a write of one node. */
struct WriteAnswer {
    enum class Kind {
        Applied,  /**< It took effect; version is set. */
        Conflict, /**< Refused: the node exists, is gone, or has another version. */
        Refused,  /**< Refused for its content; repeating it is no use. */
        NotSent,  /**< The request never reached the platform, or was turned away unread. */
        Lost,     /**< No usable answer; it may have taken effect or may still do so. */
    };
    Kind kind = Kind::Lost;
    std::uint64_t version = 0;
    Status status;
};

/** What to do next. */
struct EditAction {
    enum class Kind {
        Read,   /**< Read the node. */
        Write,  /**< Create (baseVersion 0) or replace the node by EditAction::node. */
        Finish, /**< Hand EditAction::outcome to the requester. */
    };
    Kind kind = Kind::Read;
    /** Wait for the next back-off delay before doing so. */
    bool afterDelay = false;
    std::optional<StoredNode> node;
    std::uint64_t baseVersion = 0;
    std::optional<EditOutcome> outcome;
};

/**
 * One edit from start to outcome.
 *
 * Every write names the version on which it is based, so of all copies of one write, also late
 * ones, the platform takes at most one. Every node carries the ids of the edits that led to it. So
 * a node read after a lost answer shows whether the edit is among its ancestors: it is, then the
 * edit took effect; the base is but the edit isn't, then it did not and, as the base is gone, never
 * will.
 */
class EditResolution {
public:
    EditResolution(EditKind kind, SettingsEdit edit);

    /** @return path of the edited node. */
    const std::string& path() const { return _edit.path; }

    /** @return the first step. */
    EditAction start() const;
    /** @return the step after a read was answered. */
    EditAction onRead(const ReadAnswer& answer);
    /** @return the step after a write was answered. */
    EditAction onWrite(const WriteAnswer& answer);
    /** @return the final step: the time for the edit is over. */
    EditAction onDeadline() const;

private:
    EditAction onFound(const StoredNode& node);
    EditAction onMissing();
    EditAction onFoundByCreate(const StoredNode& node);
    EditAction onFoundByChange(const StoredNode& node);
    EditAction write(const std::optional<StoredNode>& base);
    EditAction read(bool afterDelay) const;
    EditAction finish(Status status, const std::optional<StoredNode>& current) const;
    EditAction finishUnknown(const std::optional<StoredNode>& current) const;
    EditAction finishApplied(std::uint64_t version) const;
    /** @return the version that this edit made, if it is an ancestor of the node. */
    std::optional<std::uint64_t> appliedVersion(const StoredNode& node) const;
    /** @return whether the node's ancestors are known back to the base of this edit. */
    bool provesAbsence(const StoredNode& node) const;

    EditKind _kind;
    SettingsEdit _edit;
    /** Version on which the last write was based; 0 when it created the node. */
    std::uint64_t _baseVersion = 0;
    bool _writeInFlight = false;
    /** A write was sent whose effect is not known. */
    bool _inDoubt = false;
};

}  // namespace coralhoist::platform
