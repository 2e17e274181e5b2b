/** What the classifier found out about one SQL statement. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "contract/Statement.h"

namespace coralhoist::caller {

/** SET name = value, or RESET name when there is no value. */
struct SetParameter {
    std::string name;
    std::optional<std::string> value;
    /** SET LOCAL: ends with the transaction. */
    bool isLocal = false;
};

/** RESET ALL. */
struct ResetAllParameters {};

/** SHOW name. */
struct ShowParameter {
    std::string name;
};

/** DEALLOCATE name, or DEALLOCATE ALL when there is no name. */
struct DeallocateStatement {
    std::optional<std::string> name;
};

/** DISCARD ALL. */
struct DiscardAll {};

/** A statement without effect on a proxied session, e.g. UNLISTEN or DISCARD PLANS. */
struct NoOperation {
    /** Tag of its CommandComplete. */
    std::string commandTag;
};

/** SAVEPOINT, RELEASE or ROLLBACK TO; the session follows parameters through them. */
struct SavepointCommand {
    enum class Action { Define, Release, RollbackTo };
    Action action = Action::Define;
    std::string name;
};

/** The part of a statement that concerns the caller's session; nothing for all other statements. */
using SessionCommand = std::variant<std::monostate, SetParameter, ResetAllParameters, ShowParameter,
                                    DeallocateStatement, DiscardAll, NoOperation, SavepointCommand>;

/** One statement of a query string. */
struct ClassifiedStatement {
    std::string sql;
    contract::StatementKind kind = contract::StatementKind::Write;
    /** May leave state behind on the back-end connection. */
    bool changesSession = false;
    /** May return rows; false only when it certainly does not. */
    bool returnsRows = true;
    SessionCommand command;
    /** Why a statement of kind Unsupported is refused. */
    std::string refusal;
};

/** Why a query string was refused by the parser. */
struct ParseFailure {
    std::string sqlState;
    std::string message;
    /** Character position from 1; 0 when unknown. */
    std::int32_t position = 0;
};

/** A query string's statements, or the reason why it has none. */
struct Classification {
    std::vector<ClassifiedStatement> statements;
    std::optional<ParseFailure> failure;
};

using ClassificationPointer = std::shared_ptr<const Classification>;

}  // namespace coralhoist::caller
