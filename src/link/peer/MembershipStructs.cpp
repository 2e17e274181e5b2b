#include "link/peer/MembershipStructs.h"

#include <limits>
#include <utility>

#include "base/Error.h"
#include "link/peer/SumsCodec.h"

namespace coralhoist::peer {
namespace {

gen::Member memberToThrift(const zone::Member& member) {
    gen::Member encoded;
    encoded.__set_name(member.name.value());
    encoded.__set_incarnation(static_cast<std::int64_t>(member.incarnation));
    encoded.__set_liveness(static_cast<gen::MemberLiveness::type>(member.liveness));
    if (member.leaving) {
        encoded.__set_leaving(true);
    }
    if (!member.suspectedBy.value().empty()) {
        encoded.__set_suspectedBy(member.suspectedBy.value());
    }
    if (member.liveness == zone::Liveness::Dead) {
        return encoded;
    }
    encoded.__set_region(member.region.value());
    encoded.__set_zone(member.zone.value());
    encoded.__set_address(member.address.host);
    encoded.__set_port(member.address.port);
    return encoded;
}

bool isValid(const gen::Member& encoded) {
    const bool portInRange =
        encoded.port >= 0 && encoded.port <= std::numeric_limits<std::uint16_t>::max();
    const int liveness = encoded.liveness;
    return !encoded.name.empty() && portInRange && encoded.incarnation >= 0 &&
           liveness >= gen::MemberLiveness::Alive && liveness <= gen::MemberLiveness::Dead;
}

zone::Member memberFromThrift(const gen::Member& encoded) {
    zone::Member member;
    member.name = NodeName(encoded.name);
    member.region = RegionName(encoded.region);
    member.zone = ZoneName(encoded.zone);
    member.address = {encoded.address, static_cast<std::uint16_t>(encoded.port)};
    member.incarnation = static_cast<std::uint64_t>(encoded.incarnation);
    member.liveness = static_cast<zone::Liveness>(encoded.liveness);
    member.leaving = encoded.leaving;
    member.suspectedBy = NodeName(encoded.suspectedBy);
    return member;
}

Status violation(const char* reason) {
    return {ErrorCode::ProtocolViolation, reason};
}

}  // namespace

gen::MembershipMessage toThrift(const zone::MembershipMessage& message) {
    gen::MembershipMessage encoded;
    encoded.__set_kind(static_cast<gen::MembershipKind::type>(message.kind));
    encoded.__set_sender(memberToThrift(message.sender));
    encoded.__set_sequence(static_cast<std::int64_t>(message.sequence));
    encoded.__set_viewHash(static_cast<std::int64_t>(message.viewHash));
    encoded.__set_memberCount(static_cast<std::int32_t>(message.memberCount));
    if (message.target) {
        encoded.__set_target(memberToThrift(*message.target));
    }
    for (const zone::Member& update : message.updates) {
        encoded.updates.push_back(memberToThrift(update));
    }
    if (!message.bucketHashes.empty()) {
        encoded.__set_bucketHashes(encodeSums(message.bucketHashes));
    }
    return encoded;
}

StatusWith<zone::MembershipMessage> fromThrift(const gen::MembershipMessage& encoded) {
    const int kind = encoded.kind;
    if (kind < gen::MembershipKind::Ping || kind > gen::MembershipKind::Members) {
        return violation("unknown kind of membership message");
    }
    if (!isValid(encoded.sender) || encoded.memberCount < 0) {
        return violation("invalid sender of a membership message");
    }
    zone::MembershipMessage message;
    message.kind = static_cast<zone::MembershipKind>(kind);
    message.sender = memberFromThrift(encoded.sender);
    message.sequence = static_cast<std::uint64_t>(encoded.sequence);
    message.viewHash = static_cast<std::uint64_t>(encoded.viewHash);
    message.memberCount = static_cast<std::uint32_t>(encoded.memberCount);
    if (encoded.__isset.target) {
        if (!isValid(encoded.target)) {
            return violation("invalid target of a membership message");
        }
        message.target = memberFromThrift(encoded.target);
    }
    for (const gen::Member& update : encoded.updates) {
        if (!isValid(update)) {
            return violation("invalid update in a membership message");
        }
        message.updates.push_back(memberFromThrift(update));
    }
    message.bucketHashes = decodeSums(encoded.bucketHashes);
    return message;
}

}  // namespace coralhoist::peer
