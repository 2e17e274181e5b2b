/** Versions in the platform's store. */
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace coralhoist {

/**
 * A version of an object or of the whole store, with the era in which the store showed it. A store
 * that returns from an older copy gives revisions out again: a revision names something only within
 * its era. What was shown in a later era is newer, whatever the revisions.
 */
struct StoreVersion {
    /** Era of the answer that showed it; 0 where the store shows no eras. */
    std::uint64_t era = 0;
    /** Grows with each change within an era; 0 where there is no object. */
    std::uint64_t revision = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter misreads the generated comparison.
    auto operator<=>(const StoreVersion&) const = default;

    /** @return whether there is an object of this version. */
    bool exists() const { return revision != 0; }

    /**
     * @return one number for calls that know no eras. It grows with the version as long as an era
     * has less than 2^40 changes.
     */
    std::uint64_t token() const {
        constexpr unsigned kRevisionBits = 40;
        return (era << kRevisionBits) + revision;
    }
};

/** Writes ERA.REVISION, or the revision alone where there are no eras. */
inline std::ostream& operator<<(std::ostream& stream, const StoreVersion& version) {
    if (version.era != 0) {
        stream << version.era << '.';
    }
    return stream << version.revision;
}

}  // namespace coralhoist
