/** Ownership of what popt allocates while it parses a command line. */
#pragma once

#include <popt.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <type_traits>

namespace coralhoist::program {

/** Frees a parser's context. */
struct PoptContextDeleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

/** A parser's context, owned. */
using PoptContext = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptContextDeleter>;

/** A text that popt allocates: pass the address of `text` in an option of type POPT_ARG_STRING. */
struct PoptText {
    char* text = nullptr;

    PoptText() = default;
    PoptText(const PoptText&) = delete;
    PoptText& operator=(const PoptText&) = delete;
    // NOLINTNEXTLINE(cppcoreguidelines-no-malloc): popt allocates its strings with malloc.
    ~PoptText() { std::free(text); }

    /** @return the text given; otherwise the fallback. */
    std::string valueOr(const std::string& fallback) const {
        return text == nullptr ? fallback : std::string(text);
    }
};

/** @return the argument of the option that was parsed last; empty when it has none. */
inline std::string takeArgument(poptContext context) {
    PoptText argument;
    argument.text = poptGetOptArg(context);
    return argument.valueOr("");
}

}  // namespace coralhoist::program
