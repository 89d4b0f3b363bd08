#include "gentianplank/platform/line_codec.h"

#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace gentianplank::platform {

namespace {

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
    if (m_start > 0) {
        m_bytes.erase(0, m_start);
        m_searched -= m_start;
        m_start = 0;
    }
    m_bytes.append(bytes);
}

std::optional<std::string_view> LineBuffer::next()
{
    const size_t end = m_bytes.find("\r\n", m_searched);
    if (end == std::string::npos) {
        // The last byte may be the CR of an incomplete CR LF.
        m_searched = std::max(m_start, m_bytes.empty() ? 0 : m_bytes.size() - 1);
        return std::nullopt;
    }
    const std::string_view line = std::string_view(m_bytes).substr(m_start, end - m_start);
    m_start = end + 2;
    m_searched = m_start;
    return line;
}

bool LineBuffer::isTooLong() const
{
    return size() > m_longestLine;
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
