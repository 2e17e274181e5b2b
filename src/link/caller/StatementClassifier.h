/** SQL text to statement kinds, for routing. */
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "link/caller/ClassifiedStatement.h"

namespace coralhoist::caller {

/**
 * Classifies every statement of a query string. What is in doubt counts as a write.
 * @param sql one or more statements.
 * @return the statements in order, or the parser's refusal.
 */
Classification classifyQuery(const std::string& sql);

/** Remembers classifications by exact text, least recently used first out. One thread. */
class StatementClassifier {
public:
    /** Bounds of the cache. */
    struct Limits {
        std::size_t entries = 4096;
        /** Longer texts are classified anew each time. */
        std::size_t textBytes = 16384;
    };

    StatementClassifier() : StatementClassifier(Limits{}) {}
    explicit StatementClassifier(Limits limits) : _limits(limits) {}

    /** @return the classification of the text; shared with the cache. */
    ClassificationPointer classify(const std::string& sql);

    std::size_t hits() const { return _hits; }
    std::size_t misses() const { return _misses; }
    std::size_t size() const { return _entries.size(); }

private:
    struct Entry {
        std::string sql;
        ClassificationPointer classification;
    };
    using EntryList = std::list<Entry>;

    void remember(const std::string& sql, ClassificationPointer classification);

    Limits _limits;
    /** Most recently used first. */
    EntryList _entries;
    /** Keys view into the texts of _entries, whose nodes do not move. */
    std::unordered_map<std::string_view, EntryList::iterator> _index;
    std::size_t _hits = 0;
    std::size_t _misses = 0;
};

}  // namespace coralhoist::caller
