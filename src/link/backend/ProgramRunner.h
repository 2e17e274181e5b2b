/** Runs one program on an open connection in libpq's pipeline mode. */
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "contract/BackendConnector.h"
#include "link/backend/ConnectorOptions.h"
#include "link/backend/LibpqHandles.h"
#include "link/backend/ResultCollector.h"

namespace coralhoist::backend {

/**
 * Sends a program's commands in one go and turns the results into events, in order.
 *
 * Events may re-enter the connection: stop() or setReading() from within one takes effect before
 * the next result is looked at, and libpq's connection is not touched after stop().
 */
class ProgramRunner {
public:
    enum class Progress {
        Waiting, /**< More input is needed, or reading is stopped. */
        Ended,   /**< The whole program has ended; no event for that was delivered. */
        Broken,  /**< The connection can't be used any longer; see failure(). */
        Stopped, /**< stop() was called. */
    };

    ProgramRunner(ConnectionId id, PGconn* connection, contract::BackendEvents& events,
                  const ConnectorOptions& options);

    /**
     * Hands all commands to libpq; some may be sent at once.
     * @return false when libpq refused one; the connection can't be used any longer then.
     */
    bool start(contract::BackendProgram program);

    /** Turns the results that libpq holds into events. */
    Progress advance();

    /** Takes no further result until reading is allowed again. */
    void setReading(bool reading) { _reading = reading; }

    /** Ends without further events; the libpq connection may be destroyed afterwards. */
    void stop() { _stopped = true; }

    /** Takes a notice of the server; it travels with the result of the running command. */
    void addNotice(const PGresult* notice);

    /** @return why the connection is broken. */
    const std::string& failure() const { return _failure; }

private:
    /** A unit of libpq's pipeline. */
    struct Part {
        enum class Kind { Execute, Prepare, Describe, Sync };
        Kind kind;
        std::size_t commandIndex;
    };

    bool sendCommand(const contract::BackendCommand& command, std::size_t index);
    bool sendExecute(const contract::StatementStep& step);
    bool sendDescribe(const contract::StatementStep& step, std::size_t index);
    bool sendSync(std::size_t index);
    void expect(Part::Kind kind, std::size_t index);
    bool takeResult(const PGresult* result);
    bool takeError(const PGresult* result);
    void finishPart();
    void beginPart();
    void deliverBytes();

    const ConnectionId _id;
    PGconn* const _connection;
    contract::BackendEvents& _events;
    const ConnectorOptions& _options;
    contract::BackendProgram _program;
    std::deque<Part> _parts;
    ResultCollector _collector;
    std::size_t _commandIndex = 0;
    std::string _failure;
    bool _reading = true;
    bool _stopped = false;
};

}  // namespace coralhoist::backend
