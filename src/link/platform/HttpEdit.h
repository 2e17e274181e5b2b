/** One edit of a settings node over HTTP. */
#pragma once

#include <QObject>
#include <QTimer>

#include "link/platform/CollectionReader.h"
#include "link/platform/EditResolution.h"
#include "link/platform/PlatformClientOptions.h"

namespace coralhoist::platform {

/** Runs the steps that an EditResolution asks for, then reports the outcome and deletes itself. */
class HttpEdit final : public QObject {
    Q_OBJECT

public:
    /**
     * @param requester outlives the edit.
     * @param resolution the edit, not yet started.
     * @param policy delays between attempts.
     * @param callback gets the outcome, later.
     * @param parent deletes the edit if it is destroyed before the outcome; no callback then.
     */
    HttpEdit(HttpRequester& requester, EditResolution resolution, ReconnectPolicy policy,
             const PlatformClientOptions& options, EditCallback callback, QObject* parent);

private:
    void perform(EditAction action);
    void read();
    void write(const EditAction& action);
    void finish(const EditOutcome& outcome);

    HttpRequester& _requester;
    EditResolution _resolution;
    ReconnectPolicy _policy;
    PlatformClientOptions _options;
    EditCallback _callback;
    QString _path;
    QTimer _delayTimer;
    QTimer _deadlineTimer;
    bool _finished = false;
};

}  // namespace coralhoist::platform
