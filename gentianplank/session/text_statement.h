// A statement of a session that speaks text, decoded once, and what became of it.
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

// One request of a caller. `text` goes to the member unchanged.
struct TextStatement
{
    std::string requestId;
    StatementKind kind = StatementKind::Malformed;
    std::string text;
    // Of a session value, or of a prepared statement.
    std::string name;
    // The session value, or the shape to prepare.
    std::string value;
    // What follows the name of a prepared statement that is executed.
    std::string arguments;
    bool preparesWrite = false;
};

// What the answer to a statement says, as a caller or member reads it.
enum class ErrorCode {
    // Nothing of the request is kept.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    WrongMember,
    TooManyConnections,
    // Nothing is known of what is kept.
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

// Whether the code promises that nothing of the request is kept.
constexpr bool guaranteesNoEffect(ErrorCode code)
{
    return code <= ErrorCode::TooManyConnections;
}

enum class TransactionState {
    Idle,
    Open,
    // Failed: only its end is accepted.
    Failed,
};

// A prepared statement of a session.
struct PreparedStatement
{
    bool writes = false;
    std::string shape;

    bool operator==(const PreparedStatement &) const = default;
};

} // namespace gentianplank
