/** The session parameters of one caller, replayed on whichever connection runs its statements. */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Status.h"
#include "contract/Execution.h"
#include "link/caller/ClassifiedStatement.h"

namespace coralhoist::caller {

/**
 * Parameters set by SET, RESET and at start-up, with PostgreSQL's transactional meaning: changes
 * made since the last commit are undone by a rollback, and those since a savepoint by ROLLBACK TO.
 */
class SessionParameters {
public:
    /** Names and values together; more are refused. */
    static constexpr std::size_t kLargestBytes = 8192;

    /**
     * @param name in lower case.
     * @return whether the parameter may be kept for a session, and the value has its form; code
     *         Unsupported or InvalidArgument.
     */
    static Status check(const std::string& name, const std::optional<std::string>& value);

    /** Records a change; it lasts when commit follows. */
    void set(const std::string& name, const std::optional<std::string>& value);
    /** Back to the parameters of the start-up message. */
    void resetAll();
    /** Makes the present values the ones to which RESET returns. */
    void declareDefaults();

    void commit();
    void rollback();
    void applySavepoint(const SavepointCommand& command);

    /** @return the value in force, or nothing when the back end's own default holds. */
    std::optional<std::string> value(const std::string& name) const;
    /** @return everything to apply to a connection. */
    std::vector<contract::SessionParameter> all() const;
    /** @return bytes of names and values held. */
    std::size_t bytes() const;

private:
    using Values = std::map<std::string, std::string>;

    /** The state to which ROLLBACK TO returns. */
    struct Savepoint {
        std::string name;
        Values values;
    };

    void applyTo(Values& values, const std::string& name,
                 const std::optional<std::string>& value) const;

    Values _defaults;
    Values _committed;
    Values _current;
    std::vector<Savepoint> _savepoints;
};

/** @return the canonical spelling of an encoding name that means UTF-8 here, or nothing. */
std::optional<std::string> acceptedEncoding(const std::string& value);

/**
 * @param value of statement_timeout, a number with an optional unit; milliseconds without one.
 * @return the duration; zero means none. Nothing when malformed.
 */
std::optional<Duration> parseTimeout(const std::string& value);

}  // namespace coralhoist::caller
