/** The answers to one batch, in the order of the caller's messages. */
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "contract/Statement.h"

namespace coralhoist::caller {

/** What of a step's answer the caller is owed. */
enum class StepReply {
    SimpleQuery,          /**< Rows with their description. */
    Portal,               /**< Rows without description. */
    DescribedPortal,      /**< Rows with description, or NoData in its place. */
    StatementDescription, /**< Parameter and row description. */
    PortalDescription,    /**< Row description in the portal's format. */
    Discarded,            /**< Nothing; the caller did not ask for this step. */
};

/**
 * Interleaves what the session answers itself (ParseComplete, BindComplete, ...) with the steps'
 * bytes. After the first error of a batch nothing more is let through.
 */
class ReplySequence {
public:
    /** Appends an answer of the session itself. */
    void addLocal(std::string bytes);
    /** Appends the place of the next step's answer. */
    void addStep(StepReply reply, contract::ValueFormat format = contract::ValueFormat::Text);

    /** @return the number of entries so far; positions of effects refer to it. */
    std::size_t size() const { return _entries.size(); }
    bool hasSteps() const { return _stepCount > 0; }

    /** @return the session's own answers up to the first step that has not answered. */
    std::string takeLeading();

    /**
     * @param stepIndex of the batch; not lower than in the call before.
     * @param bytes whole back-end messages.
     * @return what goes to the caller now.
     */
    std::string onStepBytes(std::size_t stepIndex, std::string bytes, bool stepComplete);

    /** @return all that is left when the batch has succeeded; nothing after an error. */
    std::string takeRest();

    /** @return whether a step answered with an ErrorResponse. */
    bool hasFailed() const { return _failed; }
    /** @return the entry whose step failed or is next to answer; effects after it did not happen.
     */
    std::size_t position() const { return _position; }
    /** @return whether an entry's step has answered without error. */
    bool hasSucceeded(std::size_t entry) const { return entry < _position; }

private:
    struct Entry {
        bool isStep = false;
        StepReply reply = StepReply::SimpleQuery;
        contract::ValueFormat format = contract::ValueFormat::Text;
        std::size_t stepIndex = 0;
        std::string bytes;
    };

    void skipToStep(std::size_t stepIndex, std::string& output);
    std::string filter(const Entry& entry, std::string bytes);

    std::vector<Entry> _entries;
    std::size_t _stepCount = 0;
    std::size_t _position = 0;
    /** The step at _position has got a row description, or NoData in its place. */
    bool _described = false;
    bool _failed = false;
};

}  // namespace coralhoist::caller
