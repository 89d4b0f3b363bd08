#include "gentianplank/statement/transaction_limits.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};

GroupView viewInTerm(uint64_t term)
{
    configuration::v1::Target target;
    target.add_members()->set_name("a");
    GroupView view = makeGroupView(target);
    applyReport(view, {"a", Role::Primary, {term, 1}, term, Start});
    return view;
}

} // namespace

BOOST_AUTO_TEST_CASE(transactionExpiresAtEachLimit)
{
    const TransactionAge age{Start, Start + std::chrono::seconds(1), "a", 1,
                             Start + std::chrono::minutes(2)};
    const Instant beforeIdleLimit = age.lastStepAt + TransactionIdleLimit - Duration(1);
    BOOST_TEST(!expiryRefusal(age, viewInTerm(1), beforeIdleLimit).has_value());
    BOOST_TEST(expiryRefusal(age, viewInTerm(1), beforeIdleLimit + Duration(1)).has_value());
    BOOST_TEST(expiryRefusal(age, viewInTerm(2), beforeIdleLimit).has_value());

    TransactionAge longLived = age;
    longLived.lastStepAt = Start + TransactionLifetime - Duration(1);
    BOOST_TEST(!expiryRefusal(longLived, viewInTerm(1), longLived.lastStepAt).has_value());
    BOOST_TEST(expiryRefusal(longLived, viewInTerm(1), Start + TransactionLifetime).has_value());

    TransactionAge shortDeadline = age;
    shortDeadline.deadline = beforeIdleLimit;
    const auto refusal = expiryRefusal(shortDeadline, viewInTerm(1), beforeIdleLimit);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->reason == Reason::Deadline));
    BOOST_TEST((refusal->outcome == ExecutionOutcome::NotRun));
}

} // namespace gentianplank
