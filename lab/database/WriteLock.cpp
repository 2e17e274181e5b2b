#include "lab/database/WriteLock.h"

#include <algorithm>
#include <utility>

namespace coralhoist::lab::database {

void WriteLock::acquire(LockToken token, Granted granted) {
    _waiting.push_back({token, std::move(granted)});
    grantNext();
}

void WriteLock::release(LockToken token) {
    if (_holder == token) {
        _holder.reset();
        grantNext();
        return;
    }
    std::erase_if(_waiting, [token](const Request& request) { return request.token == token; });
}

void WriteLock::setSuspended(bool suspended) {
    _suspended = suspended;
    grantNext();
}

void WriteLock::revoke() {
    _holder.reset();
    grantNext();
}

void WriteLock::grantNext() {
    if (_suspended || _holder || _waiting.empty()) {
        return;
    }
    const Request next = std::move(_waiting.front());
    _waiting.pop_front();
    _holder = next.token;
    next.granted();
}

}  // namespace coralhoist::lab::database
