/** Encodes the messages that a PostgreSQL protocol 3 server sends. */
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "contract/Execution.h"
#include "contract/Statement.h"

namespace coralhoist::pgwire {

/** Answer to an SSLRequest or GSSENCRequest that is declined. */
inline constexpr char kEncryptionDeclined = 'N';

/** Type OIDs of pg_type. */
enum class TypeOid : std::uint32_t {
    Unspecified = 0,
    Bool = 16,
    Bytea = 17,
    Int8 = 20,
    Int2 = 21,
    Int4 = 23,
    Text = 25,
    Oid = 26,
    Float4 = 700,
    Float8 = 701,
    Unknown = 705,
    Varchar = 1043,
};

/** One column of a RowDescription. */
struct ColumnDescription {
    std::string name;
    std::uint32_t tableOid = 0;
    std::int16_t columnNumber = 0;
    std::uint32_t typeOid = static_cast<std::uint32_t>(TypeOid::Text);
    /** Bytes of a fixed-size type; -1 for a variable one. */
    std::int16_t typeSize = -1;
    std::int32_t typeModifier = -1;
    contract::ValueFormat format = contract::ValueFormat::Text;
};

/** One value of a DataRow; no value is NULL. */
using ColumnValue = std::optional<std::string_view>;

/** Severity of an ErrorResponse or NoticeResponse. */
enum class Severity { Error, Fatal, Panic, Warning, Notice };

/** Fields of an ErrorResponse or NoticeResponse; empty ones are left out. */
struct ResponseFields {
    Severity severity = Severity::Error;
    /** Five characters. */
    std::string sqlState;
    std::string message;
    std::string detail;
    std::string hint;
};

/** One field of an ErrorResponse or NoticeResponse that is relayed as it came from a server. */
struct ResponseField {
    /** The protocol's code of the field, e.g. 'C' for the SQLSTATE. */
    char code = '\0';
    std::string_view value;
};

/**
 * Appends encoded messages to one string, so that a whole answer costs one buffer. Strings of the
 * protocol end at their first zero byte.
 */
class BackendMessageWriter {
public:
    void authenticationOk();
    void parameterStatus(std::string_view name, std::string_view value);
    void backendKeyData(std::int32_t processId, std::int32_t secretKey);
    void readyForQuery(contract::TransactionStatus status);
    void rowDescription(std::span<const ColumnDescription> columns);
    void dataRow(std::span<const ColumnValue> values);
    /** @param tag e.g. "INSERT 0 1". */
    void commandComplete(std::string_view tag);
    void emptyQueryResponse();
    void errorResponse(const ResponseFields& fields);
    void noticeResponse(const ResponseFields& fields);
    /** Relays an error with all fields that the server sent. */
    void errorResponse(std::span<const ResponseField> fields);
    /** Relays a notice with all fields that the server sent. */
    void noticeResponse(std::span<const ResponseField> fields);
    void parseComplete();
    void bindComplete();
    void closeComplete();
    void noData();
    void parameterDescription(std::span<const std::uint32_t> typeOids);
    void portalSuspended();
    /**
     * @param minorVersion newest minor version of protocol 3 that the server speaks.
     * @param unknownOptions protocol options of the StartupMessage that the server does not know.
     */
    void negotiateProtocolVersion(std::int32_t minorVersion,
                                  std::span<const std::string> unknownOptions);

    /** @return the bytes so far. */
    const std::string& bytes() const { return _bytes; }
    /** @return the bytes so far, leaving the writer empty. */
    std::string take();

private:
    /** Starts a message and returns where its length word stands. */
    std::size_t begin(char type);
    /** Fills in the length word. */
    void end(std::size_t lengthPosition);
    void empty(char type);
    void cString(std::string_view value);
    void fields(char type, const ResponseFields& fields);
    void fields(char type, std::span<const ResponseField> fields);
    void field(char code, std::string_view value);
    template <typename Integer>
    void integer(Integer value);

    std::string _bytes;
};

/** @return one encoded ErrorResponse. */
std::string encodeErrorResponse(const ResponseFields& fields);

}  // namespace coralhoist::pgwire
