/** Entry point of coralhoistctl. */
#include <QCoreApplication>
#include <iostream>

#include "program/coralhoistctl/CommandTable.h"

int main(int argumentCount, char** arguments) {
    using namespace coralhoist::ctl;
    const auto commandLine = parseCommandLine(argumentCount, const_cast<const char**>(arguments));
    if (!commandLine.isOk()) {
        std::cerr << "coralhoistctl: " << commandLine.status().message()
                  << "; see 'coralhoistctl --help'\n";
        return static_cast<int>(ExitCode::Usage);
    }
    const QCoreApplication application(argumentCount, arguments);
    ProxyConnection proxy(commandLine.value());
    return static_cast<int>(runCommand({commandLine.value(), proxy, std::cout, std::cerr}));
}
