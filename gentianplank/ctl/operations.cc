#include "gentianplank/ctl/operations.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>

#include <charconv>
#include <fstream>
#include <iterator>
#include <vector>

namespace gentianplank {

namespace {

using configuration::v1::Operation;

constexpr size_t DigestPrefixBytes = 6;

template <typename Number>
Parsed<Number> parseNumber(std::string_view name, const std::string &argument)
{
    Number number = 0;
    const char *const last = argument.data() + argument.size();
    const auto [end, ec] = std::from_chars(argument.data(), last, number);
    if (ec != std::errc() || end != last || argument.empty()) {
        return tl::unexpected(std::string(name) + " must be an integer in range, not '" + argument +
                              "'");
    }
    return number;
}

bool isBlank(const std::string &text)
{
    return text.find_first_not_of(" \t\n") == std::string::npos;
}

Parsed<bool> parseYesNo(std::string_view name, const std::string &argument)
{
    if (argument != "yes" && argument != "no") {
        return tl::unexpected(std::string(name) + " must be yes or no, not '" + argument + "'");
    }
    return argument == "yes";
}

// Sets the field named in NAME=VALUE. The string fields of `message` name its subject and cannot be
// set; all others must be of type uint32 or bool.
Parsed<bool> setField(google::protobuf::Message &message, const std::string &argument)
{
    const size_t equals = argument.find('=');
    const std::string name = argument.substr(0, equals);
    const auto *field = message.GetDescriptor()->FindFieldByName(name);
    const bool settable =
        field != nullptr && field->cpp_type() != google::protobuf::FieldDescriptor::CPPTYPE_STRING;
    if (equals == std::string::npos || !settable) {
        return tl::unexpected("'" + argument + "' is not NAME=VALUE of a fault setting");
    }
    const std::string value = argument.substr(equals + 1);
    if (field->cpp_type() == google::protobuf::FieldDescriptor::CPPTYPE_BOOL) {
        auto flag = parseYesNo(name, value);
        if (flag) {
            message.GetReflection()->SetBool(&message, field, *flag);
        }
        return flag;
    }
    const auto number = parseCount(name, value);
    if (!number) {
        return tl::unexpected(number.error());
    }
    message.GetReflection()->SetUInt32(&message, field, *number);
    return true;
}

Parsed<configuration::v1::ExceptionKind> parseKind(const std::string &argument)
{
    if (argument == "rate-percent") {
        return configuration::v1::EXCEPTION_KIND_RATE_PERCENT;
    }
    if (argument == "suspend") {
        return configuration::v1::EXCEPTION_KIND_SUSPEND;
    }
    if (argument == "primary-only-ack") {
        return configuration::v1::EXCEPTION_KIND_PRIMARY_ONLY_ACK;
    }
    return tl::unexpected("the kind must be rate-percent, suspend or primary-only-ack, not '" +
                          argument + "'");
}

} // namespace

Parsed<uint32_t> parseCount(std::string_view name, const std::string &argument)
{
    return parseNumber<uint32_t>(name, argument);
}

Parsed<int64_t> parseAmount(std::string_view name, const std::string &argument)
{
    return parseNumber<int64_t>(name, argument);
}

Parsed<configuration::v1::Member> parseMember(const std::string &argument)
{
    const std::vector<std::string> parts = absl::StrSplit(argument, absl::ByAnyChar("=@/"));
    bool isWellFormed = parts.size() == 4;
    for (const std::string &it : parts) {
        isWellFormed = isWellFormed && !it.empty();
    }
    if (!isWellFormed || parts[1].find(':') == std::string::npos) {
        return tl::unexpected("'" + argument + "' is not NAME=IP:PORT@ZONE/REGION");
    }
    configuration::v1::Member member;
    member.set_name(parts[0]);
    member.set_address(parts[1]);
    member.set_zone(parts[2]);
    member.set_region(parts[3]);
    return member;
}

Parsed<Operation> parseSetDefaults(Arguments arguments)
{
    const auto rate = parseCount("RATE", arguments[0]);
    const auto burst = parseCount("BURST", arguments[1]);
    if (!rate || !burst) {
        return tl::unexpected(rate ? burst.error() : rate.error());
    }
    Operation operation;
    operation.mutable_set_defaults()->set_rate_per_second(*rate);
    operation.mutable_set_defaults()->set_burst(*burst);
    return operation;
}

Parsed<Operation> parsePutOrganisation(Arguments arguments)
{
    const auto rate = parseCount("RATE", arguments[1]);
    const auto burst = parseCount("BURST", arguments[2]);
    const auto weight =
        arguments.size() > 3 ? parseCount("WEIGHT", arguments[3]) : Parsed<uint32_t>(0);
    for (const auto *it : {&rate, &burst, &weight}) {
        if (!*it) {
            return tl::unexpected(it->error());
        }
    }
    Operation operation;
    operation.mutable_put_organisation()->set_name(arguments[0]);
    operation.mutable_put_organisation()->set_rate_per_second(*rate);
    operation.mutable_put_organisation()->set_burst(*burst);
    operation.mutable_put_organisation()->set_weight(*weight);
    return operation;
}

Parsed<Operation> parsePutRoute(Arguments arguments)
{
    Operation operation;
    configuration::v1::Route *route = operation.mutable_put_route();
    route->set_name(arguments[0]);
    route->set_group(arguments[1]);
    const Arguments access = arguments.subspan(2);
    if (access.size() == 1 && access[0] == "open") {
        route->set_open_to_all(true);
        return operation;
    }
    for (const std::string &it : access) {
        if (it == "open") {
            return tl::unexpected(std::string(
                "a route is either open to all or restricted to the organisations listed"));
        }
        route->add_organisations(it);
    }
    return operation;
}

Parsed<Operation> parsePutTarget(Arguments arguments)
{
    const auto slots = parseCount("SLOTS", arguments[1]);
    const auto connections = parseCount("CONNECTIONS", arguments[2]);
    if (!slots || !connections) {
        return tl::unexpected(slots ? connections.error() : slots.error());
    }
    Operation operation;
    configuration::v1::Target *target = operation.mutable_put_target();
    target->set_group(arguments[0]);
    target->set_slots(*slots);
    target->set_connections(*connections);
    for (const std::string &it : arguments.subspan(3)) {
        const auto member = parseMember(it);
        if (!member) {
            return tl::unexpected(member.error());
        }
        *target->add_members() = *member;
    }
    return operation;
}

Parsed<Operation> parseSetLeaving(Arguments arguments)
{
    const auto leaving = parseYesNo("leaving", arguments[2]);
    if (!leaving) {
        return tl::unexpected(leaving.error());
    }
    Operation operation;
    operation.mutable_set_leaving()->set_group(arguments[0]);
    operation.mutable_set_leaving()->set_member(arguments[1]);
    operation.mutable_set_leaving()->set_leaving(*leaving);
    return operation;
}

Parsed<Operation> parsePutException(Arguments arguments, const std::string &reason)
{
    const auto kind = parseKind(arguments[1]);
    if (!kind) {
        return tl::unexpected(kind.error());
    }
    const bool hasPercent = *kind == configuration::v1::EXCEPTION_KIND_RATE_PERCENT;
    if (hasPercent != (arguments.size() > 3)) {
        return tl::unexpected(std::string(hasPercent ? "rate-percent requires PERCENT"
                                                     : "only rate-percent takes PERCENT"));
    }
    if (isBlank(reason)) {
        return tl::unexpected(std::string("an exception requires --reason='...'"));
    }
    Operation operation;
    configuration::v1::Exception *exception = operation.mutable_put_exception();
    exception->set_name(arguments[0]);
    exception->set_kind(*kind);
    exception->set_subject(arguments[2]);
    exception->set_reason(reason);
    if (hasPercent) {
        const auto percent = parseCount("PERCENT", arguments[3]);
        if (!percent) {
            return tl::unexpected(percent.error());
        }
        exception->set_value_percent(*percent);
    }
    return operation;
}

Parsed<std::string> parseKey(const std::string &argument)
{
    std::string key = argument;
    if (argument.starts_with('@')) {
        std::ifstream in(argument.substr(1), std::ios::binary);
        if (!in) {
            return tl::unexpected("the file '" + argument.substr(1) + "' cannot be read");
        }
        key.assign(std::istreambuf_iterator<char>(in), {});
        key.erase(key.find_last_not_of("\r\n") + 1);
    }
    if (key.empty()) {
        return tl::unexpected(std::string("a key must not be empty"));
    }
    return key;
}

Parsed<std::string> findKeyDigest(const configuration::v1::Document &document,
                                  std::string_view prefix)
{
    std::string found;
    for (const configuration::v1::KeyGrant &it : document.keys()) {
        if (prefix.empty() || !absl::BytesToHexString(it.digest()).starts_with(prefix)) {
            continue;
        }
        if (!found.empty()) {
            return tl::unexpected("more than one key digest starts with '" + std::string(prefix) +
                                  "'");
        }
        found = it.digest();
    }
    if (found.empty()) {
        return tl::unexpected("no key digest starts with '" + std::string(prefix) + "'");
    }
    return found;
}

std::string digestPrefix(std::string_view digest)
{
    return absl::BytesToHexString(std::string(digest.substr(0, DigestPrefixBytes)));
}

Parsed<standin::v1::FaultRequest> parseMemberFault(Arguments arguments)
{
    standin::v1::FaultRequest request;
    request.mutable_member()->set_group(arguments[0]);
    request.mutable_member()->set_member(arguments[1]);
    for (const std::string &it : arguments.subspan(2)) {
        const auto set = setField(*request.mutable_member(), it);
        if (!set) {
            return tl::unexpected(set.error());
        }
    }
    return request;
}

Parsed<standin::v1::FaultRequest> parseStoreFault(Arguments arguments)
{
    standin::v1::FaultRequest request;
    request.mutable_store();
    for (const std::string &it : arguments) {
        const auto set = setField(*request.mutable_store(), it);
        if (!set) {
            return tl::unexpected(set.error());
        }
    }
    return request;
}

} // namespace gentianplank
