// The line protocol of callers and members: words and fields in lines that end with CR LF.
//
//     LineBuffer buffer(LargestMessage);
//     buffer.append(bytes);
//     while (auto line = buffer.next()) { CallerMessage message = decodeCallerLine(*line); }
#pragma once

#include "gentianplank/session/text_statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace gentianplank::platform {

inline constexpr size_t LargestMessage = 1024 * 1024;

// Cuts a stream of bytes into lines. Not thread-safe.
class LineBuffer
{
public:
    explicit LineBuffer(size_t longestLine)
        : m_longestLine(longestLine)
    {}

    void append(std::string_view bytes);

    // Returns the next whole line without its end. The view holds until the next call.
    std::optional<std::string_view> next();

    // Whether the line that has begun is longer than allowed.
    bool isTooLong() const;

    size_t size() const { return m_bytes.size() - m_start; }

private:
    size_t m_longestLine;
    std::string m_bytes;
    size_t m_start = 0;
    size_t m_searched = 0;
};

// What a caller sends.
struct CallerMessage
{
    enum class Kind { Start, Query, Bye, Malformed };
    Kind kind = Kind::Malformed;
    // Of Start.
    std::string database;
    std::string key;
    // Of Query.
    TextStatement statement;
};

CallerMessage decodeCallerLine(std::string_view line);

// What a member sends: one line of an answer.
struct MemberLine
{
    enum class Kind { Row, Done, Error, Ready, Malformed };
    Kind kind = Kind::Malformed;
    // Of Error.
    ErrorCode code = ErrorCode::Other;
    std::string_view text;
    // Of Ready; no position when the member gives none.
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position;
    // Of Row: its fields.
    std::string_view fields;
};

MemberLine decodeMemberLine(std::string_view line);

// What a member says when asked for its status.
struct MemberStatus
{
    bool isPrimary = false;
    uint64_t term = 0;
    LogPosition position;
    uint32_t lagMs = 0;
    uint32_t busy = 0;
    uint32_t connections = 0;
};

// Reads the fields of a status row; nothing when they are not one.
std::optional<MemberStatus> decodeStatus(std::string_view fields);

std::string encodeReady(TransactionState state, std::optional<LogPosition> position);
// An answer that is whole but for its ready line.
std::string encodeDone();
std::string encodeError(ErrorCode code, std::string_view text);

std::string encodeMemberStart(std::string_view group, std::string_view organisation,
                              std::string_view memberId);
// A statement to a member; `after` must be in its log.
std::string encodeStatement(std::string_view requestId, std::string_view text,
                            std::optional<LogPosition> after);
// The text that executes a prepared statement under the name that it has at the member.
std::string executeText(std::string_view name, std::string_view arguments);
std::string prepareText(std::string_view name, const PreparedStatement &statement);
std::string setText(std::string_view name, std::string_view value);
std::string beginText(bool readOnly);
std::string rollbackText();
std::string resetText();
std::string statusText();
std::string demoteText(uint64_t term);
// The id of statements that the system issues itself.
inline constexpr std::string_view OwnRequestId = "-";

} // namespace gentianplank::platform
