#include "lab/platform/PlatformApi.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QStringList>
#include <QUrlQuery>

#include "base/Error.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::lab {
namespace {

using Method = QHttpServerRequest::Method;
using StatusCode = QHttpServerResponder::StatusCode;

/** How a failure is told to clients. */
struct FailureForm {
    ErrorCode code;
    StatusCode status;
    const char* reason;
};

constexpr FailureForm kUnavailableForm = {ErrorCode::Unavailable, StatusCode::ServiceUnavailable,
                                          "ServiceUnavailable"};
constexpr FailureForm kFailureForms[] = {
    kUnavailableForm,
    {ErrorCode::NotFound, StatusCode::NotFound, "NotFound"},
    {ErrorCode::AlreadyExists, StatusCode::Conflict, "AlreadyExists"},
    {ErrorCode::VersionConflict, StatusCode::Conflict, "Conflict"},
    {ErrorCode::VersionTooOld, StatusCode::Gone, "Expired"},
    {ErrorCode::InvalidArgument, StatusCode::BadRequest, "BadRequest"},
    {ErrorCode::Unsupported, StatusCode::MethodNotAllowed, "MethodNotAllowed"},
};

const FailureForm& formOf(const Status& failure) {
    for (const FailureForm& form : kFailureForms) {
        if (failure.code() == form.code) {
            return form;
        }
    }
    return kUnavailableForm;
}

bool isCollection(const QString& name) {
    return name == platform::kSettingsCollection || name == platform::kMachinesCollection;
}

ApiResponse listResponse(const CollectionState& state) {
    QJsonArray items;
    for (const QJsonObject& object : state.objects) {
        items.append(object);
    }
    const QJsonObject metadata{{"resourceVersion", QString::number(state.version)}};
    return {StatusCode::Ok, QJsonObject{{"apiVersion", platform::kApiVersion},
                                        {"kind", "List"},
                                        {"metadata", metadata},
                                        {"items", items}}};
}

ApiResponse objectResponse(const StatusWith<QJsonObject>& object, StatusCode success) {
    if (!object.isOk()) {
        return failureResponse(object.status());
    }
    return {success, object.value()};
}

std::optional<std::uint64_t> deletePrecondition(const QJsonObject& options) {
    bool isNumber = false;
    const QString text = options["preconditions"].toObject()["resourceVersion"].toString();
    const std::uint64_t version = text.toULongLong(&isNumber);
    return isNumber ? std::optional(version) : std::nullopt;
}

}  // namespace

ApiRequest parseApiRequest(const QHttpServerRequest& request) {
    ApiRequest result;
    result.method = request.method();
    result.body = request.body();
    const QString path = request.url().path();
    if (!path.startsWith(platform::kApiRoot)) {
        return result;
    }
    const QStringList parts = path.mid(QString(platform::kApiRoot).size()).split('/');
    if (parts.size() > 2 || !isCollection(parts.front())) {
        return result;
    }
    result.collection = parts.front();
    result.name = parts.size() == 2 ? parts.back() : QString();
    const QString watch = request.query().queryItemValue("watch");
    result.watch = watch == "1" || watch == "true";
    result.fromVersion = request.query().queryItemValue("resourceVersion").toULongLong();
    return result;
}

QJsonObject statusObject(const Status& failure) {
    const FailureForm& form = formOf(failure);
    return QJsonObject{
        {"apiVersion", "v1"},
        {"kind", "Status"},
        {"status", "Failure"},
        {"reason", form.reason},
        {"code", static_cast<int>(form.status)},
        {"message", QString::fromStdString(failure.message())},
    };
}

ApiResponse failureResponse(const Status& failure) {
    return {formOf(failure).status, statusObject(failure)};
}

ApiResponse serveApiRequest(const ApiRequest& request, ObjectStore& store) {
    if (request.collection.isEmpty()) {
        return failureResponse(Status(ErrorCode::NotFound, "no such resource"));
    }
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    const bool named = !request.name.isEmpty();
    if (request.method == Method::Get && !named) {
        return listResponse(store.list(request.collection));
    }
    if (request.method == Method::Get) {
        return objectResponse(store.get(request.collection, request.name), StatusCode::Ok);
    }
    if (request.method == Method::Post && !named) {
        return objectResponse(store.create(request.collection, body), StatusCode::Created);
    }
    if (request.method == Method::Put && named) {
        return objectResponse(store.replace(request.collection, request.name, body),
                              StatusCode::Ok);
    }
    if (request.method == Method::Delete && named) {
        const auto expected = deletePrecondition(body);
        return objectResponse(store.remove(request.collection, request.name, expected),
                              StatusCode::Ok);
    }
    return failureResponse(Status(ErrorCode::Unsupported, "method not allowed here"));
}

}  // namespace coralhoist::lab
