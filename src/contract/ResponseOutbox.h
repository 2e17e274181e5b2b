/** Buffers the response of one request for its sink. */
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "contract/Execution.h"

namespace coralhoist::contract {

/** Part of the response to one step. */
struct ResponsePiece {
    std::size_t stepIndex = 0;
    std::string bytes;
    bool stepComplete = false;

    bool operator==(const ResponsePiece&) const = default;
};

/**
 * Holds back response pieces that must not be delivered yet, and queues those that may.
 *
 * Invariant: pieces reach the sink in the order in which they arrived. While the outbox holds
 * pieces back, only rows beyond the limit are released, and never the last piece, which contains
 * the completion: otherwise the caller could take an unacknowledged write for completed.
 */
class ResponseOutbox {
public:
    /** Starts to hold back the pieces that arrive from now on. */
    void hold() { _holding = true; }

    /** @param heldBytesLimit held bytes beyond which all pieces but the last are released. */
    void add(ResponsePiece piece, std::size_t heldBytesLimit) {
        if (!_holding) {
            enqueue(std::move(piece));
            return;
        }
        _heldBytes += piece.bytes.size();
        _held.push_back(std::move(piece));
        while (_heldBytes > heldBytesLimit && _held.size() > 1) {
            _heldBytes -= _held.front().bytes.size();
            enqueue(std::move(_held.front()));
            _held.erase(_held.begin());
        }
    }

    /** Queues the held pieces for delivery and stops holding back. */
    void release() {
        for (ResponsePiece& piece : _held) {
            enqueue(std::move(piece));
        }
        clearHeld();
        _holding = false;
    }

    /** Discards the held pieces, which must not reach the caller. */
    void clearHeld() {
        _held.clear();
        _heldBytes = 0;
    }

    void replaceHeld(std::vector<ResponsePiece> pieces) {
        clearHeld();
        for (ResponsePiece& piece : pieces) {
            _heldBytes += piece.bytes.size();
            _held.push_back(std::move(piece));
        }
    }

    const std::vector<ResponsePiece>& held() const { return _held; }
    std::size_t heldBytes() const { return _heldBytes; }

    /** @return whether any piece was released to the caller. */
    bool hasReleased() const { return _released; }

    bool empty() const { return _queue.empty(); }
    std::size_t queuedBytes() const { return _queuedBytes; }

    ResponsePiece pop() {
        ResponsePiece piece = std::move(_queue.front());
        _queue.pop_front();
        _queuedBytes -= piece.bytes.size();
        return piece;
    }

private:
    void enqueue(ResponsePiece piece) {
        _released = true;
        _queuedBytes += piece.bytes.size();
        _queue.push_back(std::move(piece));
    }

    bool _holding = false;
    bool _released = false;
    std::vector<ResponsePiece> _held;
    std::size_t _heldBytes = 0;
    std::deque<ResponsePiece> _queue;
    std::size_t _queuedBytes = 0;
};

}  // namespace coralhoist::contract
