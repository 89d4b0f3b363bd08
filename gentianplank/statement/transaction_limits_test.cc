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

BOOST_AUTO_TEST_CASE(transactionEndsAtEachOfItsLimits)
{
    const TransactionAge age{Start, Start + std::chrono::seconds(1), "a", 1,
                             Start + std::chrono::minutes(2)};
    const Instant busy = age.lastStepAt + TransactionIdleLimit - Duration(1);
    BOOST_TEST(!expiryOf(age, viewInTerm(1), busy).has_value());
    BOOST_TEST(expiryOf(age, viewInTerm(1), busy + Duration(1)).has_value());
    BOOST_TEST(expiryOf(age, viewInTerm(2), busy).has_value());

    TransactionAge old = age;
    old.lastStepAt = Start + TransactionLifetime - Duration(1);
    BOOST_TEST(!expiryOf(old, viewInTerm(1), old.lastStepAt).has_value());
    BOOST_TEST(expiryOf(old, viewInTerm(1), Start + TransactionLifetime).has_value());

    TransactionAge hurried = age;
    hurried.deadline = busy;
    const auto refusal = expiryOf(hurried, viewInTerm(1), busy);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->reason == Reason::Deadline));
    BOOST_TEST((refusal->outcome == ExecutionOutcome::NotRun));
}

} // namespace gentianplank
