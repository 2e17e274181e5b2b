/** How simulated servers run the statements of callers. */
#include "lab/pooled/LogConnector.h"

namespace coralhoist::pooled {

using pooling::ServerCommand;
using pooling::StatementFault;
using pooling::StatementResult;

void LogConnector::executeCaller(const ConnectionPointer& connection,
                                 const ServerCommand& command) {
    const LogServer& server = *connection->server;
    const RequestNote& note = _book.at(command.id);
    if (connection->inTransaction && note.session != connection->session) {
        _judge.fail("PINNED: a statement ran in the transaction of another session");
    }
    if (command.after && server.appliedPosition() < *command.after) {
        refuse(connection, StatementFault::Lagging);
        return;
    }
    const bool lostLead = connection->inTransaction && !connection->readOnly &&
                          (!server.primary || server.term != connection->term);
    if (lostLead && (command.text != "COMMIT" || connection->wrote)) {
        connection->failed = true;
        refuse(connection, StatementFault::ReadOnly);
        return;
    }
    if (command.text.rfind("BEGIN", 0) == 0) {
        begin(connection, command);
    } else if (command.text == "COMMIT") {
        commit(connection, command);
    } else if (command.text == "WRITE") {
        write(connection, command);
    } else {
        read(connection, command);
    }
}

void LogConnector::begin(const ConnectionPointer& connection, const ServerCommand& command) {
    connection->readOnly = command.text == "BEGIN READ";
    if (!connection->readOnly && !connection->server->primary) {
        refuse(connection, StatementFault::ReadOnly);
        return;
    }
    connection->inTransaction = true;
    connection->failed = false;
    connection->wrote = false;
    connection->term = connection->server->term;
    connection->session = _book.at(command.id).session;
    answer(connection, StatementResult{});
}

void LogConnector::read(const ConnectionPointer& connection, const ServerCommand& command) {
    const LogServer& server = *connection->server;
    const RequestNote& note = _book.at(command.id);
    _judge.onReadRan(
        {note.session, note.promise, note.staleness, note.since, connection->group->name()},
        [&server](const LogPlace& place) { return server.hasApplied(place); });
    answer(connection, signedResult(*connection));
}

void LogConnector::write(const ConnectionPointer& connection, const ServerCommand& command) {
    if (connection->inTransaction) {
        connection->wrote = true;
        answer(connection, signedResult(*connection));
        return;
    }
    if (!connection->server->primary) {
        refuse(connection, StatementFault::ReadOnly);
        return;
    }
    commitEntry(connection, _book.at(command.id).commit);
}

void LogConnector::commit(const ConnectionPointer& connection, const ServerCommand& command) {
    connection->inTransaction = false;
    if (!connection->wrote) {
        answer(connection, signedResult(*connection));
        return;
    }
    commitEntry(connection, _book.at(command.id).commit);
}

void LogConnector::commitEntry(const ConnectionPointer& connection, CommitId commit) {
    connection->group->commit(*connection->server, commit, [this, connection](bool kept) {
        if (isGone(*connection)) {
            return;
        }
        if (kept) {
            answer(connection, signedResult(*connection));
        } else {
            // The server has lost its lead before a replica had the commit; it says nothing.
            connection->dead = true;
        }
    });
}

}  // namespace coralhoist::pooled
