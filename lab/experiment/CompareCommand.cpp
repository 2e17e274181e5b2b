#include <QFile>
#include <cstdio>
#include <cstring>
#include <string>

#include "lab/experiment/Commands.h"
#include "lab/experiment/Comparison.h"

namespace coralhoist::experiment {
namespace {

constexpr int kBadInput = 2;
constexpr int kExpectedArguments = 3;
constexpr const char* kUsage =
    "usage: coralhoist-lab compare BEFORE.json AFTER.json\n\n"
    "Shows each figure that differs between two reports of coralhoist-lab run --json, and whether\n"
    "the difference is beyond the noise of the repeats (Welch's test at the level of 1%).\n";

bool readFile(const char* path, QByteArray& content) {
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly)) {
        std::fprintf(stderr, "coralhoist-lab compare: %s: %s\n", path,
                     qPrintable(file.errorString()));
        return false;
    }
    content = file.readAll();
    return true;
}

}  // namespace

int runCompareCommand(int argumentCount, char** arguments) {
    if (argumentCount == 2 && std::strcmp(arguments[1], "--help") == 0) {
        std::fputs(kUsage, stdout);
        return 0;
    }
    if (argumentCount != kExpectedArguments) {
        std::fputs(kUsage, stderr);
        return kBadInput;
    }
    QByteArray before;
    QByteArray after;
    if (!readFile(arguments[1], before) || !readFile(arguments[2], after)) {
        return kBadInput;
    }
    const auto comparisons = compareReports(before, after);
    if (!comparisons.isOk()) {
        std::fprintf(stderr, "coralhoist-lab compare: %s\n",
                     comparisons.status().message().c_str());
        return kBadInput;
    }
    std::fputs(toText(comparisons.value()).c_str(), stdout);
    return 0;
}

}  // namespace coralhoist::experiment
