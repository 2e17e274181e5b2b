#include "contract/RefusalDocumentation.h"

#include <chrono>
#include <sstream>

#include "contract/Refusals.h"

namespace coralhoist::contract {
namespace {

constexpr const char* kPageHead =
    "# Errors of the proxy\n"
    "\n"
    "What a caller may get from the proxy itself. Errors of the database are passed through "
    "unchanged; a\n"
    "statement that the database refused had no effect. This page is printed by `coralhoistd "
    "--errors`.\n"
    "\n"
    "*Not run*: no statement of the batch took effect, and none will. *Rolled back*: it ran and "
    "all effects were\n"
    "undone. *Unknown*: it may have taken effect; with a request key, repeat it with the same key "
    "and it takes effect\n"
    "at most once. *Ran*: it took effect.\n"
    "\n"
    "| SQLSTATE | message | effect | what to do | come back after |\n"
    "|---|---|---|---|---|\n";

const char* runStateName(RunState state) {
    switch (state) {
        case RunState::NotRun:
            return "not run";
        case RunState::RolledBack:
            return "rolled back";
        case RunState::Unknown:
            return "unknown";
        case RunState::Ran:
            return "ran";
    }
    return "unknown";
}

std::string pauseText(Duration pause) {
    if (pause == Duration(0)) {
        return "—";
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(pause).count();
    return std::to_string(milliseconds) + " ms";
}

}  // namespace

std::string refusalMarkdown() {
    std::ostringstream page;
    page << kPageHead;
    for (const RefusalEntry& entry : refusalTable()) {
        page << "| " << entry.sqlState << " | " << entry.message << " | "
             << runStateName(entry.runState) << " | " << entry.hint << " | "
             << pauseText(entry.retryAfter) << " |\n";
    }
    return page.str();
}

}  // namespace coralhoist::contract
