// Codec for the line protocol of callers and members. A message is a line of words separated by
// blanks that ends with CR LF. All functions are thread-safe.
//
//     LineBuffer buffer(MaxMessageBytes);
//     buffer.append(bytes);
//     while (auto line = buffer.next()) { CallerMessage message = decodeCallerLine(*line); }
#pragma once

#include "gentianplank/session/text_statement.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank::platform {

// Maximum size of a line in bytes.
inline constexpr size_t MaxMessageBytes = 1024 * 1024;

// Splits a byte stream into lines. Takes time linear in the bytes, whatever they contain. Not
// thread-safe.
class LineBuffer
{
public:
    explicit LineBuffer(size_t longestLine)
        : m_longestLine(longestLine)
    {}

    // Ignores all bytes from the first excess byte of a line that is too long.
    void append(std::string_view bytes);

    // Returns the next complete line without CR LF, or nothing if there is none yet. The view is
    // valid until the next append() or compact().
    std::optional<std::string_view> next();

    // Releases the memory of returned lines if it is large.
    void compact();

    // Whether a line after those that next() still returns is longer than allowed, without its line
    // end. None of its bytes are kept.
    bool isTooLong() const { return m_isTooLong; }

    // Number of buffered bytes not yet returned by next().
    size_t size() const { return m_bytes.size() - m_start; }
    // Whether next() returns a line.
    bool hasLine() const { return m_start < m_lineStart; }
    // Allocated bytes.
    size_t memory() const { return m_bytes.capacity(); }

private:
    void reserveFor(size_t added);

    size_t m_longestLine;
    std::vector<char> m_bytes;
    // Where the next line to return starts.
    size_t m_start = 0;
    // Where the incomplete line at the end starts.
    size_t m_lineStart = 0;
    bool m_isTooLong = false;
};

// A message of a caller.
struct CallerMessage
{
    enum class Kind { Start, Query, Bye, Malformed };
    Kind kind = Kind::Malformed;
    // Set for Start; the key may be empty.
    std::string database;
    std::string key;
    // Set for Query.
    TextStatement statement;
};

// Decodes one line without its line end. The kind is Malformed if the line is not a valid message;
// a Query may hold a malformed statement.
CallerMessage decodeCallerLine(std::string_view line);

// One line of a member's answer.
struct MemberLine
{
    enum class Kind { Row, Done, Error, Ready, Malformed };
    Kind kind = Kind::Malformed;
    // Set for Error.
    ErrorCode code = ErrorCode::Other;
    std::string_view text;
    // Set for Ready. There is no position if the member sent none.
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position;
    // Set for Row.
    std::string_view fields;
};

// Decodes one line without its line end. The views in the result point into `line`.
MemberLine decodeMemberLine(std::string_view line);

// A member's reply to a status statement.
struct MemberStatus
{
    bool isPrimary = false;
    uint64_t term = 0;
    LogPosition position;
    uint32_t lagMs = 0;
    uint32_t busy = 0;
    uint32_t connections = 0;
};

// Decodes the fields of a status row. Returns nothing if they are invalid.
std::optional<MemberStatus> decodeStatus(std::string_view fields);

std::string encodeReady(TransactionState state, std::optional<LogPosition> position);
// Encodes the end of a successful answer. Only the ready line may follow.
std::string encodeDone();
std::string encodeError(ErrorCode code, std::string_view text);

std::string encodeMemberStart(std::string_view group, std::string_view organisation,
                              std::string_view memberId);
// Encodes a statement to a member. If `after` is set, the member runs the statement only if its log
// contains that position.
std::string encodeStatement(std::string_view requestId, std::string_view text,
                            std::optional<LogPosition> after);
// Statement texts for encodeStatement(), without a line end. `name` of executeText() and
// prepareText() is the prepared statement's name at the member.
std::string executeText(std::string_view name, std::string_view arguments);
std::string prepareText(std::string_view name, const PreparedStatement &statement);
std::string setText(std::string_view name, std::string_view value);
std::string beginText(bool readOnly);
std::string rollbackText();
std::string resetText();
std::string statusText();
std::string demoteText(uint64_t term);
// The request id of statements that the proxy itself issues.
inline constexpr std::string_view InternalRequestId = "-";

} // namespace gentianplank::platform
