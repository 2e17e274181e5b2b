/** Builds the programs that the executor sends to back ends. */
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "contract/BackendConnector.h"
#include "contract/Execution.h"
#include "contract/StatusQuery.h"

namespace coralhoist::contract {

/** Purpose of a command in a program. */
enum class CommandRole {
    Reset,          /**< Discards session state left by an earlier user of the connection. */
    Parameter,      /**< Applies a session parameter. */
    Guard,          /**< Status query before statements that need a read floor. */
    Step,           /**< A step of the caller's batch. */
    ImplicitBegin,  /**< Opens the transaction of a batch that ends with Flush. */
    ImplicitCommit, /**< Commits that transaction at the caller's Sync. */
    Status,         /**< Status query after a commit. */
    KeyBegin,       /**< Opens the transaction that stores the key, the write and the outcome. */
    KeyInsert,      /**< Claims the request key. */
    KeyRecord,      /**< Stores the outcome with the key. */
    KeyCommit,      /**< Commits the key, the write and the outcome. */
    KeyRollback,    /**< Rolls back a failed transaction. */
    KeySelect,      /**< Reads the recorded outcome. */
    KeyCreateTable, /**< Creates the table of request keys. */
};

/** Role of one command; stepIndex is the caller's step for CommandRole::Step. */
struct CommandLabel {
    CommandRole role = CommandRole::Step;
    std::size_t stepIndex = 0;
};

/** A program and the roles of its commands. */
struct LabelledProgram {
    BackendProgram program;
    std::vector<CommandLabel> labels;
};

/** Appends commands one by one. */
class ProgramBuilder {
public:
    /** @param statusQuery the group's status query. */
    explicit ProgramBuilder(std::string statusQuery) : _statusQuery(std::move(statusQuery)) {}

    /** Discards all session state, in a separate segment. */
    ProgramBuilder& addReset();
    /** Applies parameters within the segment of the statements that follow. */
    ProgramBuilder& addParameters(const std::vector<SessionParameter>& parameters);
    /** Adds a status query in a separate segment. */
    ProgramBuilder& addStatus(CommandRole role);
    /** @param sync whether the segment ends after the last step. */
    ProgramBuilder& addSteps(const StatementBatch& batch, bool sync);
    /** Adds a statement issued by the proxy itself. */
    ProgramBuilder& addStatement(CommandRole role, std::string sql, ResultUse use, bool sync,
                                 std::vector<ParameterValue> parameters = {});

    LabelledProgram take() { return std::move(_result); }

private:
    void append(BackendCommand command, CommandLabel label);

    std::string _statusQuery;
    LabelledProgram _result;
};

}  // namespace coralhoist::contract
