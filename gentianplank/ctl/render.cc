#include "gentianplank/ctl/render.h"

#include "gentianplank/ctl/operations.h"
#include "gentianplank/ctl/table.h"

#include <ctime>
#include <sstream>

namespace gentianplank {

namespace {

constexpr uint64_t MillisecondsPerSecond = 1000;

std::string formatYesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

std::string numberOrDash(uint64_t number)
{
    return number == 0 ? "-" : std::to_string(number);
}

std::string formatDecimal(double number)
{
    std::ostringstream out;
    out << number;
    return out.str();
}

std::string formatUtcTime(uint64_t milliseconds)
{
    const auto seconds = static_cast<std::time_t>(milliseconds / MillisecondsPerSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buf[sizeof("2000-01-01T00:00:00Z")];
    const size_t n = std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buf, n};
}

std::string describeKind(const configuration::v1::Exception &exception)
{
    switch (exception.kind()) {
    case configuration::v1::EXCEPTION_KIND_RATE_PERCENT:
        return "rate-percent " + std::to_string(exception.value_percent());
    case configuration::v1::EXCEPTION_KIND_SUSPEND:
        return "suspend";
    case configuration::v1::EXCEPTION_KIND_PRIMARY_ONLY_ACK:
        return "primary-only-ack";
    default:
        return "unknown";
    }
}

std::string describeAccess(const configuration::v1::Route &route)
{
    if (route.open_to_all()) {
        return "open to all, without a key";
    }
    std::string users;
    for (const std::string &it : route.organisations()) {
        users += (users.empty() ? "" : " ") + it;
    }
    return users.empty() ? "every organisation" : users;
}

} // namespace

std::string renderStatus(const admin::v1::StatusReply &status)
{
    Table vms(
        {"VM", "ZONE", "REGION", "INCARNATION", "STANDING", "REVISION", "LEAVING", "REACHABLE"});
    for (const admin::v1::VmStatus &it : status.vms()) {
        vms.add({it.vm(), it.zone(), it.region(), std::to_string(it.incarnation()),
                 orDash(it.standing()), numberOrDash(it.configuration_revision()),
                 formatYesNo(it.leaving()), formatYesNo(it.reachable())});
    }
    Table members({"GROUP", "TERM", "MEMBER", "ROLE", "POSITION", "REACHABLE", "LEAVING"});
    for (const admin::v1::GroupStatus &group : status.groups()) {
        for (const admin::v1::MemberState &it : group.members()) {
            const std::string position = std::to_string(it.position().term()) + "." +
                                         std::to_string(it.position().position());
            members.add({group.group(), std::to_string(group.term()), it.member(), it.role(),
                         position, formatYesNo(it.reachable()), formatYesNo(it.leaving())});
        }
    }
    Table shares({"ORGANISATION", "RATE PER SECOND HERE", "BURST HERE"});
    for (const admin::v1::ShareStatus &it : status.shares()) {
        shares.add(
            {it.organisation(), formatDecimal(it.rate_per_second()), formatDecimal(it.burst())});
    }
    return "As VM " + status.vm() + " sees it.\n\n" + vms.render() + '\n' + members.render() +
           '\n' + shares.render();
}

std::string renderHistory(const admin::v1::HistoryReply &history)
{
    std::ostringstream out;
    for (const configuration::v1::Change &it : history.changes()) {
        out << it.revision() << "  " << formatUtcTime(it.written_at_ms()) << "  "
            << orDash(it.operator_name()) << " through " << it.vm() << ": " << orDash(it.reason())
            << '\n';
        for (int i = 0; i < it.after_size(); ++i) {
            const std::string before = i < it.before_size() ? it.before(i) : std::string();
            out << "    before: " << orDash(before) << "\n    after:  " << orDash(it.after(i))
                << '\n';
        }
    }
    const std::string text = out.str();
    return text.empty() ? "no changes\n" : text;
}

std::string renderConfiguration(const configuration::v1::Document &document)
{
    std::ostringstream out;
    out << "Revision " << document.revision() << ". Default rate "
        << document.defaults().rate_per_second() << " a second, burst "
        << document.defaults().burst() << ".\n\n";
    Table organisations({"ORGANISATION", "RATE PER SECOND", "BURST", "WEIGHT"});
    for (const configuration::v1::Organisation &it : document.organisations()) {
        organisations.add({it.name(), numberOrDash(it.rate_per_second()), numberOrDash(it.burst()),
                           numberOrDash(it.weight())});
    }
    Table routes({"ROUTE", "GROUP", "FOR"});
    for (const configuration::v1::Route &it : document.routes()) {
        routes.add({it.name(), it.group(), describeAccess(it)});
    }
    Table members(
        {"GROUP", "SLOTS", "CONNECTIONS", "MEMBER", "ADDRESS", "ZONE", "REGION", "LEAVING"});
    for (const configuration::v1::Target &target : document.targets()) {
        for (const configuration::v1::Member &it : target.members()) {
            members.add({target.group(), std::to_string(target.slots()),
                         std::to_string(target.connections()), it.name(), it.address(), it.zone(),
                         it.region(), formatYesNo(it.leaving())});
        }
    }
    Table exceptions({"EXCEPTION", "KIND", "SUBJECT", "REASON"});
    for (const configuration::v1::Exception &it : document.exceptions()) {
        exceptions.add({it.name(), describeKind(it), it.subject(), it.reason()});
    }
    out << organisations.render() << '\n'
        << routes.render() << '\n'
        << members.render() << '\n'
        << exceptions.render() << '\n'
        << renderKeys(document);
    return out.str();
}

std::string renderKeys(const configuration::v1::Document &document)
{
    Table keys({"KEY DIGEST", "ORGANISATION"});
    for (const configuration::v1::KeyGrant &it : document.keys()) {
        keys.add({digestPrefix(it.digest()), it.organisation()});
    }
    return keys.render();
}

std::string renderChange(const admin::v1::ChangeReply &reply)
{
    std::string text = "stored as revision " + std::to_string(reply.revision());
    if (reply.in_force()) {
        return text + ", in force\n";
    }
    text += ", not yet known to be in force everywhere";
    for (const std::string &it : reply.waiting_for()) {
        text += "\n    waiting for " + it;
    }
    return text + '\n';
}

} // namespace gentianplank
