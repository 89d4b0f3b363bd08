#include "gentianplank/settings/settings.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace gentianplank {

namespace {

const char *const ValidSettings = R"([vm]
name = vm-1
zone = portland
region = gulf-maine
[listen]
callers = 127.0.0.1:7000
peers = 127.0.0.1:7001
[platform]
address = 127.0.0.1:7100
[tls]
plain_text = yes
[secrets]
session_secret_file = session.secret
operator_key_file = operator.key
[limits]
shutdown_grace = 1500ms
)";

} // namespace

BOOST_AUTO_TEST_CASE(validSettingsAreParsed)
{
    const auto settings = parseSettings(ValidSettings, "a.ini");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->vm.zone == "portland");
    BOOST_TEST(settings->limits.shutdownGrace.count() == 1500000);
}

BOOST_AUTO_TEST_CASE(allErrorsAreReportedWithTheirLines)
{
    const std::string bad = R"([vm]
name = vm-1
zone =
region = gulf-maine
color = red
[listen]
callers = localhost
peers = 127.0.0.1:7001
this is no setting
[platform]
address = 127.0.0.1:7100
[tls]
plain_text = yes
[secrets]
session_secret_file = session.secret
operator_key_file = operator.key
[limits]
shutdown_grace = 30
)";
    const auto settings = parseSettings(bad, "a.ini");
    BOOST_REQUIRE(!settings.has_value());
    std::vector<int> lines;
    for (const Finding &it : settings.error()) {
        lines.push_back(it.line);
    }
    std::sort(lines.begin(), lines.end());
    BOOST_TEST(lines == (std::vector<int>{3, 5, 7, 9, 18}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(missingRequiredKeysAndMissingTlsSetupAreReported)
{
    const auto settings = parseSettings("[vm]\nname = a\n", "a.ini");
    BOOST_REQUIRE(!settings.has_value());
    // Seven required keys are missing, and TLS is neither configured nor disabled.
    BOOST_TEST(settings.error().size() == 8U);
}

BOOST_AUTO_TEST_CASE(plainTextWithTlsFileIsReportedOnce)
{
    const std::string both = std::string(ValidSettings) + "[tls]\nkey_file = a.pem\n";
    const auto settings = parseSettings(both, "a.ini");
    BOOST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error().size() == 1U);
    BOOST_TEST(toString(settings.error().front()) ==
               "a.ini:11: [tls] plain_text: contradicts the TLS files");
}

BOOST_AUTO_TEST_CASE(invalidOrContradictoryValueIsReportedAtItsLine)
{
    // Text to replace in valid settings, its replacement, and the expected finding.
    const std::vector<std::array<std::string, 3>> cases = {
        {"peers = 127.0.0.1:7001", "peers = 127.0.0.1:7000",
         "a.ini:7: [listen] peers: is the same address as [listen] callers"},
        {"address = 127.0.0.1:7100", "address = 127.0.0.1:7001",
         "a.ini:9: [platform] address: is the same address as [listen] peers"},
        {"region = gulf-maine", "", "a.ini: [vm] region: is missing"},
        {"region = gulf-maine", "region = portland",
         "a.ini:4: [vm] region: is the name of the zone, not of its region"},
        {"zone = portland", "zone = port land",
         "a.ini:3: [vm] zone: must be letters, digits, '-', '_' and '.', not 'port land'"},
        {"plain_text = yes", "certificate_file = a.pem\nkey_file = b.pem",
         "a.ini: [tls] authority_file: is missing, but other TLS files are set"},
        {"1500ms", "99ms",
         "a.ini:16: [limits] shutdown_grace: must be from 100ms to 600000ms, not '99ms'"},
        {"1500ms", "601s",
         "a.ini:16: [limits] shutdown_grace: must be from 100ms to 600000ms, not '601s'"},
        {"127.0.0.1:7100", "127.0.0.1.1:7100",
         "a.ini:9: [platform] address: must be an IP number and port such as 127.0.0.1:7000, "
         "not '127.0.0.1.1:7100'"},
    };
    for (const auto &[from, to, finding] : cases) {
        std::string text = ValidSettings;
        text.replace(text.find(from), from.size(), to);
        const auto settings = parseSettings(text, "a.ini");
        BOOST_REQUIRE(!settings.has_value());
        BOOST_TEST(settings.error().size() == 1U);
        BOOST_TEST(toString(settings.error().front()) == finding);
    }
}

BOOST_AUTO_TEST_CASE(referencedFilesAreCheckedAndSecretsAreNotPrinted)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        ("gentianplank-settings-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "session.secret") << "short-secret\n";
    std::string text = ValidSettings;
    for (const std::string name : {"session.secret", "operator.key"}) {
        text.replace(text.find("= " + name), name.size() + 2, "= " + (folder / name).string());
    }
    std::ofstream(folder / "a.ini") << text << "color = red\n";
    const auto settings = loadSettings(folder / "a.ini");
    BOOST_REQUIRE(!settings.has_value());
    std::vector<std::string> faults;
    for (const Finding &it : settings.error()) {
        faults.push_back(it.section + " " + it.key);
        BOOST_TEST(toString(it).find("short-secret") == std::string::npos);
    }
    // Errors in the text and in the referenced files are reported together.
    BOOST_TEST(faults == (std::vector<std::string>{"limits color", "secrets session_secret_file",
                                                   "secrets operator_key_file"}),
               boost::test_tools::per_element());
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_CASE(arbitraryTextYieldsFindingsWithLocation)
{
    rc::check("incomplete settings text is rejected with located findings", [] {
        const auto line = rc::gen::oneOf(
            rc::gen::arbitrary<std::string>(),
            rc::gen::map(rc::gen::inRange<size_t>(100, 1000),
                         [](size_t n) { return std::string(n, 'x'); }),
            rc::gen::element<std::string>("[vm]", "[listen]", "[tls]", "[limits]", "name = a",
                                          "zone = b", "callers = 127.0.0.1:1", "[", "=",
                                          "a = ", "shutdown_grace = 99999999999999999999s",
                                          " x = 1", "plain_text = yes", "queued_requests = -1"));
        std::string text;
        for (const std::string &it : *rc::gen::container<std::vector<std::string>>(line)) {
            text += it + '\n';
        }
        const auto settings = parseSettings(text, "a.ini");
        // Generated text never sets all required keys.
        RC_ASSERT(!settings.has_value());
        for (const Finding &it : settings.error()) {
            RC_ASSERT(!it.message.empty());
            RC_ASSERT(it.line > 0 || !it.key.empty());
            RC_ASSERT(it.line <= std::count(text.begin(), text.end(), '\n') + 1);
        }
    });
}

} // namespace gentianplank
