/** Calls over HTTP/1.1 and their answers, and the interface of what carries them. */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/Time.h"

namespace coralhoist::socket {

/** One header of a request. */
struct HttpHeader {
    std::string name;
    std::string value;
};

/** One call. */
struct HttpCall {
    std::string method;
    /** Absolute path with the query. */
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
    /** From sending until the answer begins; while it arrives, the call goes on. */
    Duration timeout{};
};

/** How a call ended. */
struct HttpAnswer {
    enum class Outcome {
        Answered, /**< status and body are set. */
        NotSent,  /**< No connection came to be; nothing was done. */
        Lost,     /**< No whole answer came; the call may have been carried out. */
    };
    Outcome outcome = Outcome::Lost;
    int status = 0;
    std::string body;
};

using HttpCallback = std::function<void(const HttpAnswer&)>;

/** Makes calls to one server. */
class HttpCaller {
public:
    virtual ~HttpCaller() = default;

    /** Starts a call; the callback comes later, once, unless the caller is destroyed first. */
    virtual void call(const HttpCall& call, HttpCallback callback) = 0;
};

}  // namespace coralhoist::socket
