#include "gentianplank/node/traffic/dispatcher_map.h"

namespace gentianplank {

void retireUnlisted(DispatcherMap &dispatchers, const FleetView &view)
{
    for (auto it = dispatchers.begin(); it != dispatchers.end();) {
        if (view.members.contains(it->first)) {
            ++it;
            continue;
        }
        // Removed first, since the answers may lead to new statements.
        const auto dispatcher = it->second;
        it = dispatchers.erase(it);
        dispatcher->retire("the member is no longer listed");
    }
}

} // namespace gentianplank
