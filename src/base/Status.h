/** Outcomes as values. */
#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace coralhoist {

/** Success, or an error code with a sentence that names what failed and where. */
class [[nodiscard]] Status {
public:
    Status() = default;
    Status(std::error_code code, std::string message) : _code(code), _message(std::move(message)) {}

    static Status ok() { return {}; }

    bool isOk() const { return !_code; }
    const std::error_code& code() const { return _code; }
    const std::string& message() const { return _message; }

private:
    std::error_code _code;
    std::string _message;
};

/** A value of type T, or the Status that says why there is none. */
template <typename T>
class [[nodiscard]] StatusWith {
public:
    // NOLINTNEXTLINE(google-explicit-constructor): lets functions return a value or a Status alike.
    StatusWith(T value) : _value(std::move(value)) {}
    // NOLINTNEXTLINE(google-explicit-constructor)
    StatusWith(Status status) : _status(std::move(status)) { assert(!_status.isOk()); }

    bool isOk() const { return _value.has_value(); }
    const Status& status() const { return _status; }

    /** @return the value. Call only when isOk(). */
    const T& value() const& {
        assert(_value);
        return *_value;
    }
    T& value() & {
        assert(_value);
        return *_value;
    }
    T&& value() && {
        assert(_value);
        return *std::move(_value);
    }

private:
    std::optional<T> _value;
    Status _status;
};

}  // namespace coralhoist
