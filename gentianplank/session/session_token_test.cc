#include "gentianplank/session/session_token.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>

namespace gentianplank {

namespace {

const std::string Secret = "0123456789abcdef0123456789abcdef";

} // namespace

BOOST_AUTO_TEST_CASE(encodedTokenKeepsPositions)
{
    Session session;
    recordWrite(session, "ledger-1", {2, 40});
    recordWrite(session, "ledger-2", {1, 7});
    const auto opened = decodeSessionToken(encodeSessionToken(session, Secret), Secret);
    BOOST_REQUIRE(opened.has_value());
    BOOST_TEST((requiredPosition(*opened, "ledger-1") == LogPosition{2, 40}));
    BOOST_TEST((requiredPosition(*opened, "ledger-3") == LogPosition{}));
}

BOOST_AUTO_TEST_CASE(tamperedTokenIsRefusedOrKeepsPositions)
{
    Session session;
    recordWrite(session, "ledger-1", {2, 40});
    const std::string token = encodeSessionToken(session, Secret);
    for (size_t i = 0; i < token.size(); ++i) {
        std::string changed = token;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        const auto opened = decodeSessionToken(changed, Secret);
        // The flipped bit may be in a field tag, which parsers skip. The positions must be
        // unchanged.
        if (opened.has_value()) {
            BOOST_TEST((requiredPosition(*opened, "ledger-1") == LogPosition{2, 40}));
        }
    }
    BOOST_TEST(!decodeSessionToken(token, "another secret of the fleet").has_value());
}

BOOST_AUTO_TEST_CASE(unsignedBytesAreRefused)
{
    rc::check("bytes without a valid signature are refused with a reason and a message", [] {
        const auto bytes = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
        const auto opened = decodeSessionToken(bytes, Secret);
        RC_ASSERT(!opened.has_value());
        RC_ASSERT(opened.error().reason == Reason::InvalidRequest);
        RC_ASSERT(opened.error().outcome == ExecutionOutcome::NotRun);
        RC_ASSERT(!opened.error().message.empty());
    });
}

BOOST_AUTO_TEST_CASE(damagedTokenNeverYieldsOtherPositions)
{
    rc::check("a token with bytes cut, added or changed has its own positions or is refused", [] {
        Session session;
        const auto groups = *rc::gen::arbitrary<std::map<std::string, uint32_t>>();
        for (const auto &[group, position] : groups) {
            recordWrite(session, group, {1, position});
        }
        std::string token = encodeSessionToken(session, Secret);
        for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
            const size_t place = *rc::gen::inRange<size_t>(0, token.size() + 1);
            const int kind = *rc::gen::inRange(0, 3);
            if (kind == 0) {
                token.resize(place);
            } else if (kind == 1 || place == token.size()) {
                token.insert(place, 1, *rc::gen::arbitrary<char>());
            } else {
                token[place] = *rc::gen::arbitrary<char>();
            }
        }
        // An empty token is a new session.
        RC_PRE(!token.empty());
        const auto opened = decodeSessionToken(token, Secret);
        if (opened) {
            RC_ASSERT(opened->positions == session.positions);
        }
    });
}

BOOST_AUTO_TEST_CASE(recordWriteNeverMovesPositionBack)
{
    Session session;
    recordWrite(session, "g", {3, 10});
    recordWrite(session, "g", {2, 50});
    BOOST_TEST((requiredPosition(session, "g") == LogPosition{3, 50}));
}

BOOST_AUTO_TEST_CASE(positionOfEarlierTermDoesNotCoverLaterTerm)
{
    BOOST_TEST(!covers({4, 120}, {5, 95}));
    BOOST_TEST(covers({5, 95}, {4, 80}));
    BOOST_TEST(!covers({5, 79}, {4, 80}));
}

} // namespace gentianplank
