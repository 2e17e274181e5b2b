/** How much of a server's time the statements of each service take, as observed. */
#pragma once

#include <map>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** What is placed on a server as a whole. */
enum class UnitKind {
    Read,        /**< One statement that reads. */
    Write,       /**< One statement that may change data. */
    Transaction, /**< All statements of a transaction together. */
};

/**
 * Smoothed times that units of work occupy a slot, by service and kind. The times include the wait
 * in the server's own queue, which is alike for all statements of a group, so they serve to compare
 * units of one group with each other and not as absolute figures.
 */
class SlotTimeEstimates {
public:
    /** Takes the time that a finished unit has occupied a slot. */
    void add(const ServiceName& service, UnitKind kind, Duration took);

    /**
     * @return the expected time of a unit. While none of its kind has been seen, that of the
     * service's dearest other kind; zero for an unknown service.
     */
    Duration expected(const ServiceName& service, UnitKind kind) const;

private:
    using ByKind = std::map<UnitKind, Duration>;
    std::map<ServiceName, ByKind> _times;
};

}  // namespace coralhoist::pooling
