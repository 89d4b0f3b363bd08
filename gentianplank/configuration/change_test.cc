#include "gentianplank/configuration/change.h"

#include "gentianplank/base/digest.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace gentianplank {

namespace {

ConfigurationOperation putOrganisation(const std::string &name)
{
    ConfigurationOperation operation;
    operation.mutable_put_organisation()->set_name(name);
    return operation;
}

ConfigurationOperation grantKey(const std::string &key, const std::string &organisation)
{
    ConfigurationOperation operation;
    operation.mutable_grant_key()->set_digest(keyDigest(key));
    operation.mutable_grant_key()->set_organisation(organisation);
    return operation;
}

} // namespace

BOOST_AUTO_TEST_CASE(allValidationErrorsAreReportedTogether)
{
    ConfigurationOperation exception;
    exception.mutable_put_exception()->set_name("e");
    ConfigurationOperation route;
    route.mutable_put_route()->set_name("r");
    route.mutable_put_route()->set_group("nowhere");
    const std::vector operations{exception, route, grantKey("k", "nobody")};
    const auto applied = applyOperations({}, operations);
    BOOST_REQUIRE(!applied.has_value());
    // Exception without reason, kind and subject; unknown target; unknown organisation.
    BOOST_TEST(applied.error().size() == 5U);
}

// Guards against organisations that share request ids, and so the recorded answers of repeated
// writes: "a/b" with the id "c" and "a" with "b/c", or a key's organisation and requests without a
// key.
BOOST_AUTO_TEST_CASE(organisationsDontShareRequestIds)
{
    BOOST_TEST(!applyOperations({}, std::vector{putOrganisation("a/b")}).has_value());
    const auto open = applyOperations({}, std::vector{putOrganisation("open")});
    BOOST_REQUIRE(open.has_value());
    BOOST_TEST(!applyOperations(open->document, std::vector{grantKey("k", "open")}).has_value());
}

BOOST_AUTO_TEST_CASE(entriesBeforeAndAfterChangeAreRecorded)
{
    const auto first = applyOperations({}, std::vector{putOrganisation("dredge-co")});
    BOOST_REQUIRE(first.has_value());
    ConfigurationOperation faster = putOrganisation("dredge-co");
    faster.mutable_put_organisation()->set_rate_per_second(50);
    const auto second = applyOperations(first->document, std::vector{faster});
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->before.front() == "name: \"dredge-co\"");
    BOOST_TEST(second->after.front() == "name: \"dredge-co\" rate_per_second: 50");
    BOOST_TEST(second->document.organisations_size() == 1);
}

BOOST_AUTO_TEST_CASE(changeAppliesOnlyToItsPrecedingRevision)
{
    ConfigurationDocument document;
    ConfigurationChange change;
    change.set_revision(2);
    BOOST_TEST(!applyChange(document, change));
    change.set_revision(1);
    BOOST_TEST(applyChange(document, change));
    BOOST_TEST(!applyChange(document, change));
    BOOST_TEST(document.revision() == 1U);
}

BOOST_AUTO_TEST_CASE(arbitraryOperationsYieldValidDocumentOrErrors)
{
    rc::check("arbitrary operations yield a valid document or a list of errors", [] {
        ConfigurationDocument document;
        const auto rounds =
            *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        for (const std::string &it : rounds) {
            std::vector<ConfigurationOperation> operations(1);
            // Bytes that parse as an operation; other bytes become the name of an organisation.
            if (!operations[0].ParseFromString(it)) {
                operations[0] = putOrganisation(it);
            }
            if (*rc::gen::arbitrary<bool>()) {
                operations.push_back(grantKey(it, it));
            }
            const auto applied = applyOperations(document, operations);
            if (!applied) {
                RC_ASSERT(!applied.error().empty());
                continue;
            }
            RC_ASSERT(validateDocument(applied->document).empty());
            RC_ASSERT(applied->before.size() == applied->after.size());
            document = applied->document;
        }
    });
}

} // namespace gentianplank
