// A decoded statement of the text protocol, and its result codes.
#pragma once

#include "gentianplank/session/log_position.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace gentianplank {

enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

// One request of a caller. `text` is forwarded unchanged.
struct TextStatement
{
    std::string requestId;
    StatementKind kind = StatementKind::Malformed;
    std::string text;
    // Name of the session value or prepared statement.
    std::string name;
    // The session value, or the statement to prepare.
    std::string value;
    // Arguments of a prepared statement that is executed: the text after its name.
    std::string arguments;
    bool preparesWrite = false;
};

// Error codes in replies, as callers and members read them.
enum class ErrorCode {
    // The request had no effect.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    WrongMember,
    TooManyConnections,
    // It is unknown whether the request had an effect.
    Unknown,
    Timeout,
    // The request ran and failed, or can't run as it is.
    Failed,
    NoStatement,
    NoAuthorisation,
    NoDatabase,
    TooBig,
    Malformed,
    // A code that this version does not know.
    Other,
};

// Whether the code guarantees that the request had no effect.
constexpr bool guaranteesNoEffect(ErrorCode code)
{
    return code <= ErrorCode::TooManyConnections;
}

enum class TransactionState {
    Idle,
    Open,
    // Failed. Only a commit or rollback is accepted.
    Failed,
};

// A prepared statement of a session.
struct PreparedStatement
{
    bool writes = false;
    std::string shape;

    auto operator<=>(const PreparedStatement &) const = default;
};

} // namespace gentianplank
