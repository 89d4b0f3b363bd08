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

// Records every request. Counts each request id of `ledger.add` once, and loses every
// `loseEveryNth`th reply.
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
        if (request.statement().name() == "ledger.add" &&
            runsByRequestId[request.request_id()]++ == 0) {
            ++total;
        }
        if (!request.statement().read_only() && loseEveryNth != 0 &&
            executed.size() % loseEveryNth == 0) {
            return tl::unexpected(refuse(Reason::TargetFailed, ExecutionOutcome::Unknown, "lost"));
        }
        reply.add_rows()->add_values("k");
        reply.mutable_rows(0)->add_values(std::to_string(total + extraRuns));
        return reply;
    }

    tl::expected<caller::v1::PullEnd, Refusal> pull(const caller::v1::ExecuteRequest &,
                                                    const ChunkHandler &) override
    {
        return tl::unexpected(
            refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, "incomplete answer"));
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
    std::map<std::string, int> runsByRequestId;
    uint64_t total = 0;
    uint64_t extraRuns = 0;
    size_t loseEveryNth = 0;
};

struct Run
{
    int code = 0;
    std::string out;
    std::string err;
};

Run runArguments(FakeClient &client, const std::vector<std::string> &arguments,
                 const VerbOptions &options = {}, const std::string &input = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const int code = runVerb({client, options, in, out, err, {}}, arguments);
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

BOOST_AUTO_TEST_CASE(rejectsInvalidArgumentsWithoutRemoteCall)
{
    // Each has one invalid or missing argument, or an unknown verb.
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
    for (const auto &arguments : bad) {
        FakeClient client;
        const Run run = runArguments(client, arguments);
        BOOST_TEST_CONTEXT((arguments.empty() ? std::string("no arguments") : arguments.front()))
        {
            BOOST_TEST(run.code == ExitUsageError);
            BOOST_TEST(!run.err.empty());
            BOOST_TEST(
                (client.changes.empty() && client.executed.empty() && client.faults.empty()));
        }
    }
}

// Guards against verbs that only read log files demanding --plain_text or --authority_file, which
// happened when the transport was checked for every verb.
BOOST_AUTO_TEST_CASE(logVerbsMakeNoRemoteCall)
{
    const std::vector<std::string> trace{"trace", "5c0e7a21", "vm.log"};
    const std::vector<std::string> status{"status"};
    BOOST_TEST(!makesRemoteCall(trace));
    BOOST_TEST(makesRemoteCall(status));
    BOOST_TEST(makesRemoteCall(Arguments()));
}

BOOST_AUTO_TEST_CASE(arbitraryArgumentsEndInExitCodeAndError)
{
    const auto verbs = allVerbs();
    rc::check("every verb with arbitrary arguments returns an exit code and prints errors", [&] {
        const auto index = *rc::gen::inRange<size_t>(0, verbs.size());
        // The probe runs for as many seconds as its argument says. Keys could name any file as
        // @FILE.
        RC_PRE(verbs[index].name != "probe");
        std::vector<std::string> arguments{std::string(verbs[index].name)};
        for (const auto &it : *rc::gen::container<std::vector<std::string>>(
                 rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                rc::gen::element<std::string>("1", "a=1.1.1.1:1@z/r", "yes")))) {
            arguments.push_back(it.starts_with('@') ? "k" : it);
        }
        FakeClient client;
        const Run run = runArguments(client, arguments);
        RC_ASSERT(run.code >= ExitSuccess && run.code <= ExitGuaranteeViolated);
        RC_ASSERT(run.code == ExitSuccess || !run.err.empty());
    });
}

BOOST_AUTO_TEST_CASE(printsRetryIdAndAcceptsItAgain)
{
    FakeClient client;
    client.changeRefusal = refuse(Reason::StoreUnavailable, ExecutionOutcome::Unknown, "no answer");
    const Run lost = runArguments(client, {"put-organisation", "a", "1", "2"});
    BOOST_TEST(lost.code == ExitOutcomeUnknown);
    const std::string id = client.changes[0].write_id();
    BOOST_TEST(lost.err.find("--write_id=" + id) != std::string::npos);
    VerbOptions options;
    options.writeId = id;
    client.changeRefusal.reset();
    BOOST_TEST(runArguments(client, {"put-organisation", "a", "1", "2"}, options).code ==
               ExitSuccess);
    BOOST_TEST(client.changes[1].SerializeAsString() == client.changes[0].SerializeAsString());
    options.requestId = "r-1";
    runArguments(client, {"add", "r", "k", "5"}, options);
    BOOST_TEST(client.executed[0].request_id() == "r-1");
}

BOOST_AUTO_TEST_CASE(mapsRefusalOutcomeToExitCode)
{
    FakeClient client;
    client.executeRefusal = refuse(Reason::RateLimited, ExecutionOutcome::NotRun, "too fast",
                                   std::chrono::milliseconds(40));
    const Run run = runArguments(client, {"put", "r", "k", "v"});
    BOOST_TEST(run.code == ExitNotRun);
    BOOST_TEST(run.err == "refused (rate_limited, not_run): too fast\ntry again after 40 ms\n");
    client.executeRefusal->outcome = ExecutionOutcome::Ran;
    BOOST_TEST(runArguments(client, {"put", "r", "k", "v"}).code == ExitOutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(sendsAndListsKeysAsDigests)
{
    FakeClient client;
    BOOST_TEST(runArguments(client, {"grant-key", "a", "captain-key"}).code == ExitSuccess);
    BOOST_TEST(client.changes[0].operations(0).grant_key().digest() == keyDigest("captain-key"));
    BOOST_TEST(client.changes[0].SerializeAsString().find("captain-key") == std::string::npos);
    for (const char *key : {"key-1", "key-2"}) {
        client.document.add_keys()->set_digest(keyDigest(key));
    }
    const std::string prefix = digestPrefix(keyDigest("key-2"));
    BOOST_TEST(runArguments(client, {"list-keys"}).out.find(prefix) != std::string::npos);
    BOOST_TEST(runArguments(client, {"withdraw-key", "digest:" + prefix}).code == ExitSuccess);
    BOOST_TEST(client.changes[1].operations(0).withdraw_key() == keyDigest("key-2"));
    BOOST_TEST(runArguments(client, {"withdraw-key", "digest:"}).code == ExitUsageError);
}

BOOST_AUTO_TEST_CASE(targetEditExpectsRevisionItRead)
{
    FakeClient client;
    client.document.set_revision(41);
    client.document.add_targets()->set_group("g");
    client.document.mutable_targets(0)->add_members()->set_name("a");
    BOOST_TEST(runArguments(client, {"add-member", "g", "b=1.1.1.1:1@z/r"}).code == ExitSuccess);
    BOOST_TEST(client.changes[0].expected_revision() == 41U);
    BOOST_TEST(client.changes[0].operations(0).put_target().members_size() == 2);
    BOOST_TEST(runArguments(client, {"remove-member", "g", "a"}).code == ExitSuccess);
    BOOST_TEST(client.changes[1].operations(0).put_target().members_size() == 0);
    BOOST_TEST(runArguments(client, {"remove-member", "g", "x"}).code == ExitUsageError);
}

BOOST_AUTO_TEST_CASE(transactionSendsStepsAndStopsAtInvalidLine)
{
    FakeClient client;
    const Run good =
        runArguments(client, {"transaction", "r"}, {}, "put a 1\nadd b 2\ncommit\nget a\n");
    BOOST_TEST(good.code == ExitSuccess);
    BOOST_TEST(client.steps.size() == 3U);
    BOOST_TEST(client.steps[2].has_commit());
    client.steps.clear();
    const Run bad = runArguments(client, {"transaction", "r"}, {}, "put a 1\nput a\ncommit\n");
    BOOST_TEST(bad.code == ExitUsageError);
    BOOST_TEST(client.steps.size() == 1U);
    // Input that ends without a commit is reported as rolled back.
    BOOST_TEST(
        runArguments(client, {"transaction", "r"}, {}, "put a 1\n").out.ends_with("rolled back\n"));
}

BOOST_AUTO_TEST_CASE(probeCountsRetriedWriteOnceAndDetectsExtraRun)
{
    FakeClient client;
    client.loseEveryNth = 3;
    BOOST_TEST(runArguments(client, {"probe", "r", "1"}).code == ExitSuccess);
    FakeClient broken;
    broken.extraRuns = 1;
    BOOST_TEST(runArguments(broken, {"probe", "r", "1"}).code == ExitGuaranteeViolated);
}

BOOST_AUTO_TEST_CASE(statusPrintsTableOrJson)
{
    FakeClient client;
    admin::v1::VmStatus *vm = client.statusReply.add_vms();
    vm->set_vm("vm-1");
    vm->set_zone("portland");
    vm->set_configuration_revision(12);
    const std::string table = runArguments(client, {"status"}).out;
    BOOST_TEST(table.find("VM    ZONE") != std::string::npos);
    BOOST_TEST(table.find("vm-1  portland") != std::string::npos);
    VerbOptions options;
    options.json = true;
    admin::v1::StatusReply parsed;
    const auto status = google::protobuf::util::JsonStringToMessage(
        runArguments(client, {"status"}, options).out, &parsed);
    BOOST_TEST(status.ok());
    BOOST_TEST(parsed.SerializeAsString() == client.statusReply.SerializeAsString());
}

} // namespace gentianplank
