#include "gentianplank/platform/line_codec.h"

#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace gentianplank::platform {

namespace {

constexpr std::string_view LineEnd = "\r\n";
// Capacity up to which a buffer is kept for the next line: fits nearly all messages.
constexpr size_t KeptBytes = 16UL * 1024;

constexpr std::array<std::pair<std::string_view, ErrorCode>, 14> ErrorCodeWords{{
    {"BUSY", ErrorCode::Busy},
    {"ABORTED", ErrorCode::Aborted},
    {"LAGGING", ErrorCode::Lagging},
    {"READONLY", ErrorCode::ReadOnly},
    {"MISROUTED", ErrorCode::WrongMember},
    {"TOOMANY", ErrorCode::TooManyConnections},
    {"UNKNOWN", ErrorCode::Unknown},
    {"TIMEOUT", ErrorCode::Timeout},
    {"FAILED", ErrorCode::Failed},
    {"NOSTMT", ErrorCode::NoStatement},
    {"NOAUTH", ErrorCode::NoAuthorisation},
    {"NODB", ErrorCode::NoDatabase},
    {"TOOBIG", ErrorCode::TooBig},
    {"MALFORMED", ErrorCode::Malformed},
}};

std::string_view wordOf(ErrorCode code)
{
    for (const auto &[word, value] : ErrorCodeWords) {
        if (value == code) {
            return word;
        }
    }
    return "FAILED";
}

// Removes the first word and the blank after it from `rest`, and returns the word.
std::string_view consumeWord(std::string_view &rest)
{
    const size_t blank = rest.find(' ');
    const std::string_view word = rest.substr(0, blank);
    rest = blank == std::string_view::npos ? std::string_view() : rest.substr(blank + 1);
    return word;
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && !text.empty();
}

std::optional<LogPosition> parsePosition(std::string_view text)
{
    const size_t dot = text.find('.');
    LogPosition position;
    if (dot == std::string_view::npos || !parseNumber(text.substr(0, dot), position.term) ||
        !parseNumber(text.substr(dot + 1), position.position)) {
        return std::nullopt;
    }
    return position;
}

std::string positionText(const LogPosition &position)
{
    return std::to_string(position.term) + "." + std::to_string(position.position);
}

// Sets the kind and fields of a statement from its text. The kind stays Malformed if the text is
// not a valid statement.
void decodeStatement(TextStatement &statement)
{
    std::string_view rest = statement.text;
    const std::string_view word = consumeWord(rest);
    if (word == "BEGIN" && (rest.empty() || rest == "READ")) {
        statement.kind = rest.empty() ? StatementKind::Begin : StatementKind::BeginReadOnly;
    } else if (word == "COMMIT" && rest.empty()) {
        statement.kind = StatementKind::Commit;
    } else if (word == "ROLLBACK" && rest.empty()) {
        statement.kind = StatementKind::Rollback;
    } else if (word == "READ" && !rest.empty()) {
        statement.kind = StatementKind::Read;
    } else if (word == "WRITE" && !consumeWord(rest).empty()) {
        statement.kind = StatementKind::Write;
    } else if (word == "SET") {
        statement.name = consumeWord(rest);
        statement.value = rest;
        statement.kind =
            statement.name.empty() ? StatementKind::Malformed : StatementKind::SetValue;
    } else if (word == "PREPARE") {
        statement.name = consumeWord(rest);
        const std::string_view accessMode = consumeWord(rest);
        statement.value = rest;
        statement.preparesWrite = accessMode == "WRITE";
        const bool isValid = !statement.name.empty() &&
                             (accessMode == "WRITE" || accessMode == "READ") &&
                             !statement.value.empty();
        statement.kind = isValid ? StatementKind::Prepare : StatementKind::Malformed;
    } else if (word == "EXECUTE") {
        statement.name = consumeWord(rest);
        statement.arguments = rest;
        statement.kind = statement.name.empty() ? StatementKind::Malformed : StatementKind::Execute;
    } else if (word == "DEALLOCATE" && !rest.empty()) {
        statement.name = rest;
        statement.kind = StatementKind::Deallocate;
    }
}

std::string_view stateWord(TransactionState state)
{
    switch (state) {
    case TransactionState::Idle:
        return "I";
    case TransactionState::Open:
        return "T";
    case TransactionState::Failed:
        break;
    }
    return "E";
}

} // namespace

void LineBuffer::append(std::string_view bytes)
{
    compact();
    if (m_isTooLong) {
        return;
    }
    while (!bytes.empty()) {
        // The line end may begin with a CR that is already buffered.
        const bool endsHere =
            m_bytes.size() > m_lineStart && m_bytes.back() == '\r' && bytes.front() == '\n';
        const size_t end = endsHere ? 0 : bytes.find(LineEnd);
        const bool isComplete = end != std::string_view::npos;
        const size_t before = m_bytes.size() - m_lineStart;
        const size_t length = endsHere ? before - 1 : before + (isComplete ? end : bytes.size());
        // A CR after the longest line may be the first byte of its line end.
        const bool mayEnd = !isComplete && length == m_longestLine + 1 && bytes.back() == '\r';
        if (length > m_longestLine && !mayEnd) {
            m_bytes.resize(m_lineStart);
            m_bytes.shrink_to_fit();
            m_isTooLong = true;
            return;
        }
        const size_t taken = !isComplete ? bytes.size() : endsHere ? 1 : end + LineEnd.size();
        reserveFor(taken);
        m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.begin() + static_cast<long>(taken));
        bytes.remove_prefix(taken);
        if (isComplete) {
            m_lineStart = m_bytes.size();
        }
    }
}

// Grows large buffers by a quarter: doubling would let a line of 1 MiB take 2 MiB.
void LineBuffer::reserveFor(size_t added)
{
    const size_t needed = m_bytes.size() + added;
    if (needed > m_bytes.capacity() && needed > KeptBytes) {
        m_bytes.reserve(needed + needed / 4);
    }
}

std::optional<std::string_view> LineBuffer::next()
{
    if (!hasLine()) {
        return std::nullopt;
    }
    const std::string_view all(m_bytes.data(), m_lineStart);
    const size_t end = all.find(LineEnd, m_start);
    const std::string_view line = all.substr(m_start, end - m_start);
    m_start = end + LineEnd.size();
    return line;
}

void LineBuffer::compact()
{
    // Moving the rest only when it is the smaller part keeps the time linear.
    if (m_start == 0 || size() > m_start) {
        return;
    }
    m_bytes.erase(m_bytes.begin(), m_bytes.begin() + static_cast<long>(m_start));
    m_lineStart -= m_start;
    m_start = 0;
    if (m_bytes.capacity() > KeptBytes && m_bytes.size() < m_bytes.capacity() / 2) {
        m_bytes.shrink_to_fit();
    }
}

CallerMessage decodeCallerLine(std::string_view line)
{
    CallerMessage message;
    std::string_view rest = line;
    const std::string_view word = consumeWord(rest);
    if (word == "START") {
        message.database = consumeWord(rest);
        message.key = rest;
        message.kind =
            message.database.empty() ? CallerMessage::Kind::Malformed : CallerMessage::Kind::Start;
    } else if (word == "QUERY") {
        message.statement.requestId = consumeWord(rest);
        message.statement.text = rest;
        decodeStatement(message.statement);
        message.kind = message.statement.requestId.empty() ? CallerMessage::Kind::Malformed
                                                           : CallerMessage::Kind::Query;
    } else if (word == "BYE") {
        message.kind = CallerMessage::Kind::Bye;
    }
    return message;
}

MemberLine decodeMemberLine(std::string_view line)
{
    MemberLine result;
    std::string_view rest = line;
    const std::string_view word = consumeWord(rest);
    if (word == "ROW") {
        result.kind = MemberLine::Kind::Row;
        result.fields = rest;
    } else if (word == "DONE") {
        result.kind = MemberLine::Kind::Done;
    } else if (word == "ERROR") {
        result.kind = MemberLine::Kind::Error;
        const std::string_view code = consumeWord(rest);
        for (const auto &[text, value] : ErrorCodeWords) {
            if (text == code) {
                result.code = value;
            }
        }
        result.text = rest;
    } else if (word == "READY") {
        const std::string_view state = consumeWord(rest);
        if (state == "I" || state == "T" || state == "E") {
            result.kind = MemberLine::Kind::Ready;
            result.state = state == "I"   ? TransactionState::Idle
                           : state == "T" ? TransactionState::Open
                                          : TransactionState::Failed;
            result.position = parsePosition(rest);
        }
    }
    return result;
}

std::optional<MemberStatus> decodeStatus(std::string_view fields)
{
    std::string_view rest = fields;
    MemberStatus status;
    const std::string_view role = consumeWord(rest);
    const bool hasTerm = parseNumber(consumeWord(rest), status.term);
    const auto position = parsePosition(consumeWord(rest));
    consumeWord(rest); // Skips the term above which the member receives nothing.
    const bool hasLag = parseNumber(consumeWord(rest), status.lagMs);
    const bool hasBusy = parseNumber(consumeWord(rest), status.busy);
    const bool hasConnections = parseNumber(consumeWord(rest), status.connections);
    if ((role != "primary" && role != "replica") || !hasTerm || !position || !hasLag || !hasBusy ||
        !hasConnections) {
        return std::nullopt;
    }
    status.isPrimary = role == "primary";
    status.position = *position;
    return status;
}

std::string encodeReady(TransactionState state, std::optional<LogPosition> position)
{
    std::string line = "READY ";
    line.append(stateWord(state)).append(" ");
    line.append(position ? positionText(*position) : "-").append("\r\n");
    return line;
}

std::string encodeDone()
{
    return "DONE -\r\n";
}

std::string encodeError(ErrorCode code, std::string_view text)
{
    std::string line = "ERROR ";
    line.append(wordOf(code)).append(" ").append(text).append("\r\n");
    return line;
}

std::string encodeMemberStart(std::string_view group, std::string_view organisation,
                              std::string_view memberId)
{
    std::string line = "START ";
    line.append(group).append(" ").append(organisation).append(" ").append(memberId);
    return line.append("\r\n");
}

std::string encodeStatement(std::string_view requestId, std::string_view text,
                            std::optional<LogPosition> after)
{
    std::string line = "QUERY ";
    line.append(requestId).append(" ");
    if (after) {
        line.append("AFTER ").append(positionText(*after)).append(" ");
    }
    return line.append(text).append("\r\n");
}

std::string executeText(std::string_view name, std::string_view arguments)
{
    std::string text = "EXECUTE ";
    text.append(name);
    if (!arguments.empty()) {
        text.append(" ").append(arguments);
    }
    return text;
}

std::string prepareText(std::string_view name, const PreparedStatement &statement)
{
    std::string text = "PREPARE ";
    text.append(name).append(statement.writes ? " WRITE " : " READ ").append(statement.shape);
    return text;
}

std::string setText(std::string_view name, std::string_view value)
{
    std::string text = "SET ";
    return text.append(name).append(" ").append(value);
}

std::string beginText(bool readOnly)
{
    return readOnly ? "BEGIN READ" : "BEGIN";
}

std::string rollbackText()
{
    return "ROLLBACK";
}

std::string resetText()
{
    return "RESET";
}

std::string statusText()
{
    return "STATUS";
}

std::string demoteText(uint64_t term)
{
    return "DEMOTE " + std::to_string(term);
}

} // namespace gentianplank::platform
