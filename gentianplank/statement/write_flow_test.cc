#include "gentianplank/statement/write_flow.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};
const Instant Deadline = Start + std::chrono::milliseconds(500);

GroupView groupInTerm(uint64_t term, uint64_t primaryAt, uint64_t replicaAt)
{
    configuration::v1::Target target;
    target.set_group("g");
    for (const char *name : {"a", "b", "c"}) {
        target.add_members()->set_name(name);
    }
    GroupView view = makeGroupView(target);
    const std::string primary = term % 2 == 1 ? "a" : "b";
    const std::string replica = term % 2 == 1 ? "b" : "c";
    applyReport(view, {primary, Role::Primary, {term, primaryAt}, term, Start});
    applyReport(view, {replica, Role::Replica, {term, replicaAt}, term, Start});
    return view;
}

target::v1::Done doneAt(uint64_t term, uint64_t position, bool aborted = false)
{
    target::v1::Done done;
    toWire({term, position}, done.mutable_position());
    done.set_aborted(aborted);
    return done;
}

MemberError lost()
{
    return {MemberFault::Lost, target::v1::FAILURE_KIND_UNSPECIFIED, "lost"};
}

} // namespace

BOOST_AUTO_TEST_CASE(writeIsAcknowledgedOnlyAfterMajorityConfirms)
{
    WriteFlow flow = makeWriteFlow(Start, Deadline);
    const WriteAction send = nextAction(flow, groupInTerm(1, 10, 10), Start);
    BOOST_TEST((send.kind == WriteActionKind::Send));
    BOOST_TEST(send.member == "a");
    onReply(flow, doneAt(1, 11), Start);
    BOOST_TEST((nextAction(flow, groupInTerm(1, 11, 10), Start).kind == WriteActionKind::Wait));
    BOOST_TEST(
        (nextAction(flow, groupInTerm(1, 11, 11), Start).kind == WriteActionKind::Acknowledge));
}

BOOST_AUTO_TEST_CASE(unconfirmedWriteOfReplacedPrimaryIsSentToItsSuccessor)
{
    WriteFlow flow = makeWriteFlow(Start, Deadline);
    nextAction(flow, groupInTerm(1, 10, 10), Start);
    onReply(flow, doneAt(1, 11), Start);
    const GroupView later = groupInTerm(2, 30, 30);
    BOOST_TEST((nextAction(flow, later, Start).kind == WriteActionKind::Wait));
    const WriteAction again = nextAction(flow, later, Start);
    BOOST_TEST((again.kind == WriteActionKind::Send));
    // The first attempt in a term is not a retry; the second one is.
    BOOST_TEST(!again.isRetry);
    BOOST_TEST(again.member == "b");
    WriteFlow repeated = flow;
    onReply(repeated, tl::unexpected(lost()), Start);
    const Instant afterDelay = Start + std::chrono::milliseconds(50);
    BOOST_TEST(nextAction(repeated, later, afterDelay).isRetry);
    onReply(flow, doneAt(2, 31), Start);
    BOOST_TEST((nextAction(flow, groupInTerm(2, 31, 30), Start).kind == WriteActionKind::Wait));
    BOOST_TEST(
        (nextAction(flow, groupInTerm(2, 31, 31), Start).kind == WriteActionKind::Acknowledge));
}

BOOST_AUTO_TEST_CASE(lostWriteIsResolvedWhenItMayNotBeResent)
{
    for (const bool hasBudget : {true, false}) {
        WriteFlow flow = makeWriteFlow(Start, Deadline);
        nextAction(flow, groupInTerm(1, 10, 10), Start);
        onReply(flow, tl::unexpected(lost()), Start);
        flow.mayResend = hasBudget;
        const Instant now = hasBudget ? flow.resolveFrom : Start + std::chrono::milliseconds(50);
        // Without retry budget, the lost attempt was the only one in its term.
        const uint64_t term = hasBudget ? 2 : 1;
        const WriteAction resolve = nextAction(flow, groupInTerm(term, 30, 30), now);
        BOOST_TEST((resolve.kind == WriteActionKind::Resolve));
        BOOST_TEST(resolve.member == (hasBudget ? "b" : "a"));
        onReply(flow, doneAt(term, 31, true), now);
        BOOST_TEST(
            (nextAction(flow, groupInTerm(term, 31, 30), now).kind == WriteActionKind::Wait));
        BOOST_TEST(
            (nextAction(flow, groupInTerm(term, 31, 31), now).kind == WriteActionKind::Refuse));
        BOOST_TEST((flow.refusal.outcome == ExecutionOutcome::NotRun));
        BOOST_TEST((flow.refusal.reason == Reason::Aborted));
    }
}

BOOST_AUTO_TEST_CASE(commitIsSentOnceAndOnlyToItsPrimary)
{
    WriteFlow flow = makeWriteFlow(Start, Deadline);
    flow.pinned = PinnedPrimary{"a", 1};
    WriteFlow late = flow;
    BOOST_TEST((nextAction(flow, groupInTerm(1, 10, 10), Start).kind == WriteActionKind::Send));
    onReply(flow, tl::unexpected(lost()), Start);
    const Instant next = Start + std::chrono::milliseconds(50);
    BOOST_TEST((nextAction(flow, groupInTerm(1, 10, 10), next).kind == WriteActionKind::Resolve));
    BOOST_TEST((nextAction(late, groupInTerm(2, 12, 12), Start).kind == WriteActionKind::Refuse));
    BOOST_TEST((late.refusal.outcome == ExecutionOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(unresolvedLostAnswerHasUnknownOutcome)
{
    WriteFlow flow = makeWriteFlow(Start, Deadline);
    nextAction(flow, groupInTerm(1, 10, 10), Start);
    onReply(flow, tl::unexpected(lost()), Start);
    const WriteAction action = nextAction(flow, groupInTerm(1, 10, 10), Deadline);
    BOOST_TEST((action.kind == WriteActionKind::Refuse));
    BOOST_TEST((flow.refusal.outcome == ExecutionOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(writeRefusedByMemberIsSentAgain)
{
    WriteFlow flow = makeWriteFlow(Start, Deadline);
    nextAction(flow, groupInTerm(1, 10, 10), Start);
    onReply(flow,
            tl::unexpected(
                MemberError{MemberFault::Refused, target::v1::FAILURE_KIND_FENCED, "fenced"}),
            Start);
    BOOST_TEST((nextAction(flow, groupInTerm(1, 10, 10), Start).kind == WriteActionKind::Wait));
    const Instant later = Start + std::chrono::milliseconds(50);
    const WriteAction again = nextAction(flow, groupInTerm(2, 12, 12), later);
    BOOST_TEST((again.kind == WriteActionKind::Send));
    BOOST_TEST(again.member == "b");
}

BOOST_AUTO_TEST_CASE(writeIsNotSentWithoutCloseReplica)
{
    const Instant stale = Start + std::chrono::seconds(3);
    WriteFlow flow = makeWriteFlow(stale, stale + std::chrono::milliseconds(1));
    BOOST_TEST((nextAction(flow, groupInTerm(1, 10, 10), stale).kind == WriteActionKind::Wait));
    nextAction(flow, groupInTerm(1, 10, 10), flow.deadline);
    BOOST_TEST((flow.refusal.reason == Reason::NotReplicated));
    BOOST_TEST((flow.refusal.outcome == ExecutionOutcome::NotRun));
}

} // namespace gentianplank
