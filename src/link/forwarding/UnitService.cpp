#include "link/forwarding/UnitService.h"

#include <utility>

#include "base/Log.h"

namespace coralhoist::forwarding {

using pooling::SessionState;
using pooling::StatementResult;
using socket::CloseMode;
using socket::StreamConnection;

namespace {

void send(const std::unique_ptr<StreamConnection>& stream, const UnitMessage& message) {
    std::string bytes;
    encode(bytes, message);
    stream->write(bytes);
}

}  // namespace

UnitService::UnitService(socket::SocketPoller& poller, pooling::StatementPooler& pooler)
    : _poller(poller),
      _pooler(pooler),
      _listener(poller, [this](int descriptor) { accept(descriptor); }) {}

UnitService::~UnitService() = default;

Status UnitService::listen(const std::string& host, std::uint16_t port) {
    return _listener.listen(host, port);
}

void UnitService::accept(int descriptor) {
    auto stream = std::make_unique<StreamConnection>(_poller, *this);
    stream->adopt(descriptor);
    const StreamConnection* key = stream.get();
    _links[key].stream = std::move(stream);
}

UnitService::Link* UnitService::find(const StreamConnection* connection) {
    const auto found = _links.find(connection);
    return found == _links.end() ? nullptr : &found->second;
}

void UnitService::beginLeaving() {
    _serving = false;
    UnitMessage leaving;
    leaving.kind = UnitMessage::Kind::Leaving;
    for (const auto& [key, link] : _links) {
        send(link.stream, leaving);
    }
}

void UnitService::onConnected(StreamConnection& /*connection*/) {}

void UnitService::onBytes(StreamConnection& connection, std::string& buffer) {
    while (Link* link = find(&connection)) {
        std::optional<StatusWith<UnitMessage>> taken = takeMessage(buffer);
        if (!taken) {
            return;
        }
        if (!taken->isOk()) {
            LogEvent("forwarding", LogLevel::Warning, "link.refused")
                .field("reason", taken->status().message());
            drop(connection);
            return;
        }
        onMessage(*link, std::move(*taken).value());
    }
}

void UnitService::onMessage(Link& link, UnitMessage message) {
    switch (message.kind) {
        case UnitMessage::Kind::Request:
            onRequest(link, std::move(message));
            return;
        case UnitMessage::Kind::Ended:
            endUnit(link, message.unit);
            return;
        case UnitMessage::Kind::HeartbeatAsked: {
            UnitMessage heartbeat;
            heartbeat.kind = UnitMessage::Kind::Heartbeat;
            send(link.stream, heartbeat);
            return;
        }
        case UnitMessage::Kind::ProofAsked:
            onProofAsked(link, message);
            return;
        case UnitMessage::Kind::ChangesAsked:
            onChangesAsked(link, message);
            return;
        case UnitMessage::Kind::QuotaAsked:
            onQuotaRequest(link, message);
            return;
        case UnitMessage::Kind::LedgerUpdate:
            onLedgerUpdate(link, message);
            return;
        case UnitMessage::Kind::LoadTold:
            if (_questionEvents.loads != nullptr) {
                _questionEvents.loads->onLoadReport(message.loadReport);
            }
            return;
        case UnitMessage::Kind::Answer:
        case UnitMessage::Kind::Declined:
        case UnitMessage::Kind::Heartbeat:
        case UnitMessage::Kind::Leaving:
        case UnitMessage::Kind::Proof:
        case UnitMessage::Kind::Changes:
        case UnitMessage::Kind::Quota:
        case UnitMessage::Kind::LedgerAck:
            return;
    }
}

void UnitService::onRequest(Link& link, UnitMessage message) {
    if (message.opening) {
        if (!_serving) {
            decline(link, message.unit);
            return;
        }
        const SessionId session = _pooler.openUnit(*message.opening);
        link.sessions[message.unit] = session;
        _units[session] = {link.stream.get(), message.unit};
    }
    const auto found = link.sessions.find(message.unit);
    if (found != link.sessions.end()) {
        _pooler.submitUnit(found->second, std::move(message.statement));
    }
}

/** @return the name of the question on this node. */
std::uint64_t UnitService::noteQuestion(const Link& link, const UnitMessage& message) {
    const std::uint64_t asker = ++_lastQuestion;
    _questions[asker] = {link.stream.get(), message.question};
    return asker;
}

void UnitService::onProofAsked(const Link& link, const UnitMessage& message) {
    const std::uint64_t asker = noteQuestion(link, message);
    if (_questionEvents.proofs == nullptr) {
        answerProof(asker, std::nullopt);
        return;
    }
    _questionEvents.proofs->onProofAsked({asker, message.proofNeed});
}

void UnitService::onChangesAsked(const Link& link, const UnitMessage& message) {
    const std::uint64_t asker = noteQuestion(link, message);
    if (_questionEvents.feed == nullptr) {
        answerFeed(asker, std::nullopt);
        return;
    }
    _questionEvents.feed->onFeedAsked(asker, message.feedQuestion);
}

void UnitService::onQuotaRequest(const Link& link, const UnitMessage& message) {
    const std::uint64_t asker = noteQuestion(link, message);
    if (_questionEvents.quotas == nullptr || !_serving) {
        tenancy::QuotaResponse declined;
        declined.declined = true;
        sendQuotaResponse(asker, declined);
        return;
    }
    _questionEvents.quotas->onQuotaRequest(asker, message.quotaQuestion);
}

void UnitService::sendQuotaResponse(std::uint64_t asker, const tenancy::QuotaResponse& reply) {
    UnitMessage answer;
    answer.kind = UnitMessage::Kind::Quota;
    answer.quotaAnswer = reply;
    answerQuestion(asker, std::move(answer));
}

/** A node that is leaving or has just started keeps no copy. */
void UnitService::onLedgerUpdate(const Link& link, const UnitMessage& message) {
    const std::uint64_t asker = noteQuestion(link, message);
    if (_questionEvents.quotas == nullptr || !_serving) {
        acknowledgeLedger(asker, {});
        return;
    }
    _questionEvents.quotas->onLedgerUpdate(asker, message.ledgerUpdate);
}

void UnitService::acknowledgeLedger(std::uint64_t asker, const tenancy::LedgerAck& ack) {
    UnitMessage answer;
    answer.kind = UnitMessage::Kind::LedgerAck;
    answer.ledgerAck = ack;
    answerQuestion(asker, std::move(answer));
}

void UnitService::answerProof(std::uint64_t asker,
                              const std::optional<pooling::HandedProof>& proof) {
    UnitMessage answer;
    answer.kind = UnitMessage::Kind::Proof;
    answer.proof = proof;
    answerQuestion(asker, std::move(answer));
}

void UnitService::answerFeed(std::uint64_t asker, const std::optional<store::FeedAnswer>& reply) {
    UnitMessage answer;
    answer.kind = UnitMessage::Kind::Changes;
    answer.feedAnswer = reply;
    answerQuestion(asker, std::move(answer));
}

/** The asking node's link may be gone by now; then there is nobody to answer. */
void UnitService::answerQuestion(std::uint64_t asker, UnitMessage answer) {
    const auto found = _questions.find(asker);
    if (found == _questions.end()) {
        return;
    }
    answer.question = found->second.number;
    const socket::StreamConnection* link = found->second.link;
    _questions.erase(found);
    send(_links.at(link).stream, answer);
}

void UnitService::decline(Link& link, UnitId unit) {
    UnitMessage answer;
    answer.kind = UnitMessage::Kind::Declined;
    answer.unit = unit;
    send(link.stream, answer);
}

bool UnitService::reply(SessionId session, const StatementResult& result) {
    const auto found = _units.find(session);
    if (found == _units.end()) {
        return false;
    }
    const Unit unit = found->second;
    Link& link = _links.at(unit.link);
    UnitMessage answer;
    answer.kind = UnitMessage::Kind::Answer;
    answer.unit = unit.number;
    answer.result = {result, _pooler.ownFloorOf(session)};
    send(link.stream, answer);
    if (result.state != SessionState::InTransaction) {
        endUnit(link, unit.number);
    }
    return true;
}

void UnitService::endUnit(Link& link, UnitId unit) {
    const auto found = link.sessions.find(unit);
    if (found == link.sessions.end()) {
        return;
    }
    const SessionId session = found->second;
    link.sessions.erase(found);
    _units.erase(session);
    _pooler.endSession(session);
}

void UnitService::onClosed(StreamConnection& connection) {
    drop(connection);
}

void UnitService::drop(const StreamConnection& connection) {
    const auto found = _links.find(&connection);
    if (found == _links.end()) {
        return;
    }
    Link link = std::move(found->second);
    _links.erase(found);
    std::erase_if(_questions,
                  [&connection](const auto& entry) { return entry.second.link == &connection; });
    link.stream->close(CloseMode::Abort);
    _closed.push_back(std::move(link.stream));
    for (const auto& [unit, session] : link.sessions) {
        _units.erase(session);
    }
    for (const auto& [unit, session] : link.sessions) {
        _pooler.endSession(session);
    }
}

}  // namespace coralhoist::forwarding
