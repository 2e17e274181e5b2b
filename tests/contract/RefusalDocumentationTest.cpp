/** Checks that docs/ERRORS.md matches the table in the code. */
#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

#include "contract/RefusalDocumentation.h"

namespace coralhoist::contract {
namespace {

TEST_GROUP(RefusalDocumentation){};

TEST(RefusalDocumentation, PageIsUpToDate) {
    std::ifstream file(CORALHOIST_SOURCE_DIR "/docs/ERRORS.md");
    std::ostringstream page;
    page << file.rdbuf();
    STRCMP_EQUAL(refusalMarkdown().c_str(), page.str().c_str());
}

}  // namespace
}  // namespace coralhoist::contract
