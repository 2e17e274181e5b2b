/** Observed times that the statements of each service occupy a server's slot. */
#pragma once

#include <map>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** The unit of work that is placed on a server as a whole. */
enum class UnitKind {
    Read,        /**< One statement that only reads. */
    Write,       /**< One statement that may change data. */
    Transaction, /**< All statements of a transaction together. */
};

/**
 * Smoothed times that units of work occupy a slot, by service and kind. The times include the wait
 * in the server's own queue, which is similar for all statements of a group, so they are suitable
 * for comparing units of one group with each other but not as absolute figures.
 */
class SlotTimeEstimates {
public:
    /** Adds the time that a finished unit occupied a slot. */
    void add(const ServiceName& service, UnitKind kind, Duration took);

    /**
     * @return the expected time of a unit. While no unit of its kind has been observed, the highest
     * time of the service's other kinds; zero for an unknown service.
     */
    Duration expected(const ServiceName& service, UnitKind kind) const;

private:
    using ByKind = std::map<UnitKind, Duration>;
    std::map<ServiceName, ByKind> _times;
};

}  // namespace coralhoist::pooling
