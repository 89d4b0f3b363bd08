#include "gentianplank/platform/line_codec.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace gentianplank::platform;

namespace {

TextStatement statementOf(std::string_view text)
{
    return decodeCallerLine("QUERY 7f " + std::string(text)).statement;
}

} // namespace

BOOST_AUTO_TEST_CASE(linesAreSplitWhenReadsEndInsideLineOrLineEnd)
{
    LineBuffer buffer(MaxMessageBytes);
    buffer.append("START a b\r");
    BOOST_TEST(!buffer.next());
    buffer.append("\nBYE\r\nQUE");
    BOOST_TEST(*buffer.next() == "START a b");
    BOOST_TEST(*buffer.next() == "BYE");
    BOOST_TEST(!buffer.next());
    buffer.append("RY\r\n");
    BOOST_TEST(*buffer.next() == "QUERY");
    BOOST_TEST(buffer.size() == 0U);
}

BOOST_AUTO_TEST_CASE(incompleteLineOverLimitIsTooLong)
{
    LineBuffer buffer(8);
    buffer.append("12345678");
    BOOST_TEST(!buffer.next());
    BOOST_TEST(!buffer.isTooLong());
    buffer.append("9");
    BOOST_TEST(buffer.isTooLong());
}

BOOST_AUTO_TEST_CASE(startNeedsDatabaseAndAcceptsOptionalKey)
{
    const CallerMessage withKey = decodeCallerLine("START ledger k1");
    BOOST_TEST((withKey.kind == CallerMessage::Kind::Start));
    BOOST_TEST(withKey.database == "ledger");
    BOOST_TEST(withKey.key == "k1");
    BOOST_TEST(decodeCallerLine("START ledger").key == "");
    BOOST_TEST((decodeCallerLine("START").kind == CallerMessage::Kind::Malformed));
    BOOST_TEST((decodeCallerLine("HELLO").kind == CallerMessage::Kind::Malformed));
    BOOST_TEST((decodeCallerLine("").kind == CallerMessage::Kind::Malformed));
    BOOST_TEST((decodeCallerLine("QUERY").kind == CallerMessage::Kind::Malformed));
}

BOOST_AUTO_TEST_CASE(statementKindIsDecodedAndTextIsKept)
{
    BOOST_TEST((statementOf("BEGIN").kind == StatementKind::Begin));
    BOOST_TEST((statementOf("BEGIN READ").kind == StatementKind::BeginReadOnly));
    BOOST_TEST((statementOf("BEGIN WRITE").kind == StatementKind::Malformed));
    BOOST_TEST((statementOf("COMMIT").kind == StatementKind::Commit));
    BOOST_TEST((statementOf("ROLLBACK").kind == StatementKind::Rollback));
    BOOST_TEST((statementOf("READ").kind == StatementKind::Malformed));
    const TextStatement write = statementOf("WRITE 1a4 some data");
    BOOST_TEST((write.kind == StatementKind::Write));
    BOOST_TEST(write.text == "WRITE 1a4 some data");
    BOOST_TEST(write.requestId == "7f");
    const TextStatement set = statementOf("SET zone a b");
    BOOST_TEST(set.name == "zone");
    BOOST_TEST(set.value == "a b");
    const TextStatement prepare = statementOf("PREPARE s1 WRITE q2c");
    BOOST_TEST((prepare.kind == StatementKind::Prepare));
    BOOST_TEST(prepare.preparesWrite);
    BOOST_TEST(prepare.value == "q2c");
    BOOST_TEST((statementOf("PREPARE s1 DROP q2c").kind == StatementKind::Malformed));
    const TextStatement execute = statementOf("EXECUTE s1 1a4 xk");
    BOOST_TEST(execute.name == "s1");
    BOOST_TEST(execute.arguments == "1a4 xk");
    BOOST_TEST((statementOf("AFTER 1.2 READ a").kind == StatementKind::Malformed));
    BOOST_TEST((statementOf("RESET").kind == StatementKind::Malformed));
}

BOOST_AUTO_TEST_CASE(memberLinesAndStatusAreDecoded)
{
    const MemberLine ready = decodeMemberLine("READY T 3.1207");
    BOOST_TEST((ready.kind == MemberLine::Kind::Ready));
    BOOST_TEST((ready.state == TransactionState::Open));
    BOOST_TEST((ready.position == LogPosition{3, 1207}));
    BOOST_TEST(!decodeMemberLine("READY I -").position);
    const MemberLine error = decodeMemberLine("ERROR LAGGING i-7 is behind");
    BOOST_TEST((error.code == ErrorCode::Lagging));
    BOOST_TEST(error.text == "i-7 is behind");
    BOOST_TEST((decodeMemberLine("ERROR NEWCODE x").code == ErrorCode::Other));
    BOOST_TEST((decodeMemberLine("READY X 1.1").kind == MemberLine::Kind::Malformed));
    const auto status = decodeStatus("replica 3 3.1209 0 12 2 17");
    BOOST_REQUIRE(status);
    BOOST_TEST(!status->isPrimary);
    BOOST_TEST((status->position == LogPosition{3, 1209}));
    BOOST_TEST(status->connections == 17U);
    BOOST_TEST(!decodeStatus("qhzkwmtrbelo"));
    BOOST_TEST(!decodeStatus("replica 3 x 0 12 2 17"));
}

BOOST_AUTO_TEST_CASE(messagesAreEncodedForTheWire)
{
    BOOST_TEST(encodeReady(TransactionState::Failed, LogPosition{3, 9}) == "READY E 3.9\r\n");
    BOOST_TEST(encodeReady(TransactionState::Idle, {}) == "READY I -\r\n");
    BOOST_TEST(encodeError(ErrorCode::TooManyConnections, "full") == "ERROR TOOMANY full\r\n");
    BOOST_TEST(encodeMemberStart("g", "org", "i-1") == "START g org i-1\r\n");
    BOOST_TEST(encodeStatement("5c", "READ 1a4", LogPosition{3, 7}) ==
               "QUERY 5c AFTER 3.7 READ 1a4\r\n");
    BOOST_TEST(encodeStatement("5c", "COMMIT", {}) == "QUERY 5c COMMIT\r\n");
    BOOST_TEST(executeText("w-q2c", "1a4 xk") == "EXECUTE w-q2c 1a4 xk");
    BOOST_TEST(prepareText("w-q2c", {true, "q2c"}) == "PREPARE w-q2c WRITE q2c");
}

BOOST_AUTO_TEST_CASE(onlySixErrorCodesGuaranteeNoEffect)
{
    for (const ErrorCode it :
         {ErrorCode::Busy, ErrorCode::Aborted, ErrorCode::Lagging, ErrorCode::ReadOnly,
          ErrorCode::WrongMember, ErrorCode::TooManyConnections}) {
        BOOST_TEST(guaranteesNoEffect(it));
    }
    for (const ErrorCode it : {ErrorCode::Unknown, ErrorCode::Timeout, ErrorCode::Failed,
                               ErrorCode::NoStatement, ErrorCode::Malformed, ErrorCode::Other}) {
        BOOST_TEST(!guaranteesNoEffect(it));
    }
}
