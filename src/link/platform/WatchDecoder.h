/** Splits the byte stream of a watch into events. */
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <cstdint>
#include <vector>

#include "base/Status.h"

namespace coralhoist::platform {

/** Longest event accepted; a longer one ends the stream instead of growing memory. */
inline constexpr qsizetype kLargestWatchEvent = qsizetype{4} * 1024 * 1024;

/** One event of a watch. */
struct WatchEvent {
    enum class Kind {
        Changed,  /**< ADDED or MODIFIED. */
        Deleted,  /**< DELETED; version is that of the deletion. */
        Bookmark, /**< BOOKMARK: everything up to version has been sent. */
        Gone,     /**< ERROR with code 410: the start version is no longer kept. */
        Failed,   /**< Any other ERROR. */
    };
    Kind kind = Kind::Failed;
    std::uint64_t version = 0;
    QJsonObject object;
};

/** Collects newline-delimited JSON. */
class WatchDecoder {
public:
    /**
     * @param bytes next part of the stream, cut anywhere.
     * @return the events completed by it, in order, or ProtocolViolation; the stream is of no more
     *         use then.
     */
    StatusWith<std::vector<WatchEvent>> feed(const QByteArray& bytes);

private:
    QByteArray _pending;
};

}  // namespace coralhoist::platform
