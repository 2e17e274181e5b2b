/** Judges whether changes of the settings are in force on each proxy within their bound. */
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"

namespace coralhoist::soak {

/** Times of the promise that is judged. */
struct SettingsPromise {
    /** A change is in force this long after the store acknowledged it. */
    Duration bound = std::chrono::milliseconds(3000);
    /** The promise is given to proxies that have been without trouble for so long. */
    Duration contact = std::chrono::milliseconds(4000);
};

/**
 * Databases come and go with the settings; callers ask for them at each proxy. Trouble of the store
 * and of a proxy, its way to the store included, suspends the promise; trouble of other proxies, of
 * links between them and of open connections does not.
 */
class SettingsJudge {
public:
    /** @param clock outlives the judge. */
    SettingsJudge(std::size_t proxies, SettingsPromise promise, const Clock& clock);

    /** The store has acknowledged settings that add or drop the database. */
    void onAdded(const std::string& database);
    void onDropped(const std::string& database);

    /** Trouble begins or ends; several may stand at a time. */
    void setStoreTroubled(bool troubled);
    void setProxyTroubled(std::size_t proxy, bool troubled);

    /** @return the newest database that each proxy must know by now; the one dropped last that
     * none may open any more. */
    std::optional<std::string> knownToAll() const;
    std::optional<std::string> droppedByAll() const;

    /**
     * A proxy has answered whether it serves a database.
     * @param askedAt when the question was sent.
     */
    void onAnswer(std::size_t proxy, const std::string& database, bool served, TimePoint askedAt);

    const std::vector<std::string>& violations() const { return _violations; }
    /** @return answers that were held to the promise. */
    std::size_t judged() const { return _judged; }

private:
    /** A span without end while trouble stands. */
    struct Trouble {
        std::size_t standing = 0;
        TimePoint endedAt{};
    };
    struct Database {
        std::string name;
        TimePoint addedAt{};
        std::optional<TimePoint> droppedAt;
    };

    void set(Trouble& trouble, bool begins) const;
    bool isCalm(const Trouble& trouble, TimePoint at) const;

    SettingsPromise _promise;
    const Clock& _clock;
    Trouble _store;
    std::vector<Trouble> _proxies;
    std::deque<Database> _databases;
    std::vector<std::string> _violations;
    std::size_t _judged = 0;
};

}  // namespace coralhoist::soak
