/** Settings of one session: SET, SHOW, RESET. */
#pragma once

#include <map>
#include <optional>
#include <string>

namespace coralhoist::lab::database {

/** Named values that follow the session's transactions: a rollback undoes what was set. */
class SessionVariables {
public:
    SessionVariables();

    /** Sets the value to which RESET returns; for start-up parameters. */
    void setDefault(const std::string& name, const std::string& value);

    /** @return the value, or no value for an unknown name. Names are case-insensitive. */
    std::optional<std::string> get(const std::string& name) const;

    /**
     * @param local whether the value lasts only until the end of the transaction.
     * @param inTransaction whether a rollback may still undo it.
     * @return false for an unknown name. Names with a dot are always accepted.
     */
    bool set(const std::string& name, const std::string& value, bool local, bool inTransaction);

    /** @return false for an unknown name. */
    bool reset(const std::string& name, bool inTransaction);
    void resetAll(bool inTransaction);

    /** The transaction has ended. */
    void endTransaction(bool committed);

    /** @return the value in milliseconds, e.g. of "250", "250ms", "2s"; 0 for anything else. */
    int milliseconds(const std::string& name) const;

private:
    using Values = std::map<std::string, std::string>;

    void remember(bool inTransaction);

    Values _defaults;
    Values _values;
    /** Values before the transaction, once it has changed one. */
    std::optional<Values> _before;
    /** Values that the transaction sets beyond its end. */
    Values _lasting;
};

}  // namespace coralhoist::lab::database
