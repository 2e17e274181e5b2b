#include "link/caller/PreparedStatements.h"

#include <utility>

namespace coralhoist::caller {

PreparedStatementPointer PreparedStatements::find(const std::string& name) const {
    const auto found = _statements.find(name);
    return found == _statements.end() ? nullptr : found->second;
}

void PreparedStatements::assign(const std::string& name, PreparedStatementPointer statement) {
    if (const PreparedStatementPointer previous = find(name)) {
        _bytes -= previous->bytes();
        _statements.erase(name);
    }
    if (statement) {
        _bytes += statement->bytes();
        _statements.emplace(name, std::move(statement));
    }
}

void PreparedStatements::put(const std::string& name, PreparedStatementPointer statement,
                             std::size_t entry) {
    _changes.push_back({entry, name, find(name)});
    assign(name, std::move(statement));
}

void PreparedStatements::erase(const std::string& name, std::size_t entry) {
    _changes.push_back({entry, name, find(name)});
    assign(name, nullptr);
}

void PreparedStatements::eraseAll(std::size_t entry) {
    while (!_statements.empty()) {
        const std::string name = _statements.begin()->first;
        erase(name, entry);
    }
}

bool PreparedStatements::hasRoom(std::size_t bytes, std::size_t mostStatements,
                                 std::size_t mostBytes) const {
    return _statements.size() < mostStatements && _bytes + bytes <= mostBytes;
}

void PreparedStatements::undoAfter(std::size_t entry) {
    while (!_changes.empty() && _changes.back().entry > entry) {
        assign(_changes.back().name, _changes.back().previous);
        _changes.pop_back();
    }
    _changes.clear();
}

Portal* PreparedStatements::findPortal(const std::string& name) {
    const auto found = _portals.find(name);
    return found == _portals.end() ? nullptr : &found->second;
}

void PreparedStatements::putPortal(const std::string& name, Portal portal) {
    _portals.insert_or_assign(name, std::move(portal));
}

}  // namespace coralhoist::caller
