/** Admission control of one database server: decides which queued statement executes next. */
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/Identifier.h"

namespace coralhoist::contract {

/** Admission classes in descending order of preference. */
enum class AdmissionClass {
    InTransaction, /**< Continues an open transaction, which holds locks until the transaction ends.
                    */
    Urgent,
    Ordinary,
};

/** Limits of one server's admission queue. */
struct AdmissionLimits {
    /** Maximum number of statements that execute concurrently. */
    std::uint32_t slots = 1;
    /** Slots reserved for urgent statements; at least one slot always remains for ordinary ones. */
    std::uint32_t urgentReserved = 0;
    /** Maximum number of queued statements in each class. */
    std::uint32_t queueLimit = 512;
    /** Maximum number of consecutive urgent statements admitted while an ordinary one could run. */
    std::uint32_t urgentBurst = 8;
};

/** A queued statement. */
struct AdmissionCandidate {
    RequestId id;
    AdmissionClass admissionClass = AdmissionClass::Ordinary;
};

/**
 * The queued and executing statements of one server.
 *
 * Invariants: a new statement starts only while fewer than `slots` statements execute, and at most
 * `slots - urgentReserved` of them are ordinary. An ordinary statement that could run waits for at
 * most urgentBurst urgent statements. A statement that continues a transaction starts at once, even
 * above the slot limit, because the statements that hold the slots may be waiting for the
 * transaction's locks. The number of such statements is bounded by the connections that
 * transactions hold.
 */
class AdmissionQueue {
public:
    void setLimits(const AdmissionLimits& limits) { _limits = limits; }

    /**
     * @return false when the queue of the class is full; statements that continue a transaction are
     *         always accepted.
     */
    bool push(const AdmissionCandidate& candidate);

    /** @return whether the request was queued here. */
    bool remove(RequestId id);

    /** @return the statement to start next if it may start now. The statement stays queued. */
    std::optional<AdmissionCandidate> next() const;

    /** @return whether a statement of the class would start at once if it were pushed now. */
    bool hasRoomFor(AdmissionClass admissionClass) const;

    /**
     * @return whether at least kCrowdedRounds statements per slot are queued, so that a new
     * statement waits until each slot has executed at least that many.
     */
    bool isCrowded() const { return queued() >= kCrowdedRounds * _limits.slots; }

    /**
     * Starts the statement that next() returned: removes it from the queue and counts it as
     * executing.
     */
    void start(const AdmissionCandidate& candidate);

    /** Records the end of a started statement. */
    void finish(AdmissionClass admissionClass);

    /**
     * Removes and returns all queued statements that are not bound to this server, in order of
     * class and arrival.
     */
    std::deque<AdmissionCandidate> takeUnbound();

    std::size_t queued(AdmissionClass admissionClass) const;
    std::size_t queued() const;
    std::uint32_t executing() const { return _executing; }

private:
    static constexpr std::size_t kClasses = 3;
    /** Number of queued statements per slot at which the queue counts as crowded. */
    static constexpr std::size_t kCrowdedRounds = 2;
    std::deque<RequestId>& queueOf(AdmissionClass admissionClass);
    const std::deque<RequestId>& queueOf(AdmissionClass admissionClass) const;
    bool ordinaryMayRun() const;
    /** @return the number of slots that ordinary statements may use. */
    std::uint32_t ordinarySlots() const;

    AdmissionLimits _limits;
    std::array<std::deque<RequestId>, kClasses> _queues;
    std::uint32_t _executing = 0;
    std::uint32_t _ordinaryExecuting = 0;
    /** Urgent statements started since an ordinary one last started or since none could run. */
    std::uint32_t _urgentInRow = 0;
};

}  // namespace coralhoist::contract
