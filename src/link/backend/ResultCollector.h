/** Turns the libpq results of one command into its outcome and its forwarded bytes. */
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "contract/BackendConnector.h"
#include "link/backend/LibpqHandles.h"
#include "link/pgwire/BackendMessageWriter.h"

namespace coralhoist::backend {

/** Collects what the running command returns, according to its ResultUse. */
class ResultCollector {
public:
    /** @param captureRowLimit rows of a captured result beyond this number are dropped. */
    explicit ResultCollector(std::size_t captureRowLimit) : _captureRowLimit(captureRowLimit) {}

    /** A command starts. */
    void begin(const contract::BackendCommand& command);

    /** Rows, or the end of a command that succeeded. */
    void addResult(const PGresult* result);

    /** The answer to a description: parameter types and columns. */
    void addDescription(const PGresult* result);

    /** A notice of the server; forwarded only when the command's result is. */
    void addNotice(const PGresult* notice);

    /** The database refused the command. */
    void fail(const PGresult* result);

    /** The command did not run, unless it is the remainder of one that failed. */
    void skip();

    /** @return encoded bytes that wait to be forwarded. */
    std::size_t pendingBytes() const { return _writer.bytes().size(); }

    std::string takeBytes();
    contract::CommandOutcome takeOutcome();

private:
    void describeColumns(const PGresult* result);
    void forwardRows(const PGresult* result);
    void captureRows(const PGresult* result);
    void complete(const PGresult* result);
    bool isForwarded() const { return _use == contract::ResultUse::Forward; }

    std::size_t _captureRowLimit;
    contract::ResultUse _use = contract::ResultUse::Discard;
    /** A RowDescription goes before the next forwarded row. */
    bool _describeRows = false;
    pgwire::BackendMessageWriter _writer;
    /** Views of one row; kept to spare an allocation for each row. */
    std::vector<pgwire::ColumnValue> _rowValues;
    contract::CommandOutcome _outcome;
};

}  // namespace coralhoist::backend
