#include "gentianplank/base/digest.h"
#include "gentianplank/ctl/render.h"
#include "gentianplank/ctl/verbs.h"

#include <algorithm>

namespace gentianplank {

namespace {

using configuration::v1::Operation;

constexpr std::string_view DigestArgumentPrefix = "digest:";
// Most arguments of a verb that ends with a list.
constexpr size_t MaxListArguments = 1000;

int sendChange(const VerbCall &call, const Operation &operation, uint64_t expectedRevision)
{
    admin::v1::ChangeRequest request;
    *request.add_operations() = operation;
    request.set_operator_name(call.options.operatorName);
    request.set_reason(call.options.reason);
    request.set_write_id(call.options.writeId.empty() ? randomId() : call.options.writeId);
    request.set_expected_revision(expectedRevision);
    request.set_wait_ms(call.options.waitMs);
    const auto reply = call.client.change(request);
    if (!reply) {
        const int code = reportRefusal(call, reply.error());
        if (code == ExitOutcomeUnknown) {
            call.err << "retry with --write_id=" << request.write_id()
                     << "; the change is then stored once\n";
        }
        return code;
    }
    return printReply(call, *reply, renderChange(*reply));
}

int sendOperation(const VerbCall &call, const Parsed<Operation> &operation)
{
    if (!operation) {
        return reportUsageError(call, operation.error());
    }
    return sendChange(call, *operation, call.options.expectedRevision);
}

int setDefaults(const VerbCall &call)
{
    return sendOperation(call, parseSetDefaults(call.arguments));
}

int putOrganisation(const VerbCall &call)
{
    return sendOperation(call, parsePutOrganisation(call.arguments));
}

int removeOrganisation(const VerbCall &call)
{
    Operation operation;
    operation.set_remove_organisation(call.arguments[0]);
    return sendOperation(call, operation);
}

int grantKey(const VerbCall &call)
{
    const auto key = parseKey(call.arguments[1]);
    if (!key) {
        return reportUsageError(call, key.error());
    }
    Operation operation;
    operation.mutable_grant_key()->set_organisation(call.arguments[0]);
    operation.mutable_grant_key()->set_digest(keyDigest(*key));
    return sendOperation(call, operation);
}

int withdrawKey(const VerbCall &call)
{
    const std::string_view argument = call.arguments[0];
    Operation operation;
    if (!argument.starts_with(DigestArgumentPrefix)) {
        const auto key = parseKey(call.arguments[0]);
        if (!key) {
            return reportUsageError(call, key.error());
        }
        operation.set_withdraw_key(keyDigest(*key));
        return sendOperation(call, operation);
    }
    const auto document = call.client.configuration();
    if (!document) {
        return reportRefusal(call, document.error());
    }
    const auto digest = findKeyDigest(*document, argument.substr(DigestArgumentPrefix.size()));
    if (!digest) {
        return reportUsageError(call, digest.error());
    }
    operation.set_withdraw_key(*digest);
    return sendOperation(call, operation);
}

int listKeys(const VerbCall &call)
{
    const auto document = call.client.configuration();
    if (!document) {
        return reportRefusal(call, document.error());
    }
    configuration::v1::Document keys;
    *keys.mutable_keys() = document->keys();
    keys.set_revision(document->revision());
    return printReply(call, keys, renderKeys(*document));
}

int putRoute(const VerbCall &call)
{
    return sendOperation(call, parsePutRoute(call.arguments));
}

int removeRoute(const VerbCall &call)
{
    Operation operation;
    operation.set_remove_route(call.arguments[0]);
    return sendOperation(call, operation);
}

int putTarget(const VerbCall &call)
{
    return sendOperation(call, parsePutTarget(call.arguments));
}

int removeTarget(const VerbCall &call)
{
    Operation operation;
    operation.set_remove_target(call.arguments[0]);
    return sendOperation(call, operation);
}

using TargetEdit = Parsed<bool> (*)(configuration::v1::Target &target, const std::string &argument);

// Reads a target, edits it and stores it. The change carries the revision that was read, so that a
// concurrent change makes it fail instead of being overwritten.
int editTarget(const VerbCall &call, TargetEdit edit)
{
    const auto document = call.client.configuration();
    if (!document) {
        return reportRefusal(call, document.error());
    }
    for (const configuration::v1::Target &it : document->targets()) {
        if (it.group() != call.arguments[0]) {
            continue;
        }
        Operation operation;
        *operation.mutable_put_target() = it;
        const auto edited = edit(*operation.mutable_put_target(), call.arguments[1]);
        if (!edited) {
            return reportUsageError(call, edited.error());
        }
        return sendChange(call, operation, document->revision());
    }
    return reportUsageError(call, "there is no target '" + call.arguments[0] + "'");
}

int addMember(const VerbCall &call)
{
    return editTarget(call, [](configuration::v1::Target &target, const std::string &argument) {
        const auto member = parseMember(argument);
        if (!member) {
            return Parsed<bool>(tl::unexpected(member.error()));
        }
        *target.add_members() = *member;
        return Parsed<bool>(true);
    });
}

int removeMember(const VerbCall &call)
{
    return editTarget(call, [](configuration::v1::Target &target, const std::string &argument) {
        auto *members = target.mutable_members();
        const auto it = std::find_if(members->begin(), members->end(),
                                     [&](const auto &member) { return member.name() == argument; });
        if (it == members->end()) {
            return Parsed<bool>(tl::unexpected("the target has no member '" + argument + "'"));
        }
        members->erase(it);
        return Parsed<bool>(true);
    });
}

int setLeaving(const VerbCall &call)
{
    return sendOperation(call, parseSetLeaving(call.arguments));
}

int putException(const VerbCall &call)
{
    return sendOperation(call, parsePutException(call.arguments, call.options.reason));
}

int removeException(const VerbCall &call)
{
    Operation operation;
    operation.set_remove_exception(call.arguments[0]);
    return sendOperation(call, operation);
}

int switchPrimary(const VerbCall &call)
{
    admin::v1::SwitchPrimaryRequest request;
    request.set_group(call.arguments[0]);
    request.set_member(call.arguments[1]);
    request.set_operator_name(call.options.operatorName);
    request.set_reason(call.options.reason);
    const auto reply = call.client.switchPrimary(request);
    if (!reply) {
        return reportRefusal(call, reply.error());
    }
    return printReply(call, *reply,
                      call.arguments[1] + " is primary in term " + std::to_string(reply->term()) +
                          "; writes waited " + std::to_string(reply->gap_ms()) + " ms\n");
}

int showStatus(const VerbCall &call)
{
    const auto reply = call.client.status();
    return reply ? printReply(call, *reply, renderStatus(*reply))
                 : reportRefusal(call, reply.error());
}

int showHistory(const VerbCall &call)
{
    admin::v1::HistoryRequest request;
    if (!call.arguments.empty()) {
        const auto revision = parseCount("AFTER-REVISION", call.arguments[0]);
        if (!revision) {
            return reportUsageError(call, revision.error());
        }
        request.set_after_revision(*revision);
    }
    const auto reply = call.client.history(request);
    return reply ? printReply(call, *reply, renderHistory(*reply))
                 : reportRefusal(call, reply.error());
}

int showConfiguration(const VerbCall &call)
{
    const auto reply = call.client.configuration();
    return reply ? printReply(call, *reply, renderConfiguration(*reply))
                 : reportRefusal(call, reply.error());
}

constexpr Verb Verbs[] = {
    {"set-defaults", "RATE BURST", "sets the fleet's default rate and burst", 2, 2, setDefaults},
    {"put-organisation", "NAME RATE BURST [WEIGHT]",
     "adds or changes an organisation; 0 uses the fleet's default", 3, 4, putOrganisation},
    {"remove-organisation", "NAME", "removes an organisation", 1, 1, removeOrganisation},
    {"grant-key", "ORGANISATION KEY|@FILE",
     "grants a key to an organisation; only its digest is stored", 2, 2, grantKey},
    {"withdraw-key", "KEY|@FILE|digest:PREFIX", "withdraws a key", 1, 1, withdrawKey},
    {"list-keys", "", "lists granted keys by digest prefix", 0, 0, listKeys},
    {"put-target", "GROUP SLOTS CONNECTIONS NAME=IP:PORT@ZONE/REGION...",
     "adds or changes a target; the limits apply to each member", 4, MaxListArguments, putTarget},
    {"remove-target", "GROUP", "removes a target", 1, 1, removeTarget},
    {"add-member", "GROUP NAME=IP:PORT@ZONE/REGION", "adds a member to a target", 2, 2, addMember},
    {"remove-member", "GROUP MEMBER", "removes a member from a target", 2, 2, removeMember},
    {"set-leaving", "GROUP MEMBER yes|no",
     "sets whether a member is leaving; a leaving member gets no new work", 3, 3, setLeaving},
    {"switch-primary", "GROUP MEMBER", "moves a group's primary without refusing requests", 2, 2,
     switchPrimary},
    {"put-route", "NAME GROUP [open | ORGANISATION...]",
     "adds or changes a route for all organisations, for those listed, or open to all", 2,
     MaxListArguments, putRoute},
    {"remove-route", "NAME", "removes a route", 1, 1, removeRoute},
    {"put-exception", "NAME rate-percent|suspend|primary-only-ack SUBJECT [PERCENT]",
     "adds or changes an exception; --reason is required", 3, 4, putException},
    {"remove-exception", "NAME", "removes an exception", 1, 1, removeException},
    {"status", "", "shows VMs, groups and rate shares as known to the VM", 0, 0, showStatus},
    {"history", "[AFTER-REVISION]", "shows the audit trail of changes", 0, 1, showHistory},
    {"configuration", "", "shows the configuration in force at the VM", 0, 0, showConfiguration},
};

} // namespace

std::span<const Verb> adminVerbs()
{
    return Verbs;
}

} // namespace gentianplank
