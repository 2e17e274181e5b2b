/** Judges whether servers ran more units of a tenant than its quota allows. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "tenancy/QuotaTerms.h"

namespace coralhoist::soak {

/**
 * A unit is an operation of a caller. It counts in each window in which it was both sent and
 * arrived at a server that ran a statement of it, whichever proxies it came through.
 */
class QuotaJudge {
public:
    /** @param clock outlives the judge. What arrives is judged by when it is read, not earlier. */
    QuotaJudge(const tenancy::QuotaTerms& terms, const Clock& clock)
        : _terms(terms), _clock(clock) {}

    /** A caller sends a statement. @param unit that it is a part of. */
    void onSent(const std::string& statement, const TenantName& tenant, std::uint64_t unit);
    /** A server has read the statement, or begins to run it. */
    void onArrived(const std::string& statement);
    void onRan(const std::string& statement);

    /** @return the busiest window of each tenant that exceeds its bound, in words. */
    std::vector<std::string> violations(
        const std::map<TenantName, tenancy::TenantQuota>& quotas) const;

    /** @return the most units of the tenant in a window. */
    std::size_t busiestWindow(const TenantName& tenant) const;

private:
    struct Unit {
        TenantName tenant;
        TimePoint sentAt{};
        TimePoint arrivedAt{};
        bool ran = false;
    };

    tenancy::QuotaTerms _terms;
    const Clock& _clock;
    std::map<std::uint64_t, Unit> _units;
    std::map<std::string, std::uint64_t> _unitOf;
    /** When statements arrived that have not run yet. */
    std::map<std::string, TimePoint> _arrived;
};

}  // namespace coralhoist::soak
