#include "gentianplank/node/control/settled_write.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>
#include <memory>

namespace gentianplank {

namespace {

constexpr Duration RepeatDelay = std::chrono::milliseconds(50);

struct Attempts
{
    SettledWrite write;
    std::function<void(RowResult<StoreVersion>)> done;
    // An attempt may still be performed.
    bool isUnsettled = false;
};

// Returns the version of the row if it holds the value written.
std::optional<StoreVersion> storedVersion(const SettledWrite &write, const RowError &error)
{
    const auto it = std::find_if(error.present.begin(), error.present.end(),
                                 [&](const StoredRow &row) { return row.key == write.key; });
    const bool isStored = it != error.present.end() && it->value == write.value;
    return isStored ? std::optional(it->version) : std::nullopt;
}

void attempt(const std::shared_ptr<Attempts> &attempts)
{
    attempts->write.attempt([attempts](const RowResult<StoreVersion> &result) {
        if (result) {
            attempts->done(result);
            return;
        }
        const RowError &error = result.error();
        if (error.fault == RowFault::ConditionFailed) {
            if (const auto version = storedVersion(attempts->write, error)) {
                attempts->done(*version);
            } else {
                attempts->done(result);
            }
            return;
        }
        if (error.fault == RowFault::NotDone && !attempts->isUnsettled) {
            attempts->done(result);
            return;
        }
        attempts->isUnsettled = true;
        logEvent("store.write_repeated", {{"key", attempts->write.key}, {"why", error.what}});
        attempts->write.schedule(RepeatDelay, [attempts] { attempt(attempts); });
    });
}

} // namespace

void writeUntilSettled(SettledWrite write, std::function<void(RowResult<StoreVersion>)> done)
{
    attempt(std::make_shared<Attempts>(Attempts{std::move(write), std::move(done)}));
}

} // namespace gentianplank
