/** Calls over HTTP/1.1 and their answers, and the interface of what carries them. */
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"

namespace coralhoist::socket {

/** One header of a call or an answer. Names of an answer's headers are in lower case. */
struct HttpHeader {
    std::string name;
    std::string value;
};

/** One call. */
struct HttpCall {
    /** Whether an open connection may carry the call. It may have gone silent for good, which
     * costs the call its whole time. */
    enum class Connection { KeptOrNew, New };

    std::string method;
    /** Absolute path with the query. */
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
    /** From sending until the answer begins; while it arrives, the call goes on. */
    Duration timeout{};
    /** An answer that has begun to arrive is given up on when nothing more comes for so long. A
     * large answer takes seconds on a slow link: 400 kB at 2 Mbit/s are 1.6 s. */
    Duration stallTimeout = std::chrono::milliseconds(1000);
    Connection connection = Connection::KeptOrNew;
    /** The call must not take effect late, as its receiver compares it with no version of its own:
     * it is sent before this time or not at all, and what the receiver's host has not acknowledged
     * after `timeout` is given up by the system, also while this process does not run. */
    std::optional<TimePoint> sendBy = std::nullopt;
};

/** How a call ended. */
struct HttpAnswer {
    enum class Outcome {
        Answered, /**< status and body are set. */
        NotSent,  /**< No byte was sent in time; nothing was done. */
        Lost,     /**< No whole answer came; the call may have been carried out. */
    };
    Outcome outcome = Outcome::Lost;
    int status = 0;
    std::string body;
    std::vector<HttpHeader> headers{};
};

using HttpCallback = std::function<void(const HttpAnswer&)>;

/** Makes calls to one server. */
class HttpCaller {
public:
    virtual ~HttpCaller() = default;

    /**
     * Starts a call, which is not sent after its time limit. The callback comes later, once, unless
     * the caller is destroyed first.
     */
    virtual void call(const HttpCall& call, HttpCallback callback) = 0;
};

}  // namespace coralhoist::socket
