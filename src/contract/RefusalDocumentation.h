/** Generates the table of the proxy's own errors in docs/ERRORS.md. */
#pragma once

#include <string>

namespace coralhoist::contract {

/** @return the whole page as Markdown: each refusal with SQLSTATE, run state and advice. */
std::string refusalMarkdown();

}  // namespace coralhoist::contract
