#include "gentianplank/configuration/change.h"

#include "gentianplank/base/digest.h"

#include <google/protobuf/repeated_field.h>

#include <algorithm>
#include <set>

namespace gentianplank {

namespace {

using configuration::v1::Exception;
using configuration::v1::KeyGrant;
using configuration::v1::Member;
using configuration::v1::MemberLeaving;
using configuration::v1::Organisation;
using configuration::v1::Route;
using configuration::v1::Target;

// Collects the entries touched by a change and the change's errors.
struct ChangeRecorder
{
    std::vector<std::string> before;
    std::vector<std::string> after;
    std::vector<std::string> errors;
};

const std::string &idOf(const Organisation &entry)
{
    return entry.name();
}
const std::string &idOf(const KeyGrant &entry)
{
    return entry.digest();
}
const std::string &idOf(const Route &entry)
{
    return entry.name();
}
const std::string &idOf(const Target &entry)
{
    return entry.group();
}
const std::string &idOf(const Exception &entry)
{
    return entry.name();
}

template <typename Entry>
auto findEntry(google::protobuf::RepeatedPtrField<Entry> *entries, const std::string &id)
{
    return std::find_if(entries->begin(), entries->end(),
                        [&](const Entry &it) { return idOf(it) == id; });
}

template <typename Entry>
void putEntry(google::protobuf::RepeatedPtrField<Entry> *entries, const Entry &entry,
              ChangeRecorder &recorder)
{
    const auto it = findEntry(entries, idOf(entry));
    recorder.after.push_back(entry.ShortDebugString());
    if (it == entries->end()) {
        recorder.before.emplace_back();
        *entries->Add() = entry;
        return;
    }
    recorder.before.push_back(it->ShortDebugString());
    *it = entry;
}

template <typename Entry>
void removeEntry(google::protobuf::RepeatedPtrField<Entry> *entries, const std::string &id,
                 std::string_view kind, ChangeRecorder &recorder)
{
    const auto it = findEntry(entries, id);
    if (it == entries->end()) {
        recorder.errors.push_back(std::string(kind) + " is not in the configuration");
        return;
    }
    recorder.before.push_back(it->ShortDebugString());
    recorder.after.emplace_back();
    entries->erase(it);
}

void setLeaving(ConfigurationDocument &document, const MemberLeaving &leaving,
                ChangeRecorder &recorder)
{
    const auto target = findEntry(document.mutable_targets(), leaving.group());
    if (target == document.mutable_targets()->end()) {
        recorder.errors.push_back("target '" + leaving.group() + "' is not in the configuration");
        return;
    }
    for (Member &it : *target->mutable_members()) {
        if (it.name() == leaving.member()) {
            recorder.before.push_back(it.ShortDebugString());
            it.set_leaving(leaving.leaving());
            recorder.after.push_back(it.ShortDebugString());
            return;
        }
    }
    recorder.errors.push_back("target '" + leaving.group() + "' has no member '" +
                              leaving.member() + "'");
}

void applyOperation(ConfigurationDocument &document, const ConfigurationOperation &operation,
                    ChangeRecorder &recorder)
{
    switch (operation.kind_case()) {
    case ConfigurationOperation::kSetDefaults:
        recorder.before.push_back(document.defaults().ShortDebugString());
        *document.mutable_defaults() = operation.set_defaults();
        recorder.after.push_back(document.defaults().ShortDebugString());
        break;
    case ConfigurationOperation::kPutOrganisation:
        putEntry(document.mutable_organisations(), operation.put_organisation(), recorder);
        break;
    case ConfigurationOperation::kRemoveOrganisation:
        removeEntry(document.mutable_organisations(), operation.remove_organisation(),
                    "organisation '" + operation.remove_organisation() + "'", recorder);
        break;
    case ConfigurationOperation::kGrantKey:
        putEntry(document.mutable_keys(), operation.grant_key(), recorder);
        break;
    case ConfigurationOperation::kWithdrawKey:
        removeEntry(document.mutable_keys(), operation.withdraw_key(), "the key", recorder);
        break;
    case ConfigurationOperation::kPutRoute:
        putEntry(document.mutable_routes(), operation.put_route(), recorder);
        break;
    case ConfigurationOperation::kRemoveRoute:
        removeEntry(document.mutable_routes(), operation.remove_route(),
                    "route '" + operation.remove_route() + "'", recorder);
        break;
    case ConfigurationOperation::kPutTarget:
        putEntry(document.mutable_targets(), operation.put_target(), recorder);
        break;
    case ConfigurationOperation::kRemoveTarget:
        removeEntry(document.mutable_targets(), operation.remove_target(),
                    "target '" + operation.remove_target() + "'", recorder);
        break;
    case ConfigurationOperation::kPutException:
        putEntry(document.mutable_exceptions(), operation.put_exception(), recorder);
        break;
    case ConfigurationOperation::kRemoveException:
        removeEntry(document.mutable_exceptions(), operation.remove_exception(),
                    "exception '" + operation.remove_exception() + "'", recorder);
        break;
    case ConfigurationOperation::kSetLeaving:
        setLeaving(document, operation.set_leaving(), recorder);
        break;
    case ConfigurationOperation::KIND_NOT_SET:
        recorder.errors.emplace_back("an operation has no kind");
        break;
    }
}

void validateTargets(const ConfigurationDocument &document, std::vector<std::string> &errors)
{
    for (const Target &target : document.targets()) {
        const std::string label = "target '" + target.group() + "'";
        if (target.members().empty()) {
            errors.push_back(label + " has no members");
        }
        if (target.slots() == 0 || target.connections() == 0) {
            errors.push_back(label + " must have a positive number of slots and connections");
        }
        std::set<std::string> names;
        for (const Member &it : target.members()) {
            if (it.name().empty() || it.address().empty() || it.zone().empty() ||
                it.region().empty()) {
                errors.push_back(label + " has a member without a name, address, zone or region");
            }
            if (!names.insert(it.name()).second) {
                errors.push_back(label + " has more than one member '" + it.name() + "'");
            }
        }
    }
}

void validateKeys(const ConfigurationDocument &document, const std::set<std::string> &organisations,
                  std::vector<std::string> &errors)
{
    for (const KeyGrant &it : document.keys()) {
        if (it.digest().size() != DigestBytes) {
            errors.emplace_back("a key digest isn't 32 bytes long");
        }
        if (it.organisation() == OpenOrganisation) {
            errors.push_back("a key is granted to '" + it.organisation() +
                             "', the organisation of requests without a key");
        }
        if (!organisations.contains(it.organisation())) {
            errors.push_back("a key is granted to the unknown organisation '" + it.organisation() +
                             "'");
        }
    }
}

void validateRoutes(const ConfigurationDocument &document,
                    const std::set<std::string> &organisations, std::vector<std::string> &errors)
{
    std::set<std::string> groups;
    for (const Target &it : document.targets()) {
        groups.insert(it.group());
    }
    for (const Route &route : document.routes()) {
        const std::string label = "route '" + route.name() + "'";
        if (!groups.contains(route.group())) {
            errors.push_back(label + " refers to the unknown target '" + route.group() + "'");
        }
        for (const std::string &it : route.organisations()) {
            if (!organisations.contains(it)) {
                errors.push_back(label + " refers to the unknown organisation '" + it + "'");
            }
        }
    }
}

void validateExceptions(const ConfigurationDocument &document, std::vector<std::string> &errors)
{
    for (const Exception &it : document.exceptions()) {
        const std::string label = "exception '" + it.name() + "'";
        if (it.reason().find_first_not_of(" \t\n") == std::string::npos) {
            errors.push_back(label + " must state a reason");
        }
        if (it.kind() == configuration::v1::EXCEPTION_KIND_UNSPECIFIED) {
            errors.push_back(label + " has no kind");
        }
        if (it.subject().empty()) {
            errors.push_back(label + " has no subject");
        }
    }
}

} // namespace

std::vector<std::string> validateDocument(const ConfigurationDocument &document)
{
    std::vector<std::string> errors;
    std::set<std::string> organisations;
    for (const Organisation &it : document.organisations()) {
        if (it.name().empty()) {
            errors.emplace_back("an organisation has no name");
        }
        if (it.name().find(RequestIdSeparator) != std::string::npos) {
            errors.push_back("organisation '" + it.name() + "' must not contain '" +
                             RequestIdSeparator + "', which ends its name in request ids");
        }
        organisations.insert(it.name());
    }
    validateTargets(document, errors);
    validateKeys(document, organisations, errors);
    validateRoutes(document, organisations, errors);
    validateExceptions(document, errors);
    return errors;
}

tl::expected<AppliedChange, std::vector<std::string>>
applyOperations(const ConfigurationDocument &document,
                std::span<const ConfigurationOperation> operations)
{
    ChangeRecorder recorder;
    AppliedChange applied;
    applied.document = document;
    for (const ConfigurationOperation &it : operations) {
        applyOperation(applied.document, it, recorder);
    }
    const std::vector<std::string> errors = validateDocument(applied.document);
    recorder.errors.insert(recorder.errors.end(), errors.begin(), errors.end());
    if (!recorder.errors.empty()) {
        return tl::unexpected(recorder.errors);
    }
    applied.before = std::move(recorder.before);
    applied.after = std::move(recorder.after);
    return applied;
}

bool applyChange(ConfigurationDocument &document, const ConfigurationChange &change)
{
    if (change.revision() != document.revision() + 1) {
        return false;
    }
    ChangeRecorder recorder;
    for (const ConfigurationOperation &it : change.operations()) {
        applyOperation(document, it, recorder);
    }
    document.set_revision(change.revision());
    return true;
}

} // namespace gentianplank
