#include "gentianplank/ctl/verbs.h"

#include "gentianplank/base/digest.h"
#include "gentianplank/ctl/render.h"
#include "gentianplank/ctl/table.h"

#include <boost/test/unit_test.hpp>
#include <google/protobuf/util/json_util.h>
#include <rapidcheck.h>

#include <map>
#include <sstream>

namespace gentianplank {

namespace {

using caller::v1::TransactReply;
using caller::v1::TransactRequest;

class FakeTransaction : public TransactionCall
{
public:
    explicit FakeTransaction(std::vector<TransactRequest> &steps)
        : m_steps(steps)
    {}

    tl::expected<TransactReply, Refusal> step(const TransactRequest &request) override
    {
        m_steps.push_back(request);
        TransactReply reply;
        reply.set_committed(request.has_commit());
        return reply;
    }

private:
    std::vector<TransactRequest> &m_steps;
};

// Keeps every request. Adds as a ledger does, each request id once; loses every nth answer.
class FakeClient : public Client
{
public:
    tl::expected<caller::v1::ExecuteReply, Refusal>
    execute(const caller::v1::ExecuteRequest &request) override
    {
        executed.push_back(request);
        if (executeRefusal) {
            return tl::unexpected(*executeRefusal);
        }
        caller::v1::ExecuteReply reply;
        if (request.statement().name() == "ledger.add" && seen[request.request_id()]++ == 0) {
            ++total;
        }
        if (!request.statement().read_only() && loseEvery != 0 &&
            executed.size() % loseEvery == 0) {
            return tl::unexpected(refuse(Reason::TargetFailed, ExecutionOutcome::Unknown, "lost"));
        }
        reply.add_rows()->add_values("k");
        reply.mutable_rows(0)->add_values(std::to_string(total + doubled));
        return reply;
    }

    tl::expected<caller::v1::PullEnd, Refusal> pull(const caller::v1::ExecuteRequest &,
                                                    const ChunkHandler &) override
    {
        return tl::unexpected(refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, "not whole"));
    }

    tl::expected<std::unique_ptr<TransactionCall>, Refusal>
    begin(const caller::v1::Begin &) override
    {
        return std::make_unique<FakeTransaction>(steps);
    }

    tl::expected<admin::v1::ChangeReply, Refusal>
    change(const admin::v1::ChangeRequest &request) override
    {
        changes.push_back(request);
        if (changeRefusal) {
            return tl::unexpected(*changeRefusal);
        }
        admin::v1::ChangeReply reply;
        reply.set_revision(7);
        return reply;
    }

    tl::expected<admin::v1::SwitchPrimaryReply, Refusal>
    switchPrimary(const admin::v1::SwitchPrimaryRequest &request) override
    {
        switches.push_back(request);
        return admin::v1::SwitchPrimaryReply();
    }

    tl::expected<admin::v1::StatusReply, Refusal> status() override { return statusReply; }

    tl::expected<admin::v1::HistoryReply, Refusal>
    history(const admin::v1::HistoryRequest &) override
    {
        return admin::v1::HistoryReply();
    }

    tl::expected<configuration::v1::Document, Refusal> configuration() override { return document; }

    tl::expected<standin::v1::FaultReply, Refusal>
    setFault(const standin::v1::FaultRequest &request) override
    {
        faults.push_back(request);
        return standin::v1::FaultReply();
    }

    tl::expected<standin::v1::ReceivedReply, Refusal> received() override
    {
        return standin::v1::ReceivedReply();
    }

    std::vector<caller::v1::ExecuteRequest> executed;
    std::vector<admin::v1::ChangeRequest> changes;
    std::vector<admin::v1::SwitchPrimaryRequest> switches;
    std::vector<standin::v1::FaultRequest> faults;
    std::vector<TransactRequest> steps;
    std::optional<Refusal> executeRefusal;
    std::optional<Refusal> changeRefusal;
    configuration::v1::Document document;
    admin::v1::StatusReply statusReply;
    std::map<std::string, int> seen;
    uint64_t total = 0;
    uint64_t doubled = 0;
    size_t loseEvery = 0;
};

struct Run
{
    int code = 0;
    std::string out;
    std::string err;
};

Run runWords(FakeClient &client, const std::vector<std::string> &words,
             const VerbOptions &options = {}, const std::string &input = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const int code = runVerb({client, options, in, out, err, {}}, words);
    return {code, out.str(), err.str()};
}

std::vector<Verb> allVerbs()
{
    std::vector<Verb> all;
    for (const auto &group : {adminVerbs(), callerVerbs(), standinVerbs()}) {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_CASE(badUsageNeverReachesTheVm)
{
    // Each is wrong in one word; none may be sent.
    const std::vector<std::vector<std::string>> bad = {
        {},
        {"no-such-verb"},
        {"put-organisation", "a", "ten", "1"},
        {"put-organisation", "a", "1", "-1"},
        {"put-organisation", "a", "1"},
        {"put-target", "g", "2", "16", "a=127.0.0.1:1"},
        {"put-target", "g", "2", "16", "a=127.0.0.1@z/r"},
        {"put-route", "r", "g", "open", "dredge-co"},
        {"put-exception", "e", "suspend", "a"},
        {"put-exception", "e", "rate-percent", "a"},
        {"put-exception", "e", "other", "a"},
        {"set-leaving", "g", "m", "maybe"},
        {"withdraw-key", "digest:ab"},
        {"grant-key", "a", "@/no/such/file"},
        {"add", "r", "k", "12x"},
        {"fault-member", "g", "m", "isolated=perhaps"},
        {"fault-member", "g", "m", "no_such=1"},
        {"fault-store", "down"},
        {"history", "x"},
    };
    for (const auto &words : bad) {
        FakeClient client;
        const Run run = runWords(client, words);
        BOOST_TEST_CONTEXT((words.empty() ? std::string("no words") : words.front()))
        {
            BOOST_TEST(run.code == ExitBadUsage);
            BOOST_TEST(!run.err.empty());
            BOOST_TEST(
                (client.changes.empty() && client.executed.empty() && client.faults.empty()));
        }
    }
}

// Pattern: who only reads logs was told to say how VMs are called.
BOOST_AUTO_TEST_CASE(verbsThatReadLogsCallNobody)
{
    const std::vector<std::string> trace{"trace", "5c0e7a21", "vm.log"};
    const std::vector<std::string> status{"status"};
    BOOST_TEST(!callsAVm(trace));
    BOOST_TEST(callsAVm(status));
    BOOST_TEST(callsAVm(Words()));
}

BOOST_AUTO_TEST_CASE(anyWordsEndInAClearAnswer)
{
    const auto verbs = allVerbs();
    rc::check("any verb with any words ends with an exit code, and errors are printed", [&] {
        const auto index = *rc::gen::inRange<size_t>(0, verbs.size());
        // A probe runs for as long as its word says, and a key may name any file.
        RC_PRE(verbs[index].name != "probe");
        std::vector<std::string> words{std::string(verbs[index].name)};
        for (const auto &it : *rc::gen::container<std::vector<std::string>>(
                 rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                rc::gen::element<std::string>("1", "a=1.1.1.1:1@z/r", "yes")))) {
            words.push_back(it.starts_with('@') ? "k" : it);
        }
        FakeClient client;
        const Run run = runWords(client, words);
        RC_ASSERT(run.code >= ExitDone && run.code <= ExitPromiseBroken);
        RC_ASSERT(run.code == ExitDone || !run.err.empty());
    });
}

BOOST_AUTO_TEST_CASE(retryIdsAreSettableAndTold)
{
    FakeClient client;
    client.changeRefusal = refuse(Reason::StoreUnavailable, ExecutionOutcome::Unknown, "no answer");
    const Run lost = runWords(client, {"put-organisation", "a", "1", "2"});
    BOOST_TEST(lost.code == ExitOutcomeUnknown);
    const std::string id = client.changes[0].write_id();
    BOOST_TEST(lost.err.find("--write_id=" + id) != std::string::npos);
    VerbOptions options;
    options.writeId = id;
    client.changeRefusal.reset();
    BOOST_TEST(runWords(client, {"put-organisation", "a", "1", "2"}, options).code == ExitDone);
    BOOST_TEST(client.changes[1].SerializeAsString() == client.changes[0].SerializeAsString());
    options.requestId = "r-1";
    runWords(client, {"add", "r", "k", "5"}, options);
    BOOST_TEST(client.executed[0].request_id() == "r-1");
}

BOOST_AUTO_TEST_CASE(refusalsHaveTheirExitCodes)
{
    FakeClient client;
    client.executeRefusal = refuse(Reason::RateLimited, ExecutionOutcome::NotRun, "too fast",
                                   std::chrono::milliseconds(40));
    const Run run = runWords(client, {"put", "r", "k", "v"});
    BOOST_TEST(run.code == ExitNotRun);
    BOOST_TEST(run.err == "refused (rate_limited, not_run): too fast\ntry again after 40 ms\n");
    client.executeRefusal->outcome = ExecutionOutcome::Ran;
    BOOST_TEST(runWords(client, {"put", "r", "k", "v"}).code == ExitOutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(keysAreSentAndListedAsDigests)
{
    FakeClient client;
    BOOST_TEST(runWords(client, {"grant-key", "a", "captain-key"}).code == ExitDone);
    BOOST_TEST(client.changes[0].operations(0).grant_key().digest() == keyDigest("captain-key"));
    BOOST_TEST(client.changes[0].SerializeAsString().find("captain-key") == std::string::npos);
    for (const char *key : {"key-1", "key-2"}) {
        client.document.add_keys()->set_digest(keyDigest(key));
    }
    const std::string prefix = digestPrefix(keyDigest("key-2"));
    BOOST_TEST(runWords(client, {"list-keys"}).out.find(prefix) != std::string::npos);
    BOOST_TEST(runWords(client, {"withdraw-key", "digest:" + prefix}).code == ExitDone);
    BOOST_TEST(client.changes[1].operations(0).withdraw_key() == keyDigest("key-2"));
    BOOST_TEST(runWords(client, {"withdraw-key", "digest:"}).code == ExitBadUsage);
}

BOOST_AUTO_TEST_CASE(editOfATargetExpectsTheRevisionItRead)
{
    FakeClient client;
    client.document.set_revision(41);
    client.document.add_targets()->set_group("g");
    client.document.mutable_targets(0)->add_members()->set_name("a");
    BOOST_TEST(runWords(client, {"add-member", "g", "b=1.1.1.1:1@z/r"}).code == ExitDone);
    BOOST_TEST(client.changes[0].expected_revision() == 41U);
    BOOST_TEST(client.changes[0].operations(0).put_target().members_size() == 2);
    BOOST_TEST(runWords(client, {"remove-member", "g", "a"}).code == ExitDone);
    BOOST_TEST(client.changes[1].operations(0).put_target().members_size() == 0);
    BOOST_TEST(runWords(client, {"remove-member", "g", "x"}).code == ExitBadUsage);
}

BOOST_AUTO_TEST_CASE(transactionSendsItsLinesAndStopsAtABadOne)
{
    FakeClient client;
    const Run good =
        runWords(client, {"transaction", "r"}, {}, "put a 1\nadd b 2\ncommit\nget a\n");
    BOOST_TEST(good.code == ExitDone);
    BOOST_TEST(client.steps.size() == 3U);
    BOOST_TEST(client.steps[2].has_commit());
    client.steps.clear();
    const Run bad = runWords(client, {"transaction", "r"}, {}, "put a 1\nput a\ncommit\n");
    BOOST_TEST(bad.code == ExitBadUsage);
    BOOST_TEST(client.steps.size() == 1U);
    // Without a commit it is told that nothing was kept.
    BOOST_TEST(
        runWords(client, {"transaction", "r"}, {}, "put a 1\n").out.ends_with("rolled back\n"));
}

BOOST_AUTO_TEST_CASE(probeCountsEachWriteOnceAndSeesABrokenPromise)
{
    FakeClient client;
    client.loseEvery = 3;
    BOOST_TEST(runWords(client, {"probe", "r", "1"}).code == ExitDone);
    FakeClient broken;
    broken.doubled = 1;
    BOOST_TEST(runWords(broken, {"probe", "r", "1"}).code == ExitPromiseBroken);
}

BOOST_AUTO_TEST_CASE(statusIsATableOrJson)
{
    FakeClient client;
    admin::v1::VmStatus *vm = client.statusReply.add_vms();
    vm->set_vm("vm-1");
    vm->set_zone("portland");
    vm->set_configuration_revision(12);
    const std::string table = runWords(client, {"status"}).out;
    BOOST_TEST(table.find("VM    ZONE") != std::string::npos);
    BOOST_TEST(table.find("vm-1  portland") != std::string::npos);
    VerbOptions options;
    options.json = true;
    admin::v1::StatusReply parsed;
    const auto status = google::protobuf::util::JsonStringToMessage(
        runWords(client, {"status"}, options).out, &parsed);
    BOOST_TEST(status.ok());
    BOOST_TEST(parsed.SerializeAsString() == client.statusReply.SerializeAsString());
}

} // namespace gentianplank
