/** Strongly typed names and numbers, so that a group name can't be passed where a node id is meant.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace coralhoist {

/** A value of type Value that is only comparable with values of the same Tag. */
template <typename Tag, typename Value>
class Identifier {
public:
    Identifier() = default;
    explicit Identifier(Value value) : _value(std::move(value)) {}

    const Value& value() const { return _value; }
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the generated comparison for a null.
    auto operator<=>(const Identifier&) const = default;

private:
    Value _value{};
};

template <typename Tag, typename Value>
std::ostream& operator<<(std::ostream& stream, const Identifier<Tag, Value>& identifier) {
    return stream << identifier.value();
}

/** Name of a database group: `dbname` of the caller's start-up message. */
using GroupName = Identifier<struct GroupNameTag, std::string>;
/** Name of a service: `application_name` of the caller's start-up message. */
using ServiceName = Identifier<struct ServiceNameTag, std::string>;
/** Name of a tenant: whom a caller's credential belongs to. Empty for callers without one. */
using TenantName = Identifier<struct TenantNameTag, std::string>;
/** Name of one life of a database server, unique in its group; see pooling/ServerIncarnation. */
using ServerName = Identifier<struct ServerNameTag, std::string>;
/** Name of a proxy node, unique in the estate. */
using NodeName = Identifier<struct NodeNameTag, std::string>;
using ZoneName = Identifier<struct ZoneNameTag, std::string>;
using RegionName = Identifier<struct RegionNameTag, std::string>;
/** Number of one caller connection, unique within one proxy process. */
using SessionId = Identifier<struct SessionIdTag, std::uint64_t>;
/** Number of one execution request, unique within one proxy process. */
using RequestId = Identifier<struct RequestIdTag, std::uint64_t>;
/** Number of one transaction pinned to a back-end connection, unique within its owner process. */
using TransactionId = Identifier<struct TransactionIdTag, std::uint64_t>;
/** Number of one back-end connection, unique within one process and never reused. */
using ConnectionId = Identifier<struct ConnectionIdTag, std::uint64_t>;
/** Number of one forwarded unit of work, unique within the process that forwards it. */
using UnitId = Identifier<struct UnitIdTag, std::uint64_t>;

}  // namespace coralhoist

template <typename Tag, typename Value>
struct std::hash<coralhoist::Identifier<Tag, Value>> {
    std::size_t operator()(const coralhoist::Identifier<Tag, Value>& identifier) const {
        return std::hash<Value>()(identifier.value());
    }
};
