/** The secret that a cancel request must carry. */
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <vector>

#include "link/backend/LibpqHandles.h"

namespace coralhoist::backend {

/** Names one back-end process in a cancel request. */
struct CancelKey {
    std::int32_t processId = 0;
    std::int32_t secretKey = 0;
};

/**
 * Learns the cancel key while a connection opens.
 *
 * libpq keeps the secret key to itself, and its PQcancel blocks for as long as the server likes.
 * Its public trace prints the BackendKeyData message, so the trace is recorded into bounded memory
 * while the connection opens, and thrown away once the key is found. The process id is checked
 * against PQbackendPID: when the trace can't be understood there is no key, and cancel does
 * nothing.
 */
class CancelKeyRecorder {
public:
    CancelKeyRecorder();

    /** Starts to record. Call before the first PQconnectPoll. */
    void attach(PGconn* connection);

    /** Stops recording. @return the key, if the server sent one. */
    std::optional<CancelKey> detach(PGconn* connection);

private:
    struct FileCloser {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };
    std::vector<char> _trace;
    std::unique_ptr<std::FILE, FileCloser> _file;
};

}  // namespace coralhoist::backend
