/** Prepared statements and portals of one session. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "contract/Statement.h"
#include "link/caller/ClassifiedStatement.h"
#include "link/caller/StatementTag.h"

namespace coralhoist::caller {

/** A statement as Parse has left it. Back ends never see its name. */
struct PreparedStatement {
    TaggedStatement text;
    ClassificationPointer classification;
    std::vector<std::uint32_t> parameterTypes;

    /** @return the statement, or nothing for an empty query. */
    const ClassifiedStatement* statement() const {
        return classification->statements.empty() ? nullptr : &classification->statements.front();
    }
    std::size_t bytes() const { return text.sql.size(); }
};

using PreparedStatementPointer = std::shared_ptr<const PreparedStatement>;

/** A prepared statement with its parameters. */
struct Portal {
    PreparedStatementPointer statement;
    std::vector<contract::ParameterValue> parameters;
    contract::ValueFormat resultFormat = contract::ValueFormat::Text;
    bool executed = false;
};

/**
 * Named objects of one session. Changes to statements are recorded with their place in the batch:
 * messages behind the first error of a batch are skipped, so what they did must be undone.
 */
class PreparedStatements {
public:
    PreparedStatementPointer find(const std::string& name) const;
    /** @param entry place in the batch's reply. */
    void put(const std::string& name, PreparedStatementPointer statement, std::size_t entry);
    void erase(const std::string& name, std::size_t entry);
    void eraseAll(std::size_t entry);

    /** @return whether one more statement of that size is within the limits. */
    bool hasRoom(std::size_t bytes, std::size_t mostStatements, std::size_t mostBytes) const;

    /** The batch has succeeded: forgets how to undo. */
    void keepChanges() { _changes.clear(); }
    /** Undoes the changes whose place in the batch is behind the given one. */
    void undoAfter(std::size_t entry);

    Portal* findPortal(const std::string& name);
    void putPortal(const std::string& name, Portal portal);
    void erasePortal(const std::string& name) { _portals.erase(name); }
    void erasePortals() { _portals.clear(); }
    std::size_t portalCount() const { return _portals.size(); }

private:
    struct Change {
        std::size_t entry = 0;
        std::string name;
        PreparedStatementPointer previous;
    };

    void assign(const std::string& name, PreparedStatementPointer statement);

    std::map<std::string, PreparedStatementPointer> _statements;
    std::map<std::string, Portal> _portals;
    std::vector<Change> _changes;
    std::size_t _bytes = 0;
};

}  // namespace coralhoist::caller
